package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of the failures of this package.
const (
	CodeNoSearcher  verdict.Code = "no_searcher"
	CodeOverloaded  verdict.Code = "searchers_overloaded"
	CodeFewShards   verdict.Code = "too_few_shards"
	CodeLostAttempt verdict.Code = "attempt_lost"
)

// Result is what became of one attempt.
type Result uint8

// Results of an attempt.
const (
	Good           Result = iota // the searcher's whole, successful answer
	SearcherFailed               // the searcher's whole answer, which reports a failure; it ran
	Rejected                     // the searcher stated that the request did not run
	Misdirected                  // another searcher is at the address; the request did not run
	Unsent                       // the request did not reach the searcher
	Lost                         // sent, and no usable answer came; it may have run
	Abandoned                    // given up by this host; it may have run
)

var resultNames = [...]string{"good", "searcher_failed", "rejected", "misdirected", "unsent", "lost", "abandoned"}

// String returns the result as logs show it.
func (r Result) String() string { return resultNames[r] }

// Verdict says whether an attempt with this result may have run.
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

// Attempt is one sending of a request to a searcher.
type Attempt struct {
	Leg      int
	Number   int // among the attempts of the leg, from 0
	Service  string
	Searcher *Searcher
	Began    time.Time
	Open     bool
	Result   Result // once it is no longer open
}

// leg is the part of a run that one service answers.
type leg struct {
	service   string
	attempts  []*Attempt
	good      *Attempt
	failed    *Attempt  // a searcher's own failure, for callers of a single service
	notBefore time.Time // when a searcher that rejected the request may be asked again
	hedgeNext time.Time // earliest time of the next hedge, after none was possible
	waiting   bool      // for room at a searcher
	dead      bool      // nothing more can be tried
}

// maxTries bounds the attempts of a leg, also those that did not run.
const maxTries = 5

// rejectPause is the wait before a searcher that rejected a request is asked
// again. It doubles with every attempt.
const rejectPause = 8 * time.Millisecond

// Environment is what a run needs to know of its host.
type Environment interface {
	// Begin chooses the searcher to ask next, notes the attempt as begun there,
	// and draws it from the service's budget if it is an extra arrival. Busy
	// reports that all suitable searchers have as many requests in progress as
	// this host may have there.
	Begin(now time.Time, service string, ask Ask) (s *Searcher, busy bool)
	// HedgeAfter is how long an attempt may take before another searcher is
	// asked as well.
	HedgeAfter() time.Duration
	// Expected returns the time that an attempt at a service is expected to
	// take. It is not ok if no searcher of it accepts connections.
	Expected(now time.Time, service string) (expected time.Duration, ok bool)
	// Draw returns a random number below n.
	Draw(n int) int
}

// Ask says what a run wants of the next searcher.
type Ask struct {
	Tried []*Searcher // asked before
	Again bool        // one of them may be asked again
	Extra bool        // an earlier attempt may have reached a searcher
	// Within is the longest expected time that is of use, or 0 for any. A hedge
	// that would answer too late only adds load.
	Within time.Duration
}

// Run is one caller's request on its way to the searchers. One goroutine owns
// it.
//
// Invariants: at most one reply of each leg is used. A request that is not
// idempotent is sent again only after every earlier attempt has proved that it
// did not run. At most MaxAttempts attempts of a leg may run.
type Run struct {
	env      Environment
	route    *routeplan.Route
	legs     []*leg
	deadline time.Time
	cutoff   time.Time     // from which an answer without all shards is given
	hedge    time.Duration // wait before another searcher is asked as well
	least    int           // shards in a success
	anyDead  bool          // some leg was given up at some time
	good     int
	finished bool
	effects  []Effect
}

// Effect is an output of a run.
type Effect interface{ isForwardEffect() }

// Send asks for an attempt to be sent.
type Send struct{ Attempt *Attempt }

// AwaitRoom asks for Freed when a searcher of the service has room.
type AwaitRoom struct {
	Leg     int
	Service string
}

// Finish ends the run.
type Finish struct{ Outcome Outcome }

func (Send) isForwardEffect()      {}
func (AwaitRoom) isForwardEffect() {}
func (Finish) isForwardEffect()    {}

