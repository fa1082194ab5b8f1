package membership

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events 2100 to 2199.
var (
	eventJoined = eventlog.Define(2100, zerolog.InfoLevel, "host joined",
		"a heartbeat came from a host, or from a new process of a host, that was not known", "none")
	eventSuspect = eventlog.Define(2101, zerolog.WarnLevel, "host suspected",
		"neither this host nor another one heard from a neighbour for the suspicion time", "none yet; it is declared dead unless it refutes")
	eventDead = eventlog.Define(2102, zerolog.WarnLevel, "host declared dead",
		"a suspected host did not refute in time", "look at the host and its network; a replacement joins by itself")
	eventRefuted = eventlog.Define(2103, zerolog.WarnLevel, "suspicion of this host refuted",
		"other hosts reported this host suspect, dead or left although it runs", "if it repeats, look for loss or pauses on this host")
	eventReplaced = eventlog.Define(2104, zerolog.ErrorLevel, "another process uses this host's name",
		"a newer process announced this host's name from another address", "stop one of the two processes; this one refuses new requests")
	eventPaused = eventlog.Define(2110, zerolog.WarnLevel, "control loop paused",
		"the control loop did not run for longer than its bound", "look for a stopped or overloaded process; requests are refused until the configuration is confirmed again")
	eventMinority = eventlog.Define(2111, zerolog.WarnLevel, "majority of member hosts lost",
		"this host no longer hears from a majority of the agreed member list", "look for a network partition; if a majority is lost for good, forget the lost hosts")
	eventMajority = eventlog.Define(2112, zerolog.InfoLevel, "majority of member hosts heard",
		"this host hears from a majority of the agreed member list again", "none")
	eventFeedBehind = eventlog.Define(2113, zerolog.WarnLevel, "configuration feed behind",
		"a neighbour has had a newer configuration for over a second", "none; the feed moves to another host")
	eventListProposed = eventlog.Define(2120, zerolog.InfoLevel, "member list proposed",
		"the live hosts have differed from the agreed list steadily, or an operator forgot a host", "none")
)
