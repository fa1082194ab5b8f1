package forwardrun

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// service holds the searchers of a service and the connections to them.
type service struct {
	engine *Engine
	name   string

	mu      sync.Mutex
	group   *forward.Group
	pools   map[forward.Identity]*pool
	queue   forward.Queue[waiter]
	stretch forward.Stretch
	ends    uint64          // attempts that have ended
	used    ConnectionCount // since the last record
}

// waiter is a run that waits for capacity at a searcher.
type waiter struct {
	runner     *runner
	subRequest int // index
}

// pool holds the connections to one searcher.
type pool struct {
	idle    []*conn // the most recently used last
	open    int     // connections, including those being dialed
	probing bool    // a connection is being dialed other than for a request
	backoff forward.ProbeBackoff
}

func newService(e *Engine, name string) *service {
	s := &service{engine: e, name: name, group: forward.NewGroup(name, e.config.Budget), pools: make(map[forward.Identity]*pool)}
	s.group.SetGate(e.config.Gate)
	return s
}

// replace sets the searchers. Idle connections to removed searchers are closed;
// attempts in flight go on.
func (s *service) replace(specs []forward.SearcherSpec) {
	s.mu.Lock()
	s.group.Replace(time.Now(), specs)
	var idle []*conn
	for id, p := range s.pools {
		if !slices.ContainsFunc(specs, func(spec forward.SearcherSpec) bool { return spec.Identity == id }) {
			idle = append(idle, p.idle...)
			p.idle = nil
		}
	}
	waiters := s.queue.Clear()
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
	case w.runner.events <- event{freed: w.subRequest}:
	default: // cannot happen while the run still handles its events
	}
}

// refuse tells a run that its turn would come too late.
func (w waiter) refuse(wait time.Duration) {
	select {
	case w.runner.events <- event{freed: w.subRequest, refused: true, wait: wait}:
	default: // cannot happen while the run still handles its events
	}
}

// cost returns the time that the run's attempts are estimated to take.
func (w waiter) cost() time.Duration { return w.runner.cost.Work }

func (w waiter) turn() forward.Turn {
	c := w.runner.call
	t := forward.Turn{Priority: c.priority(), Weight: c.weight(), Deadline: c.Deadline, Cost: w.cost()}
	if c.Account != nil {
		t.Account = c.Account.Name
	}
	return t
}

// begin chooses a searcher for an attempt. ends is the number of attempts that have
// ended at the service, for await.
func (s *service) begin(now time.Time, c forward.Criteria, opts forward.AttemptOptions, rng *rand.Rand) (searcher *forward.Searcher, busy bool, ends uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if opts.Extra && !opts.Granted {
		s.budget() // the choice below charges it
	}
	searcher, busy = s.group.Begin(now, c, opts, rng)
	if searcher != nil && opts.Extra {
		s.engine.stats.Extra[opts.Reason].Add(1)
	}
	return searcher, busy, s.ends
}

// await queues a run that is notified when a searcher may have capacity, or refuses it if
// that will be too late. If an attempt has ended since the run found the searchers busy, it
// is notified at once: the end notified nobody, and there may be no other attempt whose end
// would.
func (s *service) await(r *runner, subRequest int, ends uint64) {
	w := waiter{runner: r, subRequest: subRequest}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends != ends {
		w.notify()
		return
	}
	t := w.turn()
	now := time.Now()
	wait := s.stretch.Wait(s.queue.Ahead(t), s.group.Room(now))
	if w.mayRefuse() && !forward.Servable(now, t.Deadline, wait, t.Cost) {
		w.refuse(s.drain(now))
		return
	}
	s.queue.Push(t, w)
}

// nextWaiter removes and returns the run whose turn it is. Runs that can't be answered in
// time any more are refused. The caller holds the lock.
func (s *service) nextWaiter() (waiter, bool) {
	for {
		w, ok, late := s.queue.Next(time.Now(), waiter.cost)
		for _, l := range late {
			l.refuse(s.drain(time.Now()))
		}
		if !ok || !w.runner.ended.Load() {
			return w, ok
		}
	}
}

