package forwardrun

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// service is the group of a service's searchers with their connections.
type service struct {
	engine *Engine
	name   string

	mu      sync.Mutex
	group   *forward.Group
	pools   map[forward.Identity]*pool
	waiters []waiter
}

// waiter is a run that waits for room at a searcher.
type waiter struct {
	runner *runner
	leg    int
}

// pool holds the connections to one searcher.
type pool struct {
	idle    []*conn // the most recently used last
	open    int     // connections, also those being dialed
	probing bool    // a connection is being opened to see whether the searcher is back
	probes  forward.ProbeBackoff
}

func newService(e *Engine, name string) *service {
	return &service{engine: e, name: name, group: forward.NewGroup(name, e.config.Budget), pools: make(map[forward.Identity]*pool)}
}

func (s *service) setHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Budget().SetHosts(n)
}

// request notes a caller's request for the service.
func (s *service) request(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Budget().RecordRequest(now)
}

// spare returns how many further attempts the budget has left for each request.
func (s *service) spare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Budget().LeftPerRequest(now)
}

// replace sets the searchers. Idle connections to those that left are closed;
// attempts in progress go on.
func (s *service) replace(specs []forward.SearcherSpec) {
	s.mu.Lock()
	s.group.Replace(specs)
	var idle []*conn
	for id, p := range s.pools {
		if !slices.ContainsFunc(specs, func(spec forward.SearcherSpec) bool { return spec.Identity == id }) {
			idle = append(idle, p.idle...)
			p.idle = nil
		}
	}
	waiters := s.waiters
	s.waiters = nil
	s.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
	for _, w := range waiters {
		w.notify()
	}
	s.warm()
}

func (w waiter) notify() {
	select {
	case w.runner.events <- event{freed: w.leg}:
	default: // cannot happen while the run still handles its events
	}
}

// before orders waiting runs by the rank of their route, then by deadline.
func (w waiter) before(o waiter) bool {
	a, b := w.runner.call, o.runner.call
	if a.Route.Priority != b.Route.Priority {
		return a.Route.Priority < b.Route.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// begin chooses a searcher for a run.
func (s *service) begin(now time.Time, c forward.Criteria, opts forward.AttemptOptions, rng *rand.Rand) (*forward.Searcher, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Begin(now, c, opts, rng)
}

// await notifies a run when a searcher may have room.
func (s *service) await(r *runner, leg int) {
	w := waiter{runner: r, leg: leg}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.waiters)
	for i > 0 && w.before(s.waiters[i-1]) {
		i--
	}
	s.waiters = slices.Insert(s.waiters, i, w)
}

// nextWaiter returns the first waiting run that still goes on. The caller
// holds the lock.
func (s *service) nextWaiter() (waiter, bool) {
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		s.waiters = s.waiters[1:]
		if !w.runner.ended.Load() {
			return w, true
		}
	}
	return waiter{}, false
}

func (s *service) poolOf(id forward.Identity) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{}
		s.pools[id] = p
	}
	return p
}

// send puts an attempt on an idle connection, or dials one for it.
func (s *service) send(a *sending) {
	id := a.Searcher.Identity
	if c := s.takeIdle(id); c != nil {
		c.send(a)
		return
	}
	go s.dial(id, a)
}

// takeIdle returns the most recently used idle connection that the searcher
// still keeps, or counts a new one.
func (s *service) takeIdle(id forward.Identity) *conn {
	s.mu.Lock()
	p := s.poolOf(id)
	now := time.Now()
	var stale []*conn
	defer func() {
		s.mu.Unlock()
		for _, c := range stale {
			c.close() // its reader reports the end
		}
	}()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now) {
			return c
		}
		stale = append(stale, c)
	}
	p.open++
	return nil
}

// dial opens a connection that was counted before, for an attempt or, if a is
// nil, to be kept ready.
func (s *service) dial(id forward.Identity, a *sending) {
	s.engine.stats.Dials.Add(1)
	nc, err := s.engine.dialer.DialContext(s.engine.ctx, "tcp", id.Address.String())
	if err != nil {
		s.engine.stats.DialFailures.Add(1)
		s.mu.Lock()
		p := s.poolOf(id)
		p.open--
		p.probing = false
		p.probes.Ended(time.Now(), 0, false, rand.Float64())
		s.group.RecordDial(id, false)
		s.mu.Unlock()
		if a != nil {
			a.end(forward.Unsent, nil)
		}
		return
	}
	s.mu.Lock()
	s.poolOf(id).probing = false
	s.group.RecordDial(id, true)
	s.mu.Unlock()
	c := newConn(nc, s.engine.config.Wire, func(c *conn, reusable bool) { s.released(id, c, reusable) })
	if a != nil {
		go c.read()
		c.send(a)
		return
	}
	s.released(id, c, true)
	go c.read()
}

// released takes a connection back after an attempt or at its end.
func (s *service) released(id forward.Identity, c *conn, reusable bool) {
	s.mu.Lock()
	p := s.poolOf(id)
	if reusable && s.knows(id) {
		p.idle = append(p.idle, c)
		s.mu.Unlock()
		return
	}
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	if !reusable {
		p.open--
		now := time.Now()
		p.probes.Ended(now, now.Sub(c.opened), c.answered, rand.Float64())
	}
	if p.open == 0 && !s.knows(id) {
		delete(s.pools, id)
	}
	s.mu.Unlock()
	if reusable {
		c.close() // its reader reports the end
	}
}

func (s *service) knows(id forward.Identity) bool {
	return slices.ContainsFunc(s.group.Searchers(), func(x *forward.Searcher) bool { return x.Identity == id })
}

// ended notes the result of an attempt and lets a waiting run go on.
func (s *service) ended(a *sending, usual time.Duration, result forward.Result) {
	now := time.Now()
	s.mu.Lock()
	s.group.End(now, a.Began, a.Searcher, usual, result)
	var idle []*conn
	if result == forward.Lost && a.timedOut {
		// The connections to this searcher may all have gone silent.
		p := s.poolOf(a.Searcher.Identity)
		idle, p.idle = p.idle, nil
	}
	next, waiting := s.nextWaiter()
	s.mu.Unlock()
	if result == forward.Misdirected && s.engine.config.OnGone != nil {
		s.engine.config.OnGone(a.Searcher.Target, a.Searcher.Incarnation)
	}
	for _, c := range idle {
		c.close()
	}
	if waiting {
		next.notify()
	}
}

func (s *service) expected(now time.Time, c forward.Criteria) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Expected(now, c)
}

// warm opens a connection to each searcher that has none. A searcher that was
// down is found again in this way and not by callers' requests.
func (s *service) warm() {
	if s.engine.ctx.Err() != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.group.Searchers() {
		p := s.poolOf(x.Identity)
		if p.open > 0 || p.probing || s.group.Gone(x.Identity) || !p.probes.Due(now) {
			continue
		}
		p.open++
		p.probing = true
		go s.dial(x.Identity, nil)
	}
}
