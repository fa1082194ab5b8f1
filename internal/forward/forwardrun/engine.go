package forwardrun

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Config configures an Engine.
type Config struct {
	Wire          Wire
	FailureDomain string
	Budget        forward.BudgetLimits
	Seed          uint64
	// OnMisdirected is called when another searcher answered at the address of a
	// target. It must not block.
	OnMisdirected func(target string, incarnation uint64)
	// OnLeaving is called when a reply of a target said that it leaves. It must not
	// block, and may be called more than once for one target.
	OnLeaving func(target string, incarnation uint64)
	// Gate keeps requests away from searchers. nil admits all of them.
	Gate forward.Gate
	// ReplyMemory bounds the bytes that replies hold at any time, all calls
	// together. 0 means DefaultReplyMemory.
	ReplyMemory int64
}

// DefaultReplyMemory is the default of Config.ReplyMemory in bytes.
const DefaultReplyMemory = 64 << 20

// dialTimeout bounds a dial. A packet that a full accept queue drops is sent
// again only after a second.
const dialTimeout = 900 * time.Millisecond

// Engine forwards calls to searchers. It is safe for concurrent use.
type Engine struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	dialer net.Dialer
	memory replyMemory

	mu       sync.RWMutex
	services map[string]*service
	sharers  Sharers

	routesMu sync.Mutex
	routes   map[string]*routeState
	costs    *workload.Costs
	kinds    map[string]*KindEstimates
	stats    Stats

	ending atomic.Pointer[ending]
}

// ending is when all calls end because the process is about to exit.
type ending struct {
	by       time.Time     // zero for no limit
	replaced chan struct{} // closed when another one replaces it
}

// Stats are totals since the start of the engine.
type Stats struct {
	Calls, Attempts, Retries, Dials, DialFailures, Lost, Rejected, Shed atomic.Int64
}

// routeState is the engine's state of a route, kept across versions of the
// route.
type routeState struct {
	timing       *forward.Timing
	splitter     forward.Splitter
	admission    forward.Admission
	fair         forward.FairShares
	priority     int
	firstService string // identifies routes over the same shards
}

// New returns an engine without searchers.
func New(config Config) *Engine {
	e := &Engine{config: config, services: make(map[string]*service), routes: make(map[string]*routeState), costs: workload.NewCosts(), kinds: make(map[string]*KindEstimates), sharers: Sharers{Hosts: 1}}
	e.ending.Store(&ending{replaced: make(chan struct{})})
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	e.memory.limit = config.ReplyMemory
	if e.memory.limit <= 0 {
		e.memory.limit = DefaultReplyMemory
	}
	return e
}

// Stats returns the totals.
func (e *Engine) Stats() *Stats { return &e.stats }

// Sharers are the numbers of hosts that share the budgets of extra attempts. 0 means
// that the number is not known, and that this host has no fixed part of the budget.
type Sharers struct {
	Hosts    int
	Services map[string]int // of services that only some hosts reach
}

// of returns the number of hosts that share the budget of a service.
func (s Sharers) of(name string) int {
	if n, ok := s.Services[name]; ok {
		return n
	}
	return s.Hosts
}

// SetSharers sets the numbers of hosts that share the budgets. It is 1 before the
// first call.
func (e *Engine) SetSharers(sharers Sharers) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sharers.Hosts == sharers.Hosts && maps.Equal(e.sharers.Services, sharers.Services) {
		return
	}
	e.sharers = sharers
	for _, s := range e.services {
		s.setHosts(sharers.of(s.name))
	}
}

// SetSearchers replaces the searchers of all services.
func (e *Engine) SetSearchers(specs map[string][]forward.SearcherSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, list := range specs {
		s := e.services[name]
		if s == nil {
			s = newService(e, name)
			s.setHosts(e.sharers.of(name))
			e.services[name] = s
		}
		s.replace(list)
	}
	for name, s := range e.services {
		if _, ok := specs[name]; !ok {
			s.replace(nil)
		}
	}
}

func (e *Engine) service(name string) *service {
	e.mu.RLock()
	s := e.services[name]
	e.mu.RUnlock()
	if s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s = e.services[name]; s == nil {
		s = newService(e, name)
		s.setHosts(e.sharers.of(name))
		e.services[name] = s
	}
	return s
}

// maxRouteStates bounds the states of routes, which stay when plans no longer
// name the route.
const maxRouteStates = 20_000

