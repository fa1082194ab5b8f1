package queryrun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var (
	eventPartial = eventlog.Define(6000, zerolog.WarnLevel, "query answered in part",
		"some shards of the pinned index snapshot did not answer in time",
		"look at the reasons; no_replica means that targets are missing, timeout that they are slow")
	eventFailed = eventlog.Define(6001, zerolog.WarnLevel, "query failed",
		"no index snapshot, too little coverage, a deadline that passed, or a caller that left",
		"look at the code; coverage_below_minimum names the shards that are missing")
	eventRestarted = eventlog.Define(6002, zerolog.InfoLevel, "query restarted on a newer index snapshot",
		"the pinned index snapshot vanished while the query was running",
		"none, unless it continues after the change of index snapshots is over")
	eventMismatched = eventlog.Define(6003, zerolog.ErrorLevel, "reply for another index snapshot or shard",
		"a target answered for an index snapshot or shard that it was not asked for",
		"check the target's software; its replies are not used")
	eventDraining = eventlog.Define(6004, zerolog.InfoLevel, "target said on a reply that it is draining",
		"the target is leaving and its announcement has not arrived yet",
		"none")
)
