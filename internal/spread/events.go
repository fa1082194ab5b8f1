package spread

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events 2200 to 2299.
var (
	eventOverflow = eventlog.Define(2200, zerolog.WarnLevel, "too many items pending for a neighbour",
		"a neighbour has not acknowledged items for a long time, or very many records changed", "check the neighbour; a digest exchange finds the records that it lacks")
	eventRestarted = eventlog.Define(2201, zerolog.InfoLevel, "neighbour restarted",
		"a neighbour sent a request or response with a new session", "none; a digest exchange finds the records that it lacks")
	eventMalformed = eventlog.Define(2202, zerolog.WarnLevel, "malformed items left out",
		"a neighbour sent records that this host can't decode or that are not valid; the other records of the message were applied", "check the version of the neighbour and the record that the reason names")
)