func (e *Engine) route(name string) *routeState {
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRouteStates {
			clear(e.routes)
		}
		r = &routeState{timing: forward.NewTiming()}
		e.routes[name] = r
	}
	return r
}

// servicesOf returns the services that answer a call: the shards of a gathered
// route that it is about, or the one that the split selects.
func (e *Engine) servicesOf(call *Call, state *routeState) []string {
	r := call.Route
	if r.Gather != nil && call.Shards != nil {
		out := make([]string, len(call.Shards))
		for i, k := range call.Shards {
			out[i] = r.Gather.Services[k]
		}
		return out
	}
	if r.Gather != nil {
		return r.Gather.Services
	}
	if len(r.Splits) == 1 {
		return []string{r.Splits[0].Service}
	}
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	return []string{r.Splits[state.splitter.Next(r.Splits)].Service}
}

// EndBy makes all calls end by a time, because the process is about to exit. An earlier
// time replaces a later one.
func (e *Engine) EndBy(at time.Time) {
	old := e.ending.Swap(&ending{by: at, replaced: make(chan struct{})})
	close(old.replaced)
}

// replyMargin is how long before the end of all calls a searcher or another host is told
// to stop, so that what it says about a request still arrives.
const replyMargin = 100 * time.Millisecond

// Limit returns the deadline for work of others on a call with the given deadline. It is
// earlier if the process exits before.
func (e *Engine) Limit(deadline time.Time) time.Time {
	end := e.ending.Load()
	if early := end.by.Add(-replyMargin); !end.by.IsZero() && early.Before(deadline) {
		return early
	}
	return deadline
}

// Close closes idle connections and cancels dials. Attempts in flight go on.
func (e *Engine) Close() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.replace(nil)
	}
}

// maintainInterval is the time between two checks for searchers without a
// connection, and so the least time after which one that was down is found
// again.
const maintainInterval = 200 * time.Millisecond

// Maintain keeps a connection open to every searcher until ctx ends, so that
// requests do not wait for a dial.
func (e *Engine) Maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.mu.RLock()
			for _, s := range e.services {
				s.warm()
			}
			e.mu.RUnlock()
		}
	}
}

// event is an input of a run: an ended exchange, freed capacity, or a turn that would come
// too late.
type event struct {
	exchange *exchange // ended; nil if capacity was freed or a turn refused
	result   forward.Result
	freed    int           // index of the sub-request whose service may have capacity
	refused  bool          // the turn of the sub-request would come too late
	wait     time.Duration // until that turn
}

// runner drives one run. Its Environment methods are called on its goroutine.
type runner struct {
	engine      *Engine
	call        *Call
	route       *routeState
	events      chan event
	open        []*exchange
	replies     map[*forward.Attempt]*Reply
	rng         *rand.Rand
	subRequests int
	cost        workload.Cost
	estimates   *KindEstimates // guarded by Engine.routesMu
	hedgeDelay  time.Duration
	leaving     []forward.Identity
	endsSeen    map[string]uint64 // by service found busy: attempts that had ended there
	awaiting    map[int]*service  // by sub-request that waits for capacity there
	ended       atomic.Bool       // the run needs no more events
	denied      *verdict.Error    // why Call.Permit stopped further attempts

	mu      sync.Mutex
	closed  bool  // the answer no longer needs the replies
	charged int64 // bytes of the memory for replies that the run holds
}

// maxEventsPerSubRequest bounds the events of a sub-request (results of
// attempts and notices of capacity), so that sending one never blocks.
const maxEventsPerSubRequest = 16

