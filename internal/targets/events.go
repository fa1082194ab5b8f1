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
		"a target announced different content, or a renewal superseded its expiry", "none")
	eventDraining = eventlog.Define(2002, zerolog.InfoLevel, "target draining",
		"a target announced that it is draining, or a reply from it said so", "none; it receives no new work")
	eventExpired = eventlog.Define(2003, zerolog.WarnLevel, "target expired",
		"no renewal of the target's lease arrived within the lease period, or a newer target announced the same address", "check the target's process and network if it should be running")
	eventReturned = eventlog.Define(2004, zerolog.InfoLevel, "target returned",
		"an expired or draining target takes work again", "none; if it repeats, check for packet loss between the target and the hosts")
	eventRejected = eventlog.Define(2010, zerolog.WarnLevel, "announcement rejected",
		"an announcement is malformed, or conflicts with a known layout or with another target's address", "correct the target named in the event; its previous announcement stays in force")
	eventLayoutKnown = eventlog.Define(2020, zerolog.InfoLevel, "index snapshot layout known",
		"the first layout of an index snapshot was accepted", "none")
	eventLayoutReplaced = eventlog.Define(2021, zerolog.WarnLevel, "index snapshot layout replaced",
		"targets announced different layouts of one index snapshot at the same time, and the hosts agreed on another one than this host knew", "correct the targets that announced the replaced layout; the shards that they hold of this index snapshot are not used")
	eventPaused = eventlog.Define(2030, zerolog.WarnLevel, "lease checks paused",
		"the control loop did not run for more than one second", "check for a stopped or overloaded process; this host started a new period for the leases that it owns")
)
