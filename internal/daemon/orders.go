package daemon

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrpc"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// lookUpTimeout bounds a look-up at one host.
const lookUpTimeout = time.Second

// ledger reaches the replicated ledger of orders from any host.
type ledger struct{ d *Daemon }

// Commit appends a command to the log.
func (l ledger) Commit(ctx context.Context, c orders.Command) (orders.Reply, error) {
	data, err := controlcodec.EncodeOrder(time.Now(), c)
	if err != nil {
		return orders.Reply{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode the order")
	}
	result, err := l.d.submit(ctx, proposals.KindOrder, data)
	if err != nil {
		return orders.Reply{}, err
	}
	return orderscodec.DecodeReply(result)
}

// LookUp asks the leader what the ledger knows of a request.
func (l ledger) LookUp(ctx context.Context, requestID string) (orders.Reply, error) {
	var last error
	for try := range 2 * len(l.d.settings.Voters) {
		reply, err := l.d.lookUpAt(ctx, l.d.leaderCandidate(try), requestID)
		if err == nil {
			return reply, nil
		}
		last = err
	}
	return orders.Reply{}, last
}

func (d *Daemon) lookUpAt(ctx context.Context, host, requestID string) (orders.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	if host == d.settings.Host {
		return d.lookUpHere(ctx, requestID)
	}
	address, ok := d.directory.lookup(host)
	if !ok {
		return orders.Reply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the address of host %q is unknown", host)
	}
	client := ordersrpc.NewOrdersProtobufClient(peerlink.BaseURL(address), d.links.Client())
	m, err := client.LookUp(ctx, &ordersrpc.LookUpRequest{RequestId: requestID, TimeoutMs: lookUpTimeout.Milliseconds()})
	if err != nil {
		return orders.Reply{}, err
	}
	if m.GetFailure() != nil {
		return orders.Reply{}, proposalsrpc.DecodeFailure(m.GetFailure())
	}
	return orderscodec.DecodeReply(m.GetReply())
}

func (d *Daemon) lookUpHere(ctx context.Context, requestID string) (orders.Reply, error) {
	result, err := d.loop.Call(ctx, func(token uint64) control.Event {
		return control.LookUpOrder{Token: token, RequestID: requestID}
	})
	if err != nil {
		return orders.Reply{}, err
	}
	return result.(orders.Reply), nil
}