// Do forwards a call. If a searcher itself reported a failure, the Answer
// beside the error holds its reply.
func (e *Engine) Do(ctx context.Context, call *Call) (*Answer, *verdict.Error) {
	e.stats.Calls.Add(1)
	state := e.route(call.Route.Name)
	services := e.servicesOf(call, state)
	now := time.Now()
	rng := rand.New(rand.NewPCG(e.config.Seed, uint64(e.stats.Calls.Load())))
	share := e.admittedShare(call, state)
	// Whether a divided gather is admitted is decided before its parts are sent.
	if call.Shards == nil {
		if err := e.Admit(call, share); err != nil {
			return &Answer{}, err
		}
	}
	var allowance forward.Allowance
	if call.Shards != nil {
		var err *verdict.Error
		if allowance, err = e.allowance(call); err != nil {
			return &Answer{}, err
		}
	}
	for _, name := range services {
		e.service(name).recordRequest(now)
	}
	r := &runner{
		engine: e, call: call, route: state, events: make(chan event, maxEventsPerSubRequest*len(services)),
		replies: make(map[*forward.Attempt]*Reply, len(services)),
		rng:     rng, subRequests: len(services), awaiting: make(map[int]*service),
	}
	left := 0.0
	if call.Route.Gather != nil { // a request to one service has no slowest shard to wait for
		left = e.service(services[0]).budgetLeft(now)
	}
	e.routesMu.Lock()
	r.cost = e.costs.Estimate(now, call.features())
	r.estimates = e.estimatesOf(call.Route.Name)
	r.hedgeDelay = state.timing.HedgeDelay(call.Route.Objective, left, r.cost.Relation)
	e.routesMu.Unlock()
	run := forward.NewRun(r, call.Route, services, call.began(), call.Deadline)
	if call.Shards != nil {
		run.AllowMissing(allowance)
	}
	answer, err := r.drive(ctx, run, now)
	e.recordEnd(call, state, err)
	answer.Admitted = share
	return answer, err
}

func (r *runner) drive(ctx context.Context, run *forward.Run, now time.Time) (*Answer, *verdict.Error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer r.releaseReplies()
	defer r.leaveQueues()
	end := r.engine.ending.Load()
	limit(run, now, end)
	effects := run.Start(now)
	stopped := false // no further attempt is permitted
	for {
		if o, done := r.execute(effects); done {
			answer, err := r.answer(run, o)
			if err != nil && err.Verdict == verdict.NotRun && r.denied != nil {
				err = r.denied
			}
			return answer, err
		}
		now = time.Now()
		if r.denied != nil && !stopped {
			stopped = true
			effects = run.StopSending(now)
			continue
		}
		timer.Reset(max(run.Next(now).Sub(now), 0))
		select {
		case <-ctx.Done():
			return r.abandon(run)
		case ev := <-r.events:
			effects = r.handle(run, ev)
		case <-end.replaced:
			end = r.engine.ending.Load()
			effects = limit(run, time.Now(), end)
		case <-timer.C:
			effects = run.Tick(time.Now())
		}
	}
}

// limit makes a run end when all calls do.
func limit(run *forward.Run, now time.Time, end *ending) []forward.Effect {
	if end.by.IsZero() {
		return nil
	}
	return run.EndBy(now, end.by)
}

// holdReply counts the memory of a reply until the run ends.
func (r *runner) holdReply(reply *Reply) {
	if reply == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.engine.memory.release(reply.charged)
		return
	}
	r.charged += reply.charged
}

// handOver returns the charge of a reply that is still in use after the run.
func (r *runner) handOver(reply *Reply) *Charge {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.charged -= reply.charged
	return &Charge{memory: &r.engine.memory, bytes: reply.charged}
}

func (r *runner) releaseReplies() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.engine.memory.release(r.charged)
}

// CodeCallerGone is the code of a call whose caller closed its connection.
const CodeCallerGone verdict.Code = "caller_gone"

// abandon abandons all attempts in flight, since no caller waits for them.
func (r *runner) abandon(run *forward.Run) (*Answer, *verdict.Error) {
	for _, x := range r.open {
		x.abandon()
	}
	return &Answer{Attempts: attemptRecords(run, time.Now())}, verdict.New(verdict.MayHaveRun, CodeCallerGone, "the caller closed its connection")
}

// handle passes an event to the run.
func (r *runner) handle(run *forward.Run, ev event) []forward.Effect {
	now := time.Now()
	switch {
	case ev.exchange == nil && ev.refused:
		delete(r.awaiting, ev.freed)
		return run.TurnRefused(now, ev.freed, ev.wait)
	case ev.exchange == nil:
		return r.capacityFreed(run, now, ev.freed)
	}
	i := slices.Index(r.open, ev.exchange)
	if i >= 0 {
		r.open = slices.Delete(r.open, i, i+1)
	}
	if ev.exchange.notice.Leaving {
		r.leaving = append(r.leaving, ev.exchange.Searcher.Identity)
	}
	if ev.exchange.reply != nil {
		r.replies[ev.exchange.Attempt] = ev.exchange.reply
	}
	if ev.result == forward.Good {
		r.engine.routesMu.Lock()
		r.route.timing.Observe(now.Sub(ev.exchange.Began), r.subRequests)
		r.cost.Kind.Observe(now, ev.exchange.observed.Net, r.subRequests)
		r.estimates.record(ev.exchange.observed)
		r.engine.routesMu.Unlock()
	}
	return run.Ended(now, ev.exchange.Attempt, ev.result)
}

