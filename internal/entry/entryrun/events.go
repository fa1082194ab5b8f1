package entryrun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of orders, numbers 5000 to 5099.
var (
	eventOrderUnknown = eventlog.Define(5000, zerolog.WarnLevel, "order answered may_have_run",
		"A target or the ledger did not answer in time, or an earlier submission of the request ID has no known outcome.",
		"Look the order up with 'hawthornlock order status'. If it stays unknown, ask the target's team before placing a new order.")
	eventOrderRefused = eventlog.Define(5001, zerolog.InfoLevel, "order refused, not run",
		"The order was not dispatched, or every target proved that it did not run it.",
		"See the code. The caller may send the order again under the same request ID.")
)
