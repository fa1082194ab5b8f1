package query

import "time"

// hedgeDue sends a second sub-request for every shard that has waited longer
// than the hedge delay. It holds back while many shards are unanswered: the
// query waits for the slowest, and which these are shows only once most
// others have answered. If the snapshot is gone there is no replica left to
// hedge to, and the query restarts on a newer one instead.
func (r *Run) hedgeDue(at time.Duration) {
	if r.hedgeHeldBack() && at < r.lastHedge() {
		return
	}
	r.hedgeAt = never
	if !r.inTime(at) || r.gone && r.restart(at) {
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
		r.hedgeAt = min(r.hedgeAt, at+max(1, r.policy.HedgeDelay/hedgeRetryFraction))
		return
	}
	if !r.send(at, i, candidates, avoid, hedgeAttempt) {
		s.noHedge = true
	}
}

// hedgeRetryFraction is the part of the hedge delay after which a query asks
// again for a hedge that the budget refused.
const hedgeRetryFraction = 4

// hedgeHeldBack reports whether too many shards are unanswered to tell which
// of them decide the latency.
func (r *Run) hedgeHeldBack() bool {
	return r.open > r.policy.hedgedShards(len(r.shards))
}

// lastHedge is the last time at which a hedge can still answer.
func (r *Run) lastHedge() time.Duration {
	return r.answerBy - r.policy.TypicalLatency
}