// NewRun returns the run of a request that arrived at a time and must end by
// the deadline. Services are the shards of a gathered route, or the one service
// that a split chose.
func NewRun(env Environment, route *routeplan.Route, services []string, arrived, deadline time.Time) *Run {
	r := &Run{env: env, route: route, deadline: deadline, cutoff: deadline, hedge: env.HedgeAfter()}
	if route.Gather != nil && route.Objective > 0 {
		margin := max(minAnswerMargin, time.Duration(answerMarginShare*float64(route.Objective)))
		r.cutoff = arrived.Add(route.Objective - margin)
	}
	if route.Gather != nil {
		r.least = route.Gather.MinShards()
	}
	legs := make([]leg, len(services))
	r.legs = make([]*leg, len(services))
	for i, s := range services {
		legs[i].service = s
		r.legs[i] = &legs[i]
	}
	return r
}

// Start sends the first attempts.
//
// A gathered request that too few shards can answer is refused before anything
// is sent: the shards that are left would work for an answer that can't be
// given, while other requests need them.
func (r *Run) Start(now time.Time) []Effect {
	r.effects = nil
	late := r.survey(now)
	if o, done := r.outcome(now); done {
		r.finished = true
		return []Effect{Finish{Outcome: o}}
	}
	r.skip(late)
	for i := range r.legs {
		r.advance(now, i)
	}
	return r.settle(now)
}

// lateLeg is a leg that is expected to answer too late.
type lateLeg struct {
	*leg
	weight float64 // of leaving it out
}

// survey marks the legs that no searcher can answer, and returns those that
// are expected to answer too late for a gathered answer.
func (r *Run) survey(now time.Time) (late []lateLeg) {
	for _, l := range r.legs {
		expected, ok := r.env.Expected(now, l.service)
		switch {
		case !ok:
			r.giveUp(l)
		case expected > r.cutoff.Sub(now):
			spread := 1 + skipSpread*float64(r.env.Draw(skipDraws))/skipDraws
			late = append(late, lateLeg{l, spread * expected.Seconds()})
		}
	}
	return late
}

// skipSpread mixes chance into which late legs are left out, so that shards
// that are about equally late share the work that is left.
const (
	skipSpread = 0.5
	skipDraws  = 1024
)

// skip leaves out as many of the late legs as an answer may lack, the latest
// first.
//
// It answers shards whose remaining searchers can't carry all requests, after
// crashes or while some are slow. Their answers would miss the objective of
// every request. With some left out of each request, those shards get less
// work and answer the others in time.
func (r *Run) skip(late []lateLeg) {
	if r.route.Gather == nil {
		return
	}
	allowed := len(r.legs) - r.deadLegs() - r.least
	slices.SortFunc(late, func(a, b lateLeg) int { return cmp.Compare(b.weight, a.weight) })
	for _, l := range late[:min(max(allowed, 0), len(late))] {
		r.giveUp(l.leg)
	}
}

// giveUp notes that nothing more is tried for a leg.
func (r *Run) giveUp(l *leg) {
	l.dead = true
	r.anyDead = true
}

// Ended takes the result of an attempt.
func (r *Run) Ended(now time.Time, a *Attempt, result Result) []Effect {
	r.effects = nil
	if !a.Open {
		return nil
	}
	a.Open, a.Result = false, result
	if r.finished {
		return nil
	}
	l := r.legs[a.Leg]
	switch {
	case l.good != nil:
	case result == Good:
		l.good, l.dead = a, false
		r.good++
	default:
		if result == SearcherFailed {
			l.failed = a
		}
		if result == Rejected {
			l.notBefore = now.Add(rejectPause << min(a.Number, 4))
		}
		r.advance(now, a.Leg)
	}
	return r.settle(now)
}

// Freed says that a searcher of a leg's service may have room.
func (r *Run) Freed(now time.Time, legIndex int) []Effect {
	r.effects = nil
	if r.finished {
		return nil
	}
	r.legs[legIndex].waiting = false
	r.advance(now, legIndex)
	return r.settle(now)
}

// Tick lets time pass.
func (r *Run) Tick(now time.Time) []Effect {
	r.effects = nil
	if r.finished {
		return nil
	}
	for i := range r.legs {
		r.advance(now, i)
	}
	return r.settle(now)
}

// Next returns when Tick is due.
func (r *Run) Next(now time.Time) time.Time {
	next := r.deadline
	if r.cutoff.After(now) && r.cutoff.Before(next) {
		next = r.cutoff
	}
	for _, l := range r.legs {
		if at, ok := r.legDue(l); ok && at.Before(next) {
			next = at
		}
	}
	return next
}