// capacityFreed has a sub-request take its turn. If it does not, the next run does.
func (r *runner) capacityFreed(run *forward.Run, now time.Time, subRequest int) []forward.Effect {
	svc := r.awaiting[subRequest]
	delete(r.awaiting, subRequest)
	effects := run.CapacityFreed(now, subRequest)
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Send:
			if e.Attempt.SubRequest == subRequest {
				return effects
			}
		case forward.AwaitCapacity:
			return effects
		}
	}
	if svc != nil {
		svc.passOn()
	}
	return effects
}

// leaveQueues ends the run's waits for capacity.
func (r *runner) leaveQueues() {
	r.ended.Store(true)
	for subRequest, svc := range r.awaiting {
		svc.leave(r, subRequest)
	}
}

// execute carries out effects and returns the outcome once there is one.
func (r *runner) execute(effects []forward.Effect) (forward.Outcome, bool) {
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Send:
			r.send(e.Attempt)
		case forward.AwaitCapacity:
			svc := r.engine.service(e.Service)
			r.awaiting[e.SubRequest] = svc
			svc.await(r, e.SubRequest, r.endsSeen[e.Service])
		case forward.Finish:
			return e.Outcome, true
		}
	}
	return forward.Outcome{}, false
}

func (r *runner) send(a *forward.Attempt) {
	st := &r.engine.stats
	st.Attempts.Add(1)
	x := &exchange{Attempt: a, call: r.call, deadline: r.engine.Limit(r.call.Deadline)}
	r.open = append(r.open, x)
	svc := r.engine.service(a.Service)
	work := r.cost.Work
	x.done = func(x *exchange, result forward.Result) {
		switch result {
		case forward.Lost:
			st.Lost.Add(1)
		case forward.Rejected:
			st.Rejected.Add(1)
		}
		r.holdReply(x.reply)
		x.observed = svc.ended(x, work, result)
		r.events <- event{exchange: x, result: result}
	}
	if a.Number > 0 {
		st.Retries.Add(1)
	}
	svc.send(x)
}

// answer builds the answer from the replies of an outcome.
func (r *runner) answer(run *forward.Run, o forward.Outcome) (*Answer, *verdict.Error) {
	a := &Answer{Missing: o.Missing, Attempts: attemptRecords(run, time.Now()), Leaving: r.leaving}
	if r.call.Route.Gather == nil {
		if len(o.Replies) > 0 {
			a.Reply = r.replies[o.Replies[0]]
			a.Charge = r.handOver(a.Reply)
		}
		return a, o.Err
	}
	parts := make([][]byte, len(o.Replies))
	a.Signatures = make([]string, len(o.Replies))
	for i, attempt := range o.Replies {
		a.Signatures[i], parts[i] = r.replies[attempt].Signature, r.replies[attempt].Body
	}
	a.Body = forward.Merge(parts, r.call.Route.Gather.TopK)
	return a, o.Err
}

// Begin implements forward.Environment.
func (r *runner) Begin(now time.Time, name string, opts forward.AttemptOptions) (*forward.Searcher, bool) {
	if r.denied = r.call.Permitted(); r.denied != nil {
		return nil, false
	}
	s, busy, ends := r.engine.service(name).begin(now, r.criteria(), opts, r.rng)
	if busy {
		if r.endsSeen == nil {
			r.endsSeen = make(map[string]uint64)
		}
		r.endsSeen[name] = ends
	}
	return s, busy
}

// Expected implements forward.Environment.
func (r *runner) Expected(now time.Time, name string) (time.Duration, bool) {
	return r.engine.service(name).expected(now, r.criteria())
}

// Resume implements forward.Environment.
func (r *runner) Resume(now time.Time, name string, opts forward.AttemptOptions) time.Time {
	return r.engine.service(name).resume(now, opts)
}

// IntN implements forward.Environment.
func (r *runner) IntN(n int) int { return r.rng.IntN(n) }

func (r *runner) criteria() forward.Criteria {
	return forward.Criteria{FailureDomain: r.engine.config.FailureDomain, MedianTime: r.cost.Work, Objective: r.call.Route.Objective}
}

// HedgeDelay implements forward.Environment.
func (r *runner) HedgeDelay() time.Duration { return r.hedgeDelay }
