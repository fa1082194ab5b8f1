package daemon

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of this package, numbers 1100 to 1199.
var (
	eventStarted = eventlog.Define(1100, zerolog.InfoLevel, "host started",
		"The process opened its listeners.",
		"None. The host takes work once readiness is true.")
	eventStopped = eventlog.Define(1101, zerolog.InfoLevel, "host stopped",
		"The process ended after a graceful shutdown.",
		"None.")
	eventFailed = eventlog.Define(1102, zerolog.ErrorLevel, "host ends because of an internal failure",
		"The host's state can no longer be trusted, such as after a failed sync of its disk.",
		"Read the error. Check the disk; replace the host if it fails again.")
	eventConnectionsLeft = eventlog.Define(1104, zerolog.WarnLevel, "connections to targets were still open at the stop",
		"A target did not answer a request in time while the host stopped.",
		"None. The target sees the connections close.")
	eventBadPeerMessage = eventlog.Define(1103, zerolog.WarnLevel, "message of a peer could not be decoded",
		"The peer runs a newer version, or the message was damaged.",
		"Update this host.")
)
