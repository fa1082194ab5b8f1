package spread

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events 2200 to 2299.
var (
	eventOverflow = eventlog.Define(2200, zerolog.WarnLevel, "news for a neighbour exceeded their bound",
		"a neighbour has not acknowledged news for long, or very many records changed", "look at the neighbour; what it lacks is found by digests")
	eventRestarted = eventlog.Define(2201, zerolog.InfoLevel, "neighbour restarted",
		"a neighbour answers with a new session", "none; what it lacks is found by digests")
)
