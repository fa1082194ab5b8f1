package query

import "time"

// retry sends a sub-request for a failed shard to another replica if the time
// left, MaxAttempts and the budget allow it, and gives up the shard otherwise.
// The shard has no attempt in flight.
func (r *Run) retry(at time.Duration, i int) {
	s := &r.shards[i]
	if int(s.sent) >= r.policy.MaxAttempts || !r.inTime(at) {
		r.markMissing(i, s.reason)
		return
	}
	candidates := r.candidates(i, "")
	if len(candidates) == 0 {
		r.retryShed(at, i)
		return
	}
	if !r.allowRetry() {
		r.markMissing(i, s.reason)
		return
	}
	if !r.send(at, i, candidates, r.latestDomain(s), retryAttempt) {
		r.postpone(at, i)
	}
}

func (r *Run) latestDomain(s *shard) string {
	if s.latest == noAttempt {
		return ""
	}
	return r.attempts[s.latest].replica.FailureDomain
}

func (r *Run) allowRetry() bool {
	if r.budgets.AllowRetry() {
		return true
	}
	r.counters.Denied++
	return false
}

// retryShed schedules a retry after a backoff if a replica shed the latest
// sub-request, and gives up the shard otherwise. Only a replica that shed load
// is worth a second attempt.
func (r *Run) retryShed(at time.Duration, i int) {
	s := &r.shards[i]
	if s.reason != ReasonShed || s.backoffs >= maxBackoffs || len(r.shedCandidates(i)) == 0 {
		r.markMissing(i, s.reason)
		return
	}
	r.postpone(at, i)
}

// maxBackoffs limits the backoffs per shard of one snapshot.
const maxBackoffs = 6

// postpone schedules the shard's next attempt after an exponential backoff, or
// gives up the shard if the backoffs or the time run out.
func (r *Run) postpone(at time.Duration, i int) {
	s := &r.shards[i]
	wait := min(r.policy.RetryBackoff<<s.backoffs, r.policy.MaxRetryBackoff)
	if r.policy.Rand != nil && wait > 1 {
		wait = wait/2 + time.Duration(r.policy.Rand.Int64N(int64(wait)))
	}
	s.backoffs++
	if s.backoffs > maxBackoffs || wait <= 0 || !r.inTime(at+wait) {
		r.markMissing(i, s.reason)
		return
	}
	s.retryAt = at + wait
	r.retryAt = min(r.retryAt, s.retryAt)
}

// retryDue sends sub-requests for the shards whose backoff has elapsed.
func (r *Run) retryDue(at time.Duration) {
	r.retryAt = never
	for i := range r.shards {
		s := &r.shards[i]
		if s.retryAt == 0 {
			continue
		}
		if s.retryAt > at {
			r.retryAt = min(r.retryAt, s.retryAt)
			continue
		}
		s.retryAt = 0
		r.resume(at, i)
	}
}

// resume sends a sub-request for a shard after its backoff. The first
// sub-request of a shard needs no retry budget.
func (r *Run) resume(at time.Duration, i int) {
	s := &r.shards[i]
	if !r.inTime(at) {
		r.markMissing(i, s.reason)
		return
	}
	if s.sent == 0 {
		r.startShard(at, i)
		return
	}
	candidates := r.candidates(i, "")
	if len(candidates) == 0 {
		candidates = r.shedCandidates(i)
	}
	if len(candidates) == 0 || !r.allowRetry() {
		r.markMissing(i, s.reason)
		return
	}
	if !r.send(at, i, candidates, "", retryAttempt) {
		r.postpone(at, i)
	}
}

// shedCandidates returns the replicas that shed a sub-request for this shard
// and are not known to be draining. The result is valid until the next call of
// shedCandidates or candidates.
func (r *Run) shedCandidates(i int) []Replica {
	r.scratch = r.scratch[:0]
	r.scratchIndex = r.scratchIndex[:0]
	if r.snapshotGone {
		return nil
	}
	all := r.snapshot.Replicas[i]
	for j := range all {
		if r.shedBy(&r.shards[i], &all[j]) && !r.isDraining(&all[j]) {
			r.scratch = append(r.scratch, all[j])
			r.scratchIndex = append(r.scratchIndex, j)
		}
	}
	return r.scratch
}

func (r *Run) shedBy(s *shard, replica *Replica) bool {
	for k := s.latest; k != noAttempt; k = r.attempts[k].previous {
		if r.attempts[k].shed && sameReplica(r.attempts[k].replica, replica) {
			return true
		}
	}
	return false
}
