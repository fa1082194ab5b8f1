package admissionrun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var eventQueriesRefused = eventlog.Define(6200, zerolog.WarnLevel, "queries refused for overload",
	"more queries arrive than this host can run in time; logged at most once a second with the number refused since the last record",
	"check the groups in the state dump: overload of one group means too few or too slow targets, overload of all groups too few hosts")
