package query

import (
	"math"
	"time"
)

// never is an offset that no query reaches.
const never = time.Duration(math.MaxInt64)

// shardStatus is the progress of one shard.
type shardStatus uint8

const (
	shardOpen shardStatus = iota
	shardAnswered
	shardLost // nothing in flight and nothing left to try
)

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	status   shardStatus
	noHedge  bool  // no replica is left for a hedge
	inFlight uint8 // attempts in flight
	sent     uint8 // attempts sent
	hedges   uint8
	refused  uint8 // times the chooser offered no replica
	latest   int32 // index of the latest attempt, or noAttempt
	retryAt  time.Duration
	reason   Reason // of the latest failure
}

const noAttempt = int32(-1)

// attemptState is the progress of one sub-request.
type attemptState uint8

const (
	attemptInFlight attemptState = iota
	attemptAbandoned
	attemptReplied
)

// attempt is a sub-request that was sent. Its number is its index plus one.
type attempt struct {
	state    attemptState
	shed     bool // refused for lack of capacity
	hedge    bool
	shard    int32
	previous int32 // earlier attempt for the same shard, or noAttempt
	replica  *Replica
	sentAt   time.Duration
}

// Counters count what happened to a run.
type Counters struct {
	Sent       int // sub-requests, hedges and retries included
	Hedges     int
	Retries    int
	Restarts   int
	Failed     int // replies with an error or for the wrong snapshot or shard
	Mismatched int // replies for the wrong snapshot or shard
	Late       int // replies to abandoned attempts, or after the end
	Duplicate  int // second replies to one attempt
	Unknown    int // replies to attempts that were never sent
	Cancelled  int // attempts abandoned in flight
	HedgeWins  int // shards answered by a hedge
	Denied     int // hedges and retries that a budget refused
}

// Run is the state machine of one query. It is not safe for concurrent use.
type Run struct {
	policy   Policy
	query    Query
	catalog  *Catalog
	chooser  Chooser
	budgets  Budgets
	observer LatencyObserver // nil if budgets do not learn

	start    time.Time
	answerBy time.Duration // offset at which the answer must be ready

	snapshot *Snapshot // pinned, with its replicas as of the latest catalog
	gone     bool      // the latest catalog does not list the pinned snapshot
	vanished bool      // a shard was lost because the snapshot is gone; a restart is due

	shards   []shard
	attempts []attempt
	open     int // shards in status open
	answered int
	hits     topHits

	hedgeAt  time.Duration // earliest time at which a hedge may be due
	retryAt  time.Duration // earliest retry that waits for its backoff
	wakeAt   time.Duration // last WakeAt given
	ran      bool          // some attempt ran
	notRun   int           // attempts known not to have run
	started  bool
	finished bool

	draining    []DrainObserved
	scratch     []Replica
	scratchFrom []int
	effects     []Effect
	counters    Counters
}

// NewRun prepares a query. The catalog is the group's latest one; the chooser
// and the budgets are shared with other queries.
func NewRun(p Policy, q Query, catalog *Catalog, chooser Chooser, budgets Budgets, now time.Time) *Run {
	r := &Run{
		policy:   p,
		query:    q,
		catalog:  catalog,
		chooser:  chooser,
		budgets:  budgets,
		start:    now,
		answerBy: q.Deadline.Sub(now) - p.AnswerTime,
	}
	r.observer, _ = budgets.(LatencyObserver)
	return r
}

// Counters returns the counts so far. Late replies change them even after
// the query has finished.
func (r *Run) Counters() Counters { return r.counters }

// Start pins a snapshot and sends one sub-request per shard. The returned
// slice is valid until the next call.
func (r *Run) Start(now time.Time) []Effect {
	if r.started {
		return nil
	}
	r.started = true
	r.pin(r.catalog.best(0))
	if r.snapshot == nil {
		r.fail(r.noSnapshotError())
		return r.effects
	}
	at := now.Sub(r.start)
	if !r.inTime(at) {
		r.fail(r.noTimeError())
		return r.effects
	}
	r.sendFirst(at)
	r.settle(at)
	return r.effects
}

// Step applies an event. The returned slice is valid until the next call.
func (r *Run) Step(now time.Time, ev Event) []Effect {
	r.effects = r.effects[:0]
	if !r.started {
		return nil
	}
	at := now.Sub(r.start)
	switch ev := ev.(type) {
	case ReplyArrived:
		r.reply(at, &ev.Reply)
	case CatalogChanged:
		r.changeCatalog(at, ev.Catalog)
	case CallerGone:
		r.callerGone(at)
	case Tick:
		r.wakeAt = never
	}
	r.settle(at)
	return r.effects
}

// settle does what has become due, and finishes the query when nothing is
// left to wait for.
func (r *Run) settle(at time.Duration) {
	if r.finished {
		return
	}
	if at >= r.answerBy {
		r.finish(at)
		return
	}
	if at >= r.retryAt {
		r.retryDue(at)
	}
	if r.vanished {
		r.vanished = false
		r.restart(at)
	}
	if r.open == 0 {
		r.finish(at)
		return
	}
	if at >= r.hedgeAt {
		r.hedgeDue(at)
	}
	r.wake()
}

// wake asks for a Tick at the next time at which something is due. It leaves
// an earlier request alone, because a Tick with nothing due is harmless and
// cheaper than a new request on every reply.
func (r *Run) wake() {
	next := min(r.answerBy, r.retryAt)
	if !r.hedgeHeldBack() {
		next = min(next, r.hedgeAt)
	} else {
		next = min(next, max(r.hedgeAt, r.lastHedge()))
	}
	if next >= r.wakeAt {
		return
	}
	r.wakeAt = next
	r.effects = append(r.effects, WakeAt{At: r.start.Add(next)})
}

// inTime reports whether a sub-request sent now can answer in time.
func (r *Run) inTime(at time.Duration) bool {
	return at+r.policy.MinLatency <= r.answerBy
}

// sendFirst sends the first sub-request of every shard of the pinned
// snapshot.
func (r *Run) sendFirst(at time.Duration) {
	for i := range r.shards {
		r.attemptFirst(at, i)
	}
}

// attemptFirst sends the first sub-request of a shard, or postpones it if the
// chooser offers none of its replicas.
func (r *Run) attemptFirst(at time.Duration, i int) {
	candidates := r.candidates(i, "")
	if len(candidates) == 0 {
		r.lose(i, r.absentReason())
		return
	}
	if r.send(at, i, candidates, "", firstAttempt) {
		return
	}
	r.shards[i].reason = ReasonShed
	r.postpone(at, i)
}

// absentReason is the reason of a shard that has no replica to ask.
func (r *Run) absentReason() Reason {
	if r.gone {
		return ReasonSnapshotGone
	}
	return ReasonNoReplica
}

// lose gives a shard up.
func (r *Run) lose(i int, reason Reason) {
	s := &r.shards[i]
	if s.status == shardOpen {
		r.open--
	}
	s.status = shardLost
	s.reason = reason
	s.retryAt = 0
	if reason == ReasonSnapshotGone {
		r.vanished = true
	}
}
