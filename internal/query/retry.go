package query

import "time"

// retry sends a failed shard to another replica if the time, the number of
// attempts and the budget allow it, and gives the shard up otherwise. The
// shard has no attempt in flight.
func (r *Run) retry(at time.Duration, i int) {
	s := &r.shards[i]
	if int(s.sent) >= r.policy.MaxAttempts || !r.inTime(at) {
		r.lose(i, s.reason)
		return
	}
	candidates := r.candidates(i, "")
	if len(candidates) == 0 {
		r.retryShed(at, i)
		return
	}
	if !r.allowRetry() {
		r.lose(i, s.reason)
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

// retryShed waits for a backoff if a replica refused only for lack of
// capacity, and gives the shard up otherwise. Only then is a second try of
// the same replica useful.
func (r *Run) retryShed(at time.Duration, i int) {
	s := &r.shards[i]
	if s.reason != ReasonShed || s.refused >= maxBackoffs || len(r.shedCandidates(i)) == 0 {
		r.lose(i, s.reason)
		return
	}
	r.postpone(at, i)
}

// maxBackoffs bounds the waits for one shard of one snapshot.
const maxBackoffs = 6

// postpone sets the time of the shard's next try, with exponential backoff.
func (r *Run) postpone(at time.Duration, i int) {
	s := &r.shards[i]
	wait := min(r.policy.RetryBackoff<<s.refused, r.policy.MaxRetryBackoff)
	if r.policy.Rand != nil && wait > 1 {
		wait = wait/2 + time.Duration(r.policy.Rand.Int64N(int64(wait)))
	}
	s.refused++
	if s.refused > maxBackoffs || wait <= 0 || !r.inTime(at+wait) {
		r.lose(i, s.reason)
		return
	}
	s.retryAt = at + wait
	r.retryAt = min(r.retryAt, s.retryAt)
}

// retryDue sends the shards whose backoff is over.
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

// resume sends a shard after its backoff. A shard that was never sent needs
// no retry budget.
func (r *Run) resume(at time.Duration, i int) {
	s := &r.shards[i]
	if !r.inTime(at) {
		r.lose(i, s.reason)
		return
	}
	if s.sent == 0 {
		r.attemptFirst(at, i)
		return
	}
	candidates := r.candidates(i, "")
	if len(candidates) == 0 {
		candidates = r.shedCandidates(i)
	}
	if len(candidates) == 0 || !r.allowRetry() {
		r.lose(i, s.reason)
		return
	}
	if !r.send(at, i, candidates, "", retryAttempt) {
		r.postpone(at, i)
	}
}

// shedCandidates returns the replicas that refused this shard for lack of
// capacity.
func (r *Run) shedCandidates(i int) []Replica {
	r.scratch = r.scratch[:0]
	r.scratchFrom = r.scratchFrom[:0]
	if r.gone {
		return nil
	}
	all := r.snapshot.Replicas[i]
	for j := range all {
		if r.shedBy(&r.shards[i], &all[j]) && !r.isDraining(&all[j]) {
			r.scratch = append(r.scratch, all[j])
			r.scratchFrom = append(r.scratchFrom, j)
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
