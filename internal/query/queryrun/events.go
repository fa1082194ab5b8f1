package queryrun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var (
	eventPartial = eventlog.Define(6000, zerolog.WarnLevel, "query answered in part",
		"some shards of the pinned index snapshot did not answer",
		"check the reason; no_replica means that targets are missing, timeout that they are slow")
	eventFailed = eventlog.Define(6001, zerolog.WarnLevel, "query failed",
		"no index snapshot, too little coverage, an exceeded deadline, or a caller that cancelled the query",
		"check the code; with coverage_below_minimum, too few shards answered")
	eventRestarted = eventlog.Define(6002, zerolog.InfoLevel, "query restarted on a newer index snapshot",
		"targets dropped the pinned index snapshot while the query was running",
		"none, unless it continues after all targets have switched to the newer index snapshot")
	eventMismatched = eventlog.Define(6003, zerolog.ErrorLevel, "reply for another index snapshot or shard",
		"a target answered for an index snapshot or shard that it was not asked for",
		"check the target's software; its replies are not used")
	eventDraining = eventlog.Define(6004, zerolog.InfoLevel, "reply marked its target as draining",
		"the target is draining and its announcement has not arrived yet",
		"none")
)
