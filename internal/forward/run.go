package forward

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes of this package.
const (
	CodeNoSearcher  verdict.Code = "no_searcher"
	CodeOverloaded  verdict.Code = "searchers_overloaded"
	CodeFewShards   verdict.Code = "too_few_shards"
	CodeLostAttempt verdict.Code = "attempt_lost"
	CodePaused      verdict.Code = "searchers_paused"
)

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Good           Result = iota // the searcher's complete, successful reply
	SearcherFailed               // the searcher's complete reply, which reports a failure; the request ran
	Rejected                     // the searcher stated that the request did not run
	Misdirected                  // another searcher has the address; the request did not run
	Unsent                       // the request did not reach the searcher
	Lost                         // sent, but no usable reply arrived; the request may have run
	Abandoned                    // canceled by this host; the request may have run
)

var resultNames = [...]string{"good", "searcher_failed", "rejected", "misdirected", "unsent", "lost", "abandoned"}

// String returns the name of the result in logs.
func (r Result) String() string { return resultNames[r] }

// Verdict returns whether the attempt ran, did not run, or may have run.
func (r Result) Verdict() verdict.Verdict {
	switch r {
	case Good, SearcherFailed:
		return verdict.Ran
	case Rejected, Misdirected, Unsent:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// Attempt is one try of a sub-request at a searcher.
type Attempt struct {
	SubRequest int // index of the sub-request
	Number     int // among the attempts of the sub-request, from 0
	Service    string
	Searcher   *Searcher
	Again      bool // the searcher had an earlier attempt of the sub-request
	Began      time.Time
	Open       bool   // in flight
	Result     Result // valid once Open is false
	Ended      time.Time
}

// maxAttemptsPerSubRequest bounds the attempts of a sub-request, including
// those that did not run.
const maxAttemptsPerSubRequest = 5

// rejectBackoff is the delay before a searcher that rejected a request gets it
// again. It doubles with every attempt.
const rejectBackoff = 8 * time.Millisecond

// Environment provides a run with searchers, their timing and random numbers.
type Environment interface {
	// Begin chooses a searcher for an attempt, charges an extra attempt to the
	// service's budget, and records the attempt as in flight. busy reports that
	// all suitable searchers have as many requests in flight as this host may
	// have there.
	Begin(now time.Time, service string, opts AttemptOptions) (s *Searcher, busy bool)
	// HedgeDelay returns how long an attempt may take before another searcher
	// gets the request as well.
	HedgeDelay() time.Duration
	// Expected returns the time that an attempt at a service is expected to
	// take. It is not ok if none of its searchers is usable.
	Expected(now time.Time, service string) (expected time.Duration, ok bool)
	// Resume returns when the first searcher that may get an attempt ends the
	// pause that it asked for. It is the zero time if no pause is in the way.
	Resume(now time.Time, service string, opts AttemptOptions) time.Time
	// IntN returns a random number from 0 to n-1.
	IntN(n int) int
}

// AttemptOptions restrict the choice of a searcher for an attempt.
type AttemptOptions struct {
	Tried      []*Searcher // by earlier attempts
	AllowTried bool        // a searcher in Tried may be chosen again
	Extra      bool        // an earlier attempt may have reached a searcher
	Reason     ExtraReason // valid if Extra
	Granted    bool        // the host that received the request has paid for the extra attempt
	// MaxTime is the longest useful expected time, or 0 for no limit. A hedge
	// that would answer too late only adds load.
	MaxTime time.Duration
}

// Run forwards one caller's request to searchers. One goroutine owns it.
//
// Invariants: at most one reply of each sub-request is used. A request that is
// not idempotent is sent again only if every earlier attempt is known not to
// have run. At most MaxAttempts attempts of a sub-request may have run.
type Run struct {
	env        Environment
	route      *routeplan.Route
	subs       []*subRequest
	deadline   time.Time
	cutoff     time.Time     // when an answer without all shards may be given
	hedgeDelay time.Duration // after which an attempt is hedged
	minShards  int           // least number of replies in a successful answer
	minEarly   int           // least number of replies in one that is given before all are there
	anyGivenUp bool          // a sub-request was given up at some time
	endsEarly  bool          // this host stops before the caller's deadline
	tooLate    bool          // a sub-request was given up because this host stops too soon
	started    bool
	good       int // sub-requests with a good reply
	finished   bool
	effects    []Effect
}

// Effect is an action that a run asks its driver to take.
type Effect interface{ isForwardEffect() }

// Send asks for an attempt to be sent.
type Send struct{ Attempt *Attempt }

// AwaitCapacity asks for a call of CapacityFreed when a searcher of the service
// may have capacity.
type AwaitCapacity struct {
	SubRequest int // index of the sub-request
	Service    string
}

// Finish ends the run.
type Finish struct{ Outcome Outcome }

func (Send) isForwardEffect()          {}
func (AwaitCapacity) isForwardEffect() {}
func (Finish) isForwardEffect()        {}

// NewRun returns the run of a request whose latency objective counts from began and
// which must end by the deadline. The services are the shards of a gathered route, a
// part of them, or the one service that a split selected.
func NewRun(env Environment, route *routeplan.Route, services []string, began, deadline time.Time) *Run {
	r := &Run{env: env, route: route, deadline: deadline, cutoff: deadline, hedgeDelay: env.HedgeDelay()}
	if route.Gather != nil && route.Objective > 0 {
		margin := max(minAnswerMargin, time.Duration(answerMarginShare*float64(route.Objective)))
		r.cutoff = began.Add(route.Objective - margin)
	}
	if route.Gather != nil {
		r.minShards = len(services) - min(route.Gather.MaxMissing(), len(services))
		r.minEarly = r.minShards
	}
	subs := make([]subRequest, len(services))
	r.subs = make([]*subRequest, len(services))
	for i, s := range services {
		subs[i].service = s
		r.subs[i] = &subs[i]
	}
	return r
}

// AllowMissing sets how many shards an answer may lack, for a part of a divided
// gather. It must be called before Start.
func (r *Run) AllowMissing(a Allowance) {
	r.minEarly, r.minShards = len(r.subs)-a.Early, len(r.subs)-a.Settled
}

// Start sends the first attempts.
//
// A gathered request that too few shards can answer fails before anything is
// sent: the remaining shards would work on an answer that can't be given, while
// other requests need them.
func (r *Run) Start(now time.Time) []Effect {
	r.effects, r.started = nil, true
	late := r.findLate(now)
	r.refuseLate(now, late)
	if o, done := r.outcome(now); done {
		r.finished = true
		return []Effect{Finish{Outcome: o}}
	}
	r.skipLate(late)
	for i := range r.subs {
		r.advance(now, i)
	}
	return r.settle(now)
}

// giveUp stops further attempts of a sub-request.
func (r *Run) giveUp(sub *subRequest) {
	sub.givenUp = true
	r.anyGivenUp = true
}

// Ended handles the result of an attempt.
func (r *Run) Ended(now time.Time, a *Attempt, result Result) []Effect {
	r.effects = nil
	if !a.Open {
		return nil
	}
	a.Open, a.Result, a.Ended = false, result, now
	if r.finished {
		return nil
	}
	sub := r.subs[a.SubRequest]
	switch {
	case sub.good != nil:
	case result == Good:
		sub.good, sub.givenUp = a, false
		r.good++
	default:
		if result == SearcherFailed {
			sub.failed = a
		}
		if result == Rejected {
			sub.notBefore = now.Add(rejectBackoff << min(a.Number, 4))
		}
		r.advance(now, a.SubRequest)
	}
	return r.settle(now)
}

// CapacityFreed handles that a searcher of a sub-request's service may have
// capacity.
func (r *Run) CapacityFreed(now time.Time, index int) []Effect {
	r.effects = nil
	if r.finished {
		return nil
	}
	r.subs[index].waiting = false
	r.advance(now, index)
	return r.settle(now)
}

// TurnRefused handles that a sub-request that waits for capacity is not expected to be
// answered in time. wait is how long its turn would have taken to come.
func (r *Run) TurnRefused(now time.Time, index int, wait time.Duration) []Effect {
	r.effects = nil
	sub := r.subs[index]
	if r.finished || !sub.waiting {
		return nil
	}
	sub.waiting, sub.crowded, sub.wait = false, true, wait
	r.giveUp(sub)
	return r.settle(now)
}

// EndBy makes the run end by a time before its deadline, because this host stops. From
// then on it begins no attempt that is not expected to end in time: another host can
// still serve the request. It may be called before Start.
func (r *Run) EndBy(now, at time.Time) []Effect {
	r.effects = nil
	if r.finished || !at.Before(r.deadline) {
		return nil
	}
	r.deadline, r.endsEarly = at, true
	if at.Before(r.cutoff) {
		r.cutoff = at
	}
	if !r.started {
		return nil
	}
	r.stopWaiting(now)
	return r.settle(now)
}

// stopWaiting gives up the sub-requests that wait for capacity and can't be answered
// any more before this host stops.
func (r *Run) stopWaiting(now time.Time) {
	for _, sub := range r.subs {
		if sub.waiting && r.endsTooLate(now, sub) {
			r.giveUp(sub)
		}
	}
}

// endsTooLate reports whether an attempt that begins now is expected to end only after
// this host has stopped.
func (r *Run) endsTooLate(now time.Time, sub *subRequest) bool {
	if !r.endsEarly {
		return false
	}
	expected, ok := r.env.Expected(now, sub.service)
	late := ok && expected > r.deadline.Sub(now)
	r.tooLate = r.tooLate || late
	return late
}

// StopSending makes the run begin no further attempt, because the request may no longer
// run. Attempts in flight go on.
func (r *Run) StopSending(now time.Time) []Effect {
	r.effects = nil
	if r.finished {
		return nil
	}
	for _, sub := range r.subs {
		if sub.good == nil {
			r.giveUp(sub)
		}
	}
	return r.settle(now)
}

// Tick does what is due at a time: retries, hedges, and the end of the run.
func (r *Run) Tick(now time.Time) []Effect {
	r.effects = nil
	if r.finished {
		return nil
	}
	for i := range r.subs {
		r.advance(now, i)
	}
	if r.endsEarly {
		r.stopWaiting(now)
	}
	return r.settle(now)
}

// Next returns when Tick is due.
func (r *Run) Next(now time.Time) time.Time {
	next := r.deadline
	if r.cutoff.After(now) && r.cutoff.Before(next) {
		next = r.cutoff
	}
	for _, sub := range r.subs {
		if at, ok := r.due(now, sub); ok && at.Before(next) {
			next = at
		}
	}
	return next
}

// due returns when a retry or a hedge of a sub-request is due, or the end of its wait
// for capacity.
func (r *Run) due(now time.Time, sub *subRequest) (time.Time, bool) {
	if sub.waiting && !sub.givenUp && r.endsEarly {
		expected, ok := r.env.Expected(now, sub.service)
		return later(r.deadline.Add(-expected), now.Add(minTick)), ok
	}
	if sub.good != nil || sub.givenUp || sub.waiting {
		return time.Time{}, false
	}
	open := sub.openAttempt()
	if open == nil {
		return sub.notBefore, true
	}
	if !r.mayHedge(sub) {
		return time.Time{}, false
	}
	return later(open.Began.Add(r.hedgeDelay), sub.nextHedge), true
}

// minTick is the least time between two looks at a sub-request that waits for capacity
// while this host stops.
const minTick = time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayHedge reports whether a sub-request with one attempt in flight may be
// hedged.
func (r *Run) mayHedge(sub *subRequest) bool {
	return r.route.Idempotent && len(sub.attempts) < maxAttemptsPerSubRequest && sub.hedges() == 0 && sub.countMayHaveRun() < r.maxAttempts()
}

func (r *Run) maxAttempts() int {
	if !r.route.Idempotent {
		return 1
	}
	return max(r.route.MaxAttempts, 1)
}

// advance sends the attempt of a sub-request that is due, or gives the
// sub-request up if none is possible.
func (r *Run) advance(now time.Time, i int) {
	sub := r.subs[i]
	if sub.good != nil || sub.givenUp || sub.waiting || !now.Before(r.deadline) {
		return
	}
	open := sub.openAttempt()
	switch {
	case open == nil:
		if !r.attempt(now, i, true) && !sub.waiting && !now.Before(sub.notBefore) {
			r.giveUp(sub)
		}
	case r.mayHedge(sub) && !now.Before(later(open.Began.Add(r.hedgeDelay), sub.nextHedge)):
		if !r.attempt(now, i, false) {
			sub.nextHedge = now.Add(hedgeRetryDelay)
		}
	}
}

// hedgeRetryDelay is the delay before a hedge is tried again when no searcher
// had capacity or was fast enough, or the budget was spent.
const hedgeRetryDelay = 10 * time.Millisecond

// attempt sends a sub-request to another searcher and reports whether it did.
// needed is false for a hedge.
func (r *Run) attempt(now time.Time, i int, needed bool) bool {
	sub := r.subs[i]
	if len(sub.attempts) >= maxAttemptsPerSubRequest || sub.countMayHaveRun() >= r.maxAttempts() {
		return false
	}
	if r.endsTooLate(now, sub) {
		return false
	}
	opts := AttemptOptions{Tried: sub.tried(), Extra: sub.mayHaveReached()}
	if opts.Extra {
		opts.Reason = sub.extraReason()
	}
	if !needed {
		opts.MaxTime = r.maxHedgeTime(now)
	}
	s, busy := r.env.Begin(now, sub.service, opts)
	if s == nil && !busy && needed && len(sub.attempts) > 0 && sub.lastResult() == Rejected && !now.Before(sub.notBefore) {
		opts.AllowTried = true
		s, busy = r.env.Begin(now, sub.service, opts)
	}
	switch {
	case s != nil:
	case needed && busy:
		sub.waiting = true
		r.effects = append(r.effects, AwaitCapacity{SubRequest: i, Service: sub.service})
		return false
	case needed:
		r.awaitResume(now, sub, opts)
		return false
	default:
		return false
	}
	a := &Attempt{SubRequest: i, Number: len(sub.attempts), Service: sub.service, Searcher: s, Again: slices.Contains(opts.Tried, s), Began: now, Open: true}
	sub.attempts = append(sub.attempts, a)
	r.effects = append(r.effects, Send{Attempt: a})
	return true
}

// maxHedgeTime returns the longest expected time for which a hedge is useful:
// until the answer is due or, once it is late, the objective. A shard whose
// searchers are all slower than that is overloaded, and a hedge would double
// the work of each late request.
func (r *Run) maxHedgeTime(now time.Time) time.Duration {
	if left := r.cutoff.Sub(now); left > 0 {
		return left
	}
	left := r.deadline.Sub(now)
	if r.route.Objective > 0 {
		left = min(left, r.route.Objective)
	}
	return left
}

// Attempts returns all attempts, for the log.
func (r *Run) Attempts() []*Attempt {
	var out []*Attempt
	for _, sub := range r.subs {
		out = append(out, sub.attempts...)
	}
	return out
}
