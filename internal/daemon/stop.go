package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

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
		d.cancel(errors.Newf("%d requests were interrupted", e.Interrupted))
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
