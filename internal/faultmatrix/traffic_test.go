package faultmatrix

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// connectionLimit is that of the targets, unless a test sets another one.
const connectionLimit = 30

// busyTime is how long requests keep connections above a share open.
const busyTime = 3 * time.Second

// leftover is what a target still counts of a process that ended.
type leftover struct {
	n     int
	until time.Time
}

// pool opens as many connections to one target as the host's share allows.
type pool struct {
	held      int
	shrinkAt  time.Time // when the connections above the share are closed
	reported  uint64
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
	share := view.Share("t0", h.w.limit).Connections
	now := h.w.now
	switch {
	case p.closed:
		return
	case share >= p.held:
		p.held, p.shrinkAt = share, time.Time{}
	case p.shrinkAt.IsZero():
		p.shrinkAt = now.Add(h.w.busy)
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

// balancer stands before the hosts and learns of their readiness late.
type balancer struct {
	lag   time.Duration
	ready map[string]bool
}

func (w *world) balance() {
	for _, h := range w.hosts {
		ready := h.up && h.snapshot.Ready
		w.after(w.balancer.lag, func() { w.balancer.ready[h.name] = ready })
	}
	w.after(100*time.Millisecond, w.balance)
}

// entry returns a host that the balancer takes for ready.
func (w *world) entry() *host {
	var ready []*host
	for _, h := range w.hosts {
		if w.balancer.ready[h.name] {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = w.hosts
	}
	return ready[w.rng.IntN(len(ready))]
}

// work sends a request of one second to a host every 50 ms.
func (w *world) work() {
	w.after(50*time.Millisecond, w.work)
	h := w.entry()
	if !h.serving() {
		return
	}
	h.inFlight++
	incarnation := h.incarnation
	w.after(time.Second, func() {
		if h.incarnation == incarnation && h.up {
			h.inFlight--
		}
	})
}

// target announces itself every second.
type target struct {
	w         *world
	name      string
	port      uint16
	seq       uint64
	phase     targets.Phase
	gone      bool
	lies      bool      // reports bad health and low load
	drainedAt time.Time // first accepted announcement of the drain
}

func (w *world) addTarget(name string) *target {
	t := &target{w: w, name: name, port: uint16(2000 + len(w.targets)), phase: targets.Ready}
	w.targets = append(w.targets, t)
	t.announce()
	return t
}

func (t *target) announcement() targets.Announcement {
	return targets.Announcement{
		Target: t.name, Incarnation: 1, Seq: t.seq, FailureDomain: "d0", ConnectionLimit: t.w.limit, Phase: t.phase,
		Address:        netip.AddrPortFrom(netip.MustParseAddr("10.0.1.1"), t.port),
		Labels:         map[string]string{"app": "names"},
		Searchers:      []targets.Searcher{{Name: "s0", Slots: 2, Holds: []targets.Holding{{IndexSnapshot: "v1", Shards: []string{"a", "b"}}}}},
		IndexSnapshots: []targets.IndexSnapshot{{Name: "v1", Generation: 1, Layout: []string{"a", "b"}}},
		Reported:       targets.Reported{Healthy: !t.lies},
	}
}

func (t *target) announce() {
	w := t.w
	w.after(time.Second, func() {
		if !t.gone {
			t.announce()
		}
	})
	if t.gone {
		return
	}
	t.seq++
	h := w.entry()
	a := t.announcement()
	w.after(2*time.Millisecond, func() {
		w.arrive(h, func() {
			h.call(func(token uint64) control.Event { return control.Announced{Token: token, Announcement: a} }, func(_ any, err error) {
				if err == nil && a.Phase == targets.Draining && t.drainedAt.IsZero() && w.connected(h) {
					t.drainedAt = w.now
					w.note("%s drains, announced to %s", t.name, h.name)
				}
			})
		})
	})
}

func (t *target) drain() {
	t.phase = targets.Draining
	t.w.note("%s begins to drain", t.name)
}
