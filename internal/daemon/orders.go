package daemon

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// ledger gives any host access to the replicated ledger of orders.
type ledger struct{ d *Daemon }

// Commit appends a command to the log.
func (l ledger) Commit(ctx context.Context, c orders.Command) (orders.Reply, error) {
	data, err := controlcodec.EncodeOrder(time.Now(), c)
	if err != nil {
		return orders.Reply{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode the order")
	}
	result, err := l.d.submit(ctx, proposals.KindOrder, data, 0)
	if err != nil {
		return orders.Reply{}, err
	}
	return orderscodec.DecodeReply(result)
}

// LookUp returns the leader's ledger entry of a request.
func (l ledger) LookUp(ctx context.Context, requestID string) (orders.Reply, error) {
	return l.d.lookUpOrder(ctx, requestID)
}
