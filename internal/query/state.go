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
	shardMissing // nothing in flight and nothing left to try
)

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	status   shardStatus
	noHedge  bool  // no replica is left for a hedge
	inFlight uint8 // attempts in flight
	sent     uint8 // attempts sent
	hedges   uint8
	backoffs uint8
	latest   int32 // index of the latest attempt, or noAttempt
	retryAt  time.Duration
	reason   Reason // of the latest failure
}

const noAttempt = int32(-1)

// attemptState is the progress of one sub-request.
type attemptState uint8

const (
	attemptInFlight attemptState = iota
	attemptCancelled
	attemptReplied
)

// attempt is a sub-request that was sent. Its number is its index plus one.
type attempt struct {
	state    attemptState
	shed     bool // the replica shed it
	hedge    bool
	shard    int32
	previous int32 // earlier attempt for the same shard, or noAttempt
	replica  *Replica
	sentAt   time.Duration
}

// Counters counts what happened in a run.
type Counters struct {
	Sent       int // sub-requests, hedges and retries included
	Hedges     int
	Retries    int
	Restarts   int
	Failed     int // replies with an error or for the wrong snapshot or shard
	Mismatched int // replies for the wrong snapshot or shard
	Late       int // replies to cancelled attempts, or after the query finished
	Duplicate  int // second replies to one attempt
	Unknown    int // replies to attempts that were never sent
	Cancelled  int // attempts cancelled in flight
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
	observer LatencyObserver // nil if budgets do not record latencies

	start    time.Time
	answerBy time.Duration // offset at which the answer must be ready

	snapshot     *Snapshot // pinned, with its replicas as of the latest catalog
	snapshotGone bool      // the latest catalog does not list the pinned snapshot
	restartDue   bool      // a shard is missing because the snapshot is gone

	shards   []shard
	attempts []attempt
	open     int // shards in status open
	answered int
	hits     topHits

	hedgeAt  time.Duration // earliest time at which a hedge may be due
	retryAt  time.Duration // earliest retry that waits for its backoff
	wakeAt   time.Duration // time of the latest WakeAt
	ran      bool          // an attempt is known to have run
	notRun   int           // attempts known not to have run
	started  bool
	finished bool

	draining     []DrainObserved
	scratch      []Replica // reused by candidates and shedCandidates
	scratchIndex []int     // positions of scratch among the shard's replicas
	effects      []Effect
	counters     Counters
}

// NewRun returns a query that has not started. The catalog is the latest of the
// query's group. The budgets are shared with the group's other queries.
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

// Counters returns the counts so far. Replies that arrive after the query has
// finished still change them.
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
	r.startShards(at)
	r.advance(at)
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
		r.handleReply(at, &ev.Reply)
	case CatalogChanged:
		r.changeCatalog(at, ev.Catalog)
	case CallerGone:
		r.callerGone(at)
	case Tick:
		r.wakeAt = never
	}
	r.advance(at)
	return r.effects
}

// advance does the work that is due: retries, a restart, hedges. It finishes
// the query at answerBy or when no shard is open.
func (r *Run) advance(at time.Duration) {
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
	if r.restartDue {
		r.restartDue = false
		r.restart(at)
	}
	if r.open == 0 {
		r.finish(at)
		return
	}
	if at >= r.hedgeAt {
		r.hedgeDue(at)
	}
	r.scheduleTick()
}

// scheduleTick requests a Tick at the next time at which work is due. It does
// not replace an earlier WakeAt by a later one: a Tick without due work is
// harmless and costs less than a new WakeAt on every reply.
func (r *Run) scheduleTick() {
	next := min(r.answerBy, r.retryAt)
	if !r.hedgeHeldBack() {
		next = min(next, r.hedgeAt)
	} else {
		next = min(next, max(r.hedgeAt, r.holdBackUntil()))
	}
	if next >= r.wakeAt {
		return
	}
	r.wakeAt = next
	r.effects = append(r.effects, WakeAt{At: r.start.Add(next)})
}

// inTime reports whether a sub-request sent at that time can answer in time.
func (r *Run) inTime(at time.Duration) bool {
	return at+r.policy.MinLatency <= r.answerBy
}

// startShards sends the first sub-request of every shard of the pinned
// snapshot.
func (r *Run) startShards(at time.Duration) {
	for i := range r.shards {
		r.startShard(at, i)
	}
}

// startShard sends the first sub-request of a shard, or postpones it if the
// chooser picks none of its replicas.
func (r *Run) startShard(at time.Duration, i int) {
	candidates := r.candidates(i, "")
	if len(candidates) == 0 {
		r.markMissing(i, r.noReplicaReason())
		return
	}
	if r.send(at, i, candidates, "", firstAttempt) {
		return
	}
	r.shards[i].reason = ReasonShed
	r.postpone(at, i)
}

// noReplicaReason returns the reason for a shard without a usable replica.
func (r *Run) noReplicaReason() Reason {
	if r.snapshotGone {
		return ReasonSnapshotGone
	}
	return ReasonNoReplica
}

// markMissing gives up a shard.
func (r *Run) markMissing(i int, reason Reason) {
	s := &r.shards[i]
	if s.status == shardOpen {
		r.open--
	}
	s.status = shardMissing
	s.reason = reason
	s.retryAt = 0
	if reason == ReasonSnapshotGone {
		r.restartDue = true
	}
}
