package forwardrun

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

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
	grantsUsed  map[string]int    // by service: attempts that Call.Grant covered

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
		left = e.service(services[0]).budgetLeft(now) + float64(call.Grant.Attempts)
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
	opts.Granted = opts.Extra && r.granted(now, name)
	s, busy, ends := r.engine.service(name).begin(now, r.criteria(), opts, r.rng)
	if s != nil && opts.Granted {
		r.useGrant(name)
	}
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
