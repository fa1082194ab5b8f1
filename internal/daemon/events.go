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
	eventFailed = eventlog.Define(1102, zerolog.ErrorLevel, "host stops because of an internal failure",
		"The host's state can no longer be trusted, for example after a failed sync of its disk, or a listener failed.",
		"Read the error. After an error of the journal, check the disk, and replace the host if it fails again. After an error of a listener, check the number of open files.")
	eventConnectionsLeft = eventlog.Define(1104, zerolog.WarnLevel, "connections to targets were still open when the host stopped",
		"A target did not answer a request in time while the host stopped.",
		"None. The target sees the connections close.")
	eventHTTPServer = eventlog.Define(1105, zerolog.WarnLevel, "HTTP server reported an error",
		"A connection could not be accepted, or a handler failed.",
		"Read the error. Repeated failures to accept point to the limit of file descriptors.")
	eventReloaded = eventlog.Define(1106, zerolog.InfoLevel, "settings reloaded",
		"The process received SIGHUP.",
		"None. Only changed addresses of other hosts take effect; everything else needs a restart.")
	eventReloadFailed = eventlog.Define(1107, zerolog.ErrorLevel, "settings could not be reloaded",
		"The settings are missing, unreadable or invalid.",
		"Correct them and send the signal again. The earlier settings stay in force.")
	eventGatherersChanged = eventlog.Define(1108, zerolog.InfoLevel, "gatherers changed",
		"Hosts joined or left, or the route plan changed, and with it the choice of the hosts that gather answers from shards.",
		"None. If the list is empty, every host gathers for itself. If unknown is true, this host has not found the other hosts yet and accepts no gather requests.")
	eventKeysUnconfirmed = eventlog.Define(1109, zerolog.WarnLevel, "keyed requests are refused: no leader has confirmed the keys lately",
		"This host has lost the leader for nearly as long as a revoked key may be used, or it was suspended.",
		"Look at the leader and at the links to the hosts with a disk. The host serves again with the next confirmation.")
	eventKeysConfirmed = eventlog.Define(1110, zerolog.InfoLevel, "keyed requests are served again",
		"A leader has confirmed the keys of the route plan.",
		"None.")
	eventBadPeerMessage = eventlog.Define(1103, zerolog.WarnLevel, "message from a peer could not be decoded",
		"The peer runs a newer version, or the message was damaged.",
		"Update this host.")
	eventColdHeld = eventlog.Define(1111, zerolog.InfoLevel, "attempts kept away from cold targets",
		"In the last ten seconds this host passed over targets that count as cold, because it had no share left of the requests to them.",
		"None while targets start or a failure domain was restored. If it stays, look at the states of the targets and at their connections.")
)
