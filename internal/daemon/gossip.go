package daemon

import (
	"context"
	"net/http"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/membership/membershiprpc"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/spread/spreadrpc"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/targets/targetsrpc"
)

// sendHeartbeat exchanges heartbeats with a host. A failure needs no report,
// because membership detects missing heartbeats.
func (d *Daemon) sendHeartbeat(e control.SendHeartbeat) {
	d.links.Send(e.Address, func(ctx context.Context, client *http.Client, baseURL string) {
		reply, err := membershiprpc.Exchange(ctx, client, baseURL, &e.Heartbeat)
		if err != nil {
			return
		}
		_ = d.loop.Post(ctx, control.HeartbeatAnswered{Heartbeat: reply})
	})
}

func (d *Daemon) answerHeartbeat(ctx context.Context, hb membership.Heartbeat) (membership.Heartbeat, error) {
	result, err := d.loop.Call(ctx, func(token uint64) control.Event {
		return control.HeartbeatReceived{Token: token, Heartbeat: hb}
	})
	if err != nil {
		return membership.Heartbeat{}, err
	}
	return result.(membership.Heartbeat), nil
}

// sendExchange sends an exchange request to a neighbour. If no result is
// reported, the dissemination gives up the request after its own timeout.
func (d *Daemon) sendExchange(e control.SendExchange) {
	address, ok := d.directory.lookup(e.To)
	if !ok {
		return
	}
	d.links.Send(address, func(ctx context.Context, client *http.Client, baseURL string) {
		response, err := spreadrpc.Exchange(ctx, client, baseURL, &e.Request)
		if err != nil {
			_ = d.loop.Post(ctx, control.SpreadEvent{Event: spread.RequestFailed{To: e.To, ID: e.Request.ID}})
			return
		}
		_ = d.loop.Post(ctx, control.SpreadEvent{Event: spread.ResponseReceived{Response: response}})
	})
}

func (d *Daemon) answerExchange(ctx context.Context, r spread.Request) (spread.Response, error) {
	result, err := d.loop.Call(ctx, func(token uint64) control.Event {
		return control.ExchangeReceived{Token: token, Request: r}
	})
	if err != nil {
		return spread.Response{}, err
	}
	return result.(spread.Response), nil
}

// forwardRenewals sends renewals to an owner of their leases. It reports a
// failure to the control goroutine, which queues them again.
func (d *Daemon) forwardRenewals(e control.ForwardRenewals) {
	failed := control.TargetsEvent{Event: targets.RenewalsFailed{To: e.To, Renewals: e.Renewals}}
	address, ok := d.directory.lookup(e.To)
	if !ok {
		go func() { _ = d.loop.Post(d.ctx, failed) }()
		return
	}
	sent := d.links.Send(address, func(ctx context.Context, client *http.Client, baseURL string) {
		if err := targetsrpc.Forward(ctx, client, baseURL, d.settings.Host, e.Renewals); err != nil {
			_ = d.loop.Post(d.ctx, failed)
		}
	})
	if !sent {
		go func() { _ = d.loop.Post(d.ctx, failed) }()
	}
}

func (d *Daemon) receiveRenewals(ctx context.Context, r targets.RenewalsReceived) error {
	return d.loop.Post(ctx, control.TargetsEvent{Event: r})
}

// proposeOrder submits a command that this host makes itself. The control core
// proposes it again while it is needed.
func (d *Daemon) proposeOrder(c orders.Command) {
	ctx, cancel := context.WithTimeout(d.ctx, systemSubmitTimeout)
	defer cancel()
	_, _ = ledger{d}.Commit(ctx, c)
}
