package query

import "time"

// hedgeDue hedges every open shard whose latest attempt is older than the
// hedge delay. While many shards are open it holds back until holdBackUntil:
// the slowest shards decide the query's latency, and they are known only once
// most shards have answered. If the catalog no longer lists the snapshot,
// there is no replica to hedge to, and the query restarts on a newer snapshot
// if it can.
func (r *Run) hedgeDue(at time.Duration) {
	if r.hedgeHeldBack() && at < r.holdBackUntil() {
		return
	}
	r.hedgeAt = never
	if !r.inTime(at) || r.snapshotGone && r.restart(at) {
		return
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.status == shardOpen && s.inFlight > 0 && !s.noHedge {
			r.hedgeShard(at, i)
		}
	}
}

// hedgeShard hedges one shard if its latest attempt is old enough.
func (r *Run) hedgeShard(at time.Duration, i int) {
	s := &r.shards[i]
	due := r.attempts[s.latest].sentAt + r.policy.HedgeDelay
	if due > at {
		r.hedgeAt = min(r.hedgeAt, due)
		return
	}
	if int(s.hedges) >= r.policy.MaxHedges || int(s.sent) >= r.policy.MaxAttempts {
		s.noHedge = true
		return
	}
	avoid := r.latestDomain(s)
	candidates := r.candidates(i, avoid)
	if len(candidates) == 0 {
		s.noHedge = true
		return
	}
	if !r.budgets.AllowHedge() {
		r.counters.Denied++
		r.hedgeAt = min(r.hedgeAt, at+max(1, r.policy.HedgeDelay/hedgeRetryDivisor))
		return
	}
	if !r.send(at, i, candidates, avoid, hedgeAttempt) {
		s.noHedge = true
	}
}

// hedgeRetryDivisor divides the hedge delay into the wait after which a query
// asks again for a hedge that the budget denied.
const hedgeRetryDivisor = 4

// hedgeHeldBack reports whether too many shards are open to tell which of them
// decide the latency.
func (r *Run) hedgeHeldBack() bool {
	return r.open > r.policy.hedgedShards(len(r.shards))
}

// holdBackUntil returns the time at which hedges are held back no longer: one
// with the typical latency still answers in time.
func (r *Run) holdBackUntil() time.Duration {
	return r.answerBy - r.policy.TypicalLatency
}