// refuseHopeless refuses the waiting requests to this service alone whose turns will come
// too late. The caller holds the lock.
func (s *service) refuseHopeless(now time.Time) {
	room := s.group.Room(now)
	wait := func(work time.Duration) time.Duration { return s.stretch.Wait(work, room) }
	for _, w := range s.queue.Hopeless(now, wait, waiter.mayRefuse) {
		w.refuse(s.drain(now))
	}
}

// drain returns the time in which the waiting runs take their turns. The caller holds the
// lock.
func (s *service) drain(now time.Time) time.Duration {
	return s.stretch.Wait(s.queue.Work(), s.group.Room(now))
}

// mayRefuse reports whether a run may be refused because its turn will come too late. A
// gather may do without a shard that has no room, but not be refused any more once other
// shards have got it.
func (w waiter) mayRefuse() bool {
	return w.runner.subRequests == 1 && w.runner.call.Route.Gather == nil
}

// leave removes a waiting run that has ended. A notice that it has not handled goes to the
// next one: there may be no other attempt whose end would notify that one.
func (s *service) leave(r *runner, subRequest int) {
	s.mu.Lock()
	removed := s.queue.Remove(waiter{runner: r, subRequest: subRequest})
	s.mu.Unlock()
	if !removed {
		s.passOn()
	}
}

// passOn notifies the next waiting run of capacity that the notified one does not use.
func (s *service) passOn() {
	s.mu.Lock()
	next, waiting := s.nextWaiter()
	s.mu.Unlock()
	if waiting {
		next.notify()
	}
}

func (s *service) poolOf(id forward.Identity) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{}
		s.pools[id] = p
	}
	return p
}

// send sends an attempt over an idle connection, or dials one for it.
//
// A request that may run only once is not sent again over a connection that it was
// sent over before: a delayed second copy of the refusal would have the same
// request ID and would be taken for the reply to the new attempt.
func (s *service) send(x *exchange) {
	id := x.Searcher.Identity
	c := s.takeIdle(id)
	if c != nil && x.Again && !x.call.Route.Idempotent {
		c.close() // its reader goroutine releases it
		s.countOpen(id)
		c = nil
	}
	switch {
	case c == nil:
		go s.dial(id, x)
	case s.maySend(id):
		c.send(x)
	default:
		s.released(id, c, true)
		x.end(forward.Unsent, nil)
	}
}

// maySend reports whether a request that was assigned to a searcher may be sent to it
// now. It needs no lock: the gate of the group is set once and safe for concurrent use.
func (s *service) maySend(id forward.Identity) bool {
	return s.group.MaySend(time.Now(), id)
}

func (s *service) countOpen(id forward.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolOf(id).open++
}

