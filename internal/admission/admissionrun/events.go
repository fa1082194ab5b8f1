package admissionrun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var eventRefusing = eventlog.Define(6200, zerolog.WarnLevel, "queries refused for overload",
	"more queries arrive than this host can run in time; logged at most once a second with the number refused since",
	"look at the groups in the state dump: a single group means too few or slow targets, all of them too few hosts")
