package targets

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events 2000 to 2079.
var (
	eventAccepted = eventlog.Define(2000, zerolog.InfoLevel, "target accepted",
		"a target announced itself for the first time, or as a new incarnation", "none")
	eventChanged = eventlog.Define(2001, zerolog.InfoLevel, "target changed",
		"a target announced other content than before", "none")
	eventDraining = eventlog.Define(2002, zerolog.InfoLevel, "target draining",
		"a target announced its drain, or a reply from it did", "none; it receives no new work")
	eventExpired = eventlog.Define(2003, zerolog.WarnLevel, "target expired",
		"no host received an announcement of the target for the lease period", "look at the target's process and network if it should be running")
	eventReturned = eventlog.Define(2004, zerolog.InfoLevel, "target returned",
		"an expired or draining target announced that it takes work", "none; if it repeats, look for loss between the target and the hosts")
	eventRejected = eventlog.Define(2010, zerolog.WarnLevel, "announcement rejected",
		"an announcement is malformed or contradicts what is known", "correct the target named in the record; its previous announcement stays in force")
	eventLayoutKnown = eventlog.Define(2020, zerolog.InfoLevel, "index snapshot layout known",
		"the first layout of an index snapshot was accepted", "none")
	eventLayoutReplaced = eventlog.Define(2021, zerolog.WarnLevel, "index snapshot layout replaced",
		"two targets announced different layouts of one index snapshot at the same time, and another one came first", "correct the targets that announced the other layout; their holdings of this index snapshot are not used")
	eventPaused = eventlog.Define(2030, zerolog.WarnLevel, "lease checks paused",
		"the control loop did not run for longer than its bound", "look for a stopped or overloaded process; leases were extended by one period")
)
