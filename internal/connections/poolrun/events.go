package poolrun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var (
	eventDialFailed = eventlog.Define(6300, zerolog.WarnLevel, "connection set-up failed",
		"a target refused a connection or didn't answer in time; logged at most once per target and back-off period",
		"check that the target's process runs and that its address is reachable from this host")
	eventShareChanged = eventlog.Define(6301, zerolog.DebugLevel, "connection share changed",
		"the agreed member list or the target's connection limit changed",
		"none")
	eventOverShare = eventlog.Define(6302, zerolog.InfoLevel, "connections in use above the new share",
		"the share shrank while requests were in progress; each surplus connection closes when its request ends",
		"none, unless it repeats for the same target: then compare request deadlines with the rate of member changes")
)