// legDue returns when something is to be done for a leg.
func (r *Run) legDue(l *leg) (time.Time, bool) {
	if l.good != nil || l.dead || l.waiting {
		return time.Time{}, false
	}
	open := l.open()
	if open == nil {
		return l.notBefore, true
	}
	if !r.mayHedge(l) {
		return time.Time{}, false
	}
	return later(open.Began.Add(r.hedge), l.hedgeNext), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// open returns the latest attempt in progress.
func (l *leg) open() *Attempt {
	for i := len(l.attempts) - 1; i >= 0; i-- {
		if l.attempts[i].Open {
			return l.attempts[i]
		}
	}
	return nil
}

func (l *leg) countMayRun() (n int) {
	for _, a := range l.attempts {
		if a.Open || a.Result.Verdict() != verdict.NotRun {
			n++
		}
	}
	return n
}

// arrived reports whether an attempt may have reached a searcher, so that a
// further one is an extra arrival there.
func (l *leg) arrived() bool {
	for _, a := range l.attempts {
		if a.Open || a.Result != Unsent {
			return true
		}
	}
	return false
}

func (l *leg) tried() []*Searcher {
	out := make([]*Searcher, len(l.attempts))
	for i, a := range l.attempts {
		out[i] = a.Searcher
	}
	return out
}

// mayHedge reports whether a leg with one attempt in progress may ask another
// searcher as well.
func (r *Run) mayHedge(l *leg) bool {
	return r.route.Idempotent && len(l.attempts) < maxTries && l.hedges() == 0 && l.countMayRun() < r.maxAttempts()
}

// hedges returns how many attempts are in progress beyond the first.
func (l *leg) hedges() int {
	open := 0
	for _, a := range l.attempts {
		if a.Open {
			open++
		}
	}
	return max(open-1, 0)
}

func (r *Run) maxAttempts() int {
	if !r.route.Idempotent {
		return 1
	}
	return max(r.route.MaxAttempts, 1)
}

// advance does what is due for a leg.
func (r *Run) advance(now time.Time, i int) {
	l := r.legs[i]
	if l.good != nil || l.dead || l.waiting || !now.Before(r.deadline) {
		return
	}
	open := l.open()
	switch {
	case open == nil:
		if !r.attempt(now, i, true) && !l.waiting && !now.Before(l.notBefore) {
			r.giveUp(l)
		}
	case r.mayHedge(l) && !now.Before(later(open.Began.Add(r.hedge), l.hedgeNext)):
		if !r.attempt(now, i, false) {
			l.hedgeNext = now.Add(hedgePause)
		}
	}
}

// hedgePause is the wait before another hedge is tried when no searcher had
// room or the budget was spent.
const hedgePause = 10 * time.Millisecond

// attempt sends a leg to another searcher, if one may be asked.
func (r *Run) attempt(now time.Time, i int, needed bool) bool {
	l := r.legs[i]
	if len(l.attempts) >= maxTries || l.countMayRun() >= r.maxAttempts() {
		return false
	}
	ask := Ask{Tried: l.tried(), Extra: l.arrived()}
	if !needed {
		ask.Within = r.useful(now)
	}
	s, busy := r.env.Begin(now, l.service, ask)
	if s == nil && !busy && needed && len(l.attempts) > 0 && l.lastResult() == Rejected && !now.Before(l.notBefore) {
		ask.Again = true
		s, busy = r.env.Begin(now, l.service, ask)
	}
	if s == nil {
		if needed && busy {
			l.waiting = true
			r.effects = append(r.effects, AwaitRoom{Leg: i, Service: l.service})
		}
		return false
	}
	a := &Attempt{Leg: i, Number: len(l.attempts), Service: l.service, Searcher: s, Began: now, Open: true}
	l.attempts = append(l.attempts, a)
	r.effects = append(r.effects, Send{Attempt: a})
	return true
}

// useful returns the longest expected time for which a hedge is of use: until
// the answer is due or, once it is late, an objective. Shards whose searchers
// are all slower than that are overloaded, and a hedge doubles what each late
// request asks of them.
func (r *Run) useful(now time.Time) time.Duration {
	if left := r.cutoff.Sub(now); left > 0 {
		return left
	}
	left := r.deadline.Sub(now)
	if r.route.Objective > 0 {
		left = min(left, r.route.Objective)
	}
	return left
}

func (l *leg) lastResult() Result { return l.attempts[len(l.attempts)-1].Result }

// Attempts returns all attempts, for the log.
func (r *Run) Attempts() []*Attempt {
	var out []*Attempt
	for _, l := range r.legs {
		out = append(out, l.attempts...)
	}
	return out
}
