package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

// endRequests has every request in progress answered by a time.
func (d *Daemon) endRequests(by time.Time) {
	d.inFlight.EndBy(by)
	if d.engine != nil {
		d.engine.EndBy(by)
	}
}

// Ending returns a context that ends when the host must answer the requests in progress
// with what is known about them, because it is about to exit.
func (d *Daemon) Ending() context.Context { return d.inFlight.Ending() }

// Stopping reports whether the host has begun to stop, so that callers must not use their
// connections again.
func (d *Daemon) Stopping() bool { return d.inFlight.Stopping() }

// closeTraffic settles the open orders and closes the connections to targets.
func (d *Daemon) closeTraffic() {
	ctx, cancel := context.WithTimeout(d.ctx, handoverTimeout)
	defer cancel()
	d.orderRuns.Close(ctx)
	if err := d.pools.Close(ctx); err != nil {
		d.log.Log(eventConnectionsLeft).Err(err).Send()
	}
	_ = d.loop.Post(d.ctx, control.TrafficClosed{})
}

func (d *Daemon) syncJournal() {
	if err := d.closeLog(); err != nil {
		d.fail(err)
		return
	}
	_ = d.loop.Post(d.ctx, control.LifecycleEvent{Event: lifecycle.Synced{}})
}

func (d *Daemon) exit(e control.Exit) {
	if e.Interrupted > 0 {
		d.cancel(errors.Wrapf(errInterrupted, "%d in progress", e.Interrupted))
		return
	}
	d.cancel(errStopped)
}

// Reload reads the settings again and applies the only ones that may change
// while the process runs, the addresses of other hosts.
func (d *Daemon) Reload(load func() (*settings.Settings, error)) {
	s, err := load()
	if err != nil {
		d.log.Log(eventReloadFailed).Err(err).Send()
		return
	}
	peers := seedsOf(s, d.Address("peer"))
	d.log.Log(eventReloaded).Int("peers", len(peers)).Send()
	_ = d.loop.Post(d.ctx, control.SeedsChanged{Seeds: peers})
}
