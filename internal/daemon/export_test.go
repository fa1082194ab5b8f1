package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
)

// RunHandingOver runs the host until stop is called, with another host as the only
// gatherer of the services. The host chooses no gatherers by itself. After Stop, stop
// waits for the end of the graceful stop.
func (d *Daemon) RunHandingOver(gatherer string, peer netip.AddrPort, services ...string) (stop func()) {
	p := &placement{gatherers: make(map[string][]gathering.Host)}
	for _, s := range services {
		p.gatherers[s] = []gathering.Host{{Name: gatherer}}
	}
	d.gather.placement.Store(p)
	d.directory.fixed[gatherer] = peer
	d.start(func() { d.loop.Run(d.ctx, d) })
	for name := range d.servers {
		d.start(func() { d.serve(name) })
	}
	return sync.OnceFunc(func() {
		d.Stop()
		<-d.ctx.Done()
		d.close()
	})
}

// UseWholeBudget gives the host the whole fixed part of the budgets of extra attempts, as a
// member list of one host does after some time.
func (d *Daemon) UseWholeBudget() {
	d.engine.SetBudgetShare(forwardrun.BudgetShare{Hosts: 1, Until: bootclock.Now().Add(time.Hour)})
}

// Gathers reports whether the host takes requests from other hosts.
func (d *Daemon) Gathers() bool {
	p := d.gather.placement.Load()
	return p != nil && !p.unknown
}

// InFlight returns the number of requests in progress.
func (d *Daemon) InFlight() int { return d.inFlight.Count() }

// ReplyMemoryLeft reports whether so many bytes of the memory for replies are free.
func (d *Daemon) ReplyMemoryLeft(bytes int64) bool {
	c := d.engine.NewCharge()
	defer c.Release()
	return c.Take(bytes)
}