// takeIdle returns the most recently used idle connection that the searcher
// still keeps open. If there is none, it returns nil and counts a new one as
// open.
func (s *service) takeIdle(id forward.Identity) *conn {
	s.mu.Lock()
	p := s.poolOf(id)
	now := time.Now()
	var stale []*conn
	defer func() {
		s.mu.Unlock()
		for _, c := range stale {
			c.close() // its reader goroutine releases it
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

// dial opens a connection that is already counted, for an attempt or, if x is
// nil, to be kept idle.
func (s *service) dial(id forward.Identity, x *exchange) {
	s.engine.stats.Dials.Add(1)
	nc, err := s.engine.dialer.DialContext(s.engine.ctx, "tcp", id.Address.String())
	if err != nil {
		s.engine.stats.DialFailures.Add(1)
		s.mu.Lock()
		s.used.Opened++
		s.used.Failed++
		p := s.poolOf(id)
		p.open--
		p.probing = false
		p.backoff.Ended(time.Now(), 0, false, rand.Float64())
		s.group.RecordDial(id, false)
		if s.engine.ctx.Err() == nil {
			s.group.ConnectionLost(time.Now(), id)
		}
		s.mu.Unlock()
		if x != nil {
			x.end(forward.Unsent, nil)
		}
		return
	}
	s.mu.Lock()
	s.used.Opened++
	s.poolOf(id).probing = false
	s.group.RecordDial(id, true)
	mayReceive := s.group.MayReceive(time.Now(), id)
	s.mu.Unlock()
	c := newConn(nc, s.engine.config.Wire, &s.engine.memory, func(c *conn, reusable bool) { s.released(id, c, reusable) })
	if x != nil && mayReceive && s.maySend(id) {
		go c.read()
		c.send(x)
		return
	}
	s.released(id, c, true)
	go c.read()
	if x != nil {
		x.end(forward.Unsent, nil) // the searcher or the gate refused further requests meanwhile
	}
}

// released puts a reusable connection of a current searcher into its pool, and
// drops any other one.
func (s *service) released(id forward.Identity, c *conn, reusable bool) {
	s.mu.Lock()
	p := s.poolOf(id)
	if reusable && s.hasSearcher(id) {
		p.idle = append(p.idle, c)
		s.mu.Unlock()
		return
	}
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	if !reusable {
		p.open--
		if !c.answered {
			s.used.Unanswered++
		}
		now := time.Now()
		if c.lost {
			s.group.ConnectionLost(now, id)
		}
		p.backoff.Ended(now, now.Sub(c.opened), c.answered, rand.Float64())
	}
	if p.open == 0 && !s.hasSearcher(id) {
		delete(s.pools, id)
	}
	s.mu.Unlock()
	if reusable {
		c.close() // its reader goroutine releases it
	}
}

func (s *service) hasSearcher(id forward.Identity) bool {
	return slices.ContainsFunc(s.group.Searchers(), func(searcher *forward.Searcher) bool { return searcher.Identity == id })
}

// ended records the result of an attempt of the given work and notifies a waiting run.
// It returns the same time as forward.Group.End.
func (s *service) ended(x *exchange, work time.Duration, result forward.Result) (o workload.Observation) {
	now := time.Now()
	s.mu.Lock()
	s.ends++
	o = s.group.End(now, x.Began, x.Searcher, work, result)
	if x.reply != nil {
		s.group.Report(now, x.Searcher, x.reply.meta.Load)
	}
	if result == forward.Good || result == forward.SearcherFailed {
		s.stretch.Observe(now.Sub(x.Began), work)
	}
	s.group.Note(now, x.Searcher.Identity, x.notice)
	var idle []*conn
	if result == forward.Lost && x.timedOut {
		// All connections to this searcher may be dead.
		p := s.poolOf(x.Searcher.Identity)
		idle, p.idle = p.idle, nil
	}
	next, waiting := s.nextWaiter()
	s.refuseHopeless(now)
	s.mu.Unlock()
	if result == forward.Misdirected && s.engine.config.OnMisdirected != nil {
		s.engine.config.OnMisdirected(x.Searcher.Target, x.Searcher.Incarnation)
	}
	if x.notice.Leaving {
		s.reportLeaving(x.Searcher.Identity)
	}
	for _, c := range idle {
		c.close()
	}
	if waiting {
		next.notify()
	}
	return o
}

func (s *service) reportLeaving(id forward.Identity) {
	if s.engine.config.OnLeaving != nil {
		s.engine.config.OnLeaving(id.Target, id.Incarnation)
	}
}

func (s *service) resume(now time.Time, opts forward.AttemptOptions) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Resume(now, opts)
}

func (s *service) expected(now time.Time, c forward.Criteria) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Expected(now, c)
}

// warm opens a connection to each searcher that takes requests and has none, or whose
// last dial failed: that one gets no requests, not even over connections that are still
// open. So warm, rather than a caller's request, finds a searcher that is back. It also
// reports again which searchers leave, in case a report was dropped.
func (s *service) warm() {
	if s.engine.ctx.Err() != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.group.Leaving() {
		s.reportLeaving(id)
	}
	for _, searcher := range s.group.Searchers() {
		p := s.poolOf(searcher.Identity)
		if searcher.OnDemand() || !searcher.NeedsProbe(p.open) || p.probing || !s.group.MayReceive(now, searcher.Identity) || !p.backoff.Due(now) {
			continue
		}
		p.open++
		p.probing = true
		go s.dial(searcher.Identity, nil)
	}
}
