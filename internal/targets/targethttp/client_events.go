package targethttp

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var eventProtocolFault = eventlog.Define(2080, zerolog.WarnLevel, "target broke the protocol",
	"a target's reply had an unexpected status, was malformed or too large, or answered another request; logged at most once a second",
	"find the target's version by its address; drain the target if the fault repeats")
