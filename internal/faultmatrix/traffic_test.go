package faultmatrix

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// connectionLimit is the connection limit of each target, unless a test sets
// another one.
const connectionLimit = 30

// busyTime is how long requests keep connections open that exceed a share.
const busyTime = 3 * time.Second

// leftover is a number of connections of an ended process that the target still
// counts.
type leftover struct {
	n     int
	until time.Time
}

// pool holds as many connections to target t0 as the host's share allows.
type pool struct {
	held      int
	shrinkAt  time.Time // when the connections above the share are closed
	reported  uint64    // last epoch reported as WithinShares
	leftovers []leftover
	closed    bool
}

func (p *pool) restart(time.Time) { *p = pool{leftovers: p.leftovers} }

func (p *pool) crash(now time.Time) {
	p.leftovers = append(p.leftovers, leftover{n: p.held, until: now.Add(connections.DefaultLeftoverTimeout)})
	p.held = 0
}

func (p *pool) close() { p.held, p.closed = 0, true }

func (p *pool) step(h *host) {
	view := h.snapshot.Shares
	share := view.Share("t0", h.sim.limit).Connections
	now := h.sim.now
	switch {
	case p.closed:
		return
	case share >= p.held:
		p.held, p.shrinkAt = share, time.Time{}
	case p.shrinkAt.IsZero():
		p.shrinkAt = now.Add(h.sim.busy)
	case !now.Before(p.shrinkAt):
		p.held, p.shrinkAt = share, time.Time{}
	}
	if p.held <= share && view.Epoch() > p.reported {
		p.reported = view.Epoch()
		h.step(control.WithinShares{Epoch: view.Epoch()})
	}
}

func (p *pool) counted(now time.Time) int {
	n := p.held
	for _, l := range p.leftovers {
		if now.Before(l.until) {
			n += l.n
		}
	}
	return n
}

// balancer is the load balancer in front of the hosts. It learns of their
// readiness with a lag.
type balancer struct {
	lag   time.Duration
	ready map[string]bool
}

func (sim *simulation) updateBalancer() {
	for _, h := range sim.hosts {
		ready := h.up && h.snapshot.Ready
		sim.after(sim.balancer.lag, func() { sim.balancer.ready[h.name] = ready })
	}
	sim.after(100*time.Millisecond, sim.updateBalancer)
}

// readyHost returns a random host that the balancer considers ready, or any host
// if there is none.
func (sim *simulation) readyHost() *host {
	var ready []*host
	for _, h := range sim.hosts {
		if sim.balancer.ready[h.name] {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = sim.hosts
	}
	return ready[sim.rng.IntN(len(ready))]
}

// generateLoad starts a request every 50 ms that takes one second.
func (sim *simulation) generateLoad() {
	sim.after(50*time.Millisecond, sim.generateLoad)
	h := sim.readyHost()
	if !h.serving() {
		return
	}
	h.inFlight++
	incarnation := h.incarnation
	sim.after(time.Second, func() {
		if h.incarnation == incarnation && h.up {
			h.inFlight--
		}
	})
}

// target simulates a target, which announces itself every second.
type target struct {
	sim        *simulation
	name       string
	port       uint16
	seq        uint64
	phase      targets.Phase
	gone       bool
	misreports bool      // reports bad health and low load
	drainedAt  time.Time // first accepted announcement of the drain
}

func (sim *simulation) addTarget(name string) *target {
	t := &target{sim: sim, name: name, port: uint16(2000 + len(sim.targets)), phase: targets.Ready}
	sim.targets = append(sim.targets, t)
	t.announce()
	return t
}

func (t *target) announcement() targets.Announcement {
	return targets.Announcement{
		Target: t.name, Incarnation: 1, Seq: t.seq, FailureDomain: "d0", ConnectionLimit: t.sim.limit, Phase: t.phase,
		Address:        netip.AddrPortFrom(netip.MustParseAddr("10.0.1.1"), t.port),
		Labels:         map[string]string{"app": "names"},
		Searchers:      []targets.Searcher{{Name: "s0", Slots: 2, Holds: []targets.Holding{{IndexSnapshot: "v1", Shards: []string{"a", "b"}}}}},
		IndexSnapshots: []targets.IndexSnapshot{{Name: "v1", Generation: 1, Layout: []string{"a", "b"}}},
		Reported:       targets.Reported{Healthy: !t.misreports},
	}
}

func (t *target) announce() {
	sim := t.sim
	sim.after(time.Second, func() {
		if !t.gone {
			t.announce()
		}
	})
	if t.gone {
		return
	}
	t.seq++
	h := sim.readyHost()
	a := t.announcement()
	sim.after(2*time.Millisecond, func() {
		sim.arrive(h, func() {
			h.call(func(token uint64) control.Event { return control.Announced{Token: token, Announcement: a} }, func(_ any, err error) {
				if err == nil && a.Phase == targets.Draining && t.drainedAt.IsZero() && sim.connected(h) {
					t.drainedAt = sim.now
					sim.logf("%s announced its drain to %s", t.name, h.name)
				}
			})
		})
	})
}

func (t *target) drain() {
	t.phase = targets.Draining
	t.sim.logf("%s starts to drain", t.name)
}
