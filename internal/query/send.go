package query

import "time"

// attemptKind is the reason for which a sub-request is sent.
type attemptKind uint8

const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// send sends a sub-request to the candidate that the chooser picks, and reports
// false if it picks none. The argument candidates must be the latest result of
// candidates or shedCandidates.
func (r *Run) send(at time.Duration, i int, candidates []Replica, avoid string, kind attemptKind) bool {
	pick, ok := r.chooser.Pick(r.start.Add(at), candidates, avoid)
	if !ok || pick < 0 || pick >= len(candidates) {
		return false
	}
	r.recordAttempt(at, i, r.catalogReplica(i, pick), kind)
	request := SubRequest{
		RequestID:     r.query.RequestID,
		Attempt:       uint32(len(r.attempts)),
		Shard:         i,
		ShardName:     r.snapshot.Layout[i],
		IndexSnapshot: r.snapshot.Name,
		Replica:       candidates[pick],
		Terms:         r.query.Terms,
		K:             r.query.K,
		Deadline:      r.start.Add(r.answerBy - r.policy.NetworkTime),
		Hedge:         kind == hedgeAttempt,
	}
	r.effects = append(r.effects, Send{Request: request})
	return true
}

// recordAttempt adds a sub-request to the state of its shard.
func (r *Run) recordAttempt(at time.Duration, i int, replica *Replica, kind attemptKind) {
	s := &r.shards[i]
	r.attempts = append(r.attempts, attempt{shard: int32(i), previous: s.latest, hedge: kind == hedgeAttempt, replica: replica, sentAt: at})
	s.latest = int32(len(r.attempts) - 1)
	s.inFlight++
	s.sent++
	s.retryAt = 0
	s.reason = ""
	r.counters.Sent++
	switch kind {
	case firstAttempt:
		r.budgets.OnFirstAttempt()
	case retryAttempt:
		r.counters.Retries++
	case hedgeAttempt:
		s.hedges++
		r.counters.Hedges++
	}
	if r.policy.HedgeDelay > 0 {
		r.hedgeAt = min(r.hedgeAt, at+r.policy.HedgeDelay)
	}
}

// candidates returns the replicas of a shard that this query has not tried and
// that are not known to be draining. If any of them are outside the failure
// domain avoid, it returns only these. The result is valid until the next call
// of candidates or shedCandidates.
func (r *Run) candidates(i int, avoid string) []Replica {
	s := &r.shards[i]
	r.scratch = r.scratch[:0]
	r.scratchIndex = r.scratchIndex[:0]
	if r.snapshotGone {
		return nil
	}
	all := r.snapshot.Replicas[i]
	if s.sent == 0 && len(r.draining) == 0 && avoid == "" {
		return all
	}
	for j := range all {
		if !r.tried(s, &all[j]) && !r.isDraining(&all[j]) {
			r.scratch = append(r.scratch, all[j])
			r.scratchIndex = append(r.scratchIndex, j)
		}
	}
	r.preferOtherDomains(avoid)
	return r.scratch
}

// preferOtherDomains drops the candidates in the failure domain avoid, unless
// all of them are in it.
func (r *Run) preferOtherDomains(avoid string) {
	if avoid == "" {
		return
	}
	kept := 0
	for j := range r.scratch {
		if r.scratch[j].FailureDomain == avoid {
			continue
		}
		r.scratch[kept], r.scratch[j] = r.scratch[j], r.scratch[kept]
		r.scratchIndex[kept], r.scratchIndex[j] = r.scratchIndex[j], r.scratchIndex[kept]
		kept++
	}
	if kept > 0 {
		r.scratch = r.scratch[:kept]
		r.scratchIndex = r.scratchIndex[:kept]
	}
}

// catalogReplica returns the catalog's entry for a picked candidate.
func (r *Run) catalogReplica(i, pick int) *Replica {
	if len(r.scratchIndex) > 0 {
		pick = r.scratchIndex[pick]
	}
	return &r.snapshot.Replicas[i][pick]
}

// tried reports whether the query has sent a sub-request for this shard to
// the replica.
func (r *Run) tried(s *shard, replica *Replica) bool {
	for k := s.latest; k != noAttempt; k = r.attempts[k].previous {
		if sameReplica(r.attempts[k].replica, replica) {
			return true
		}
	}
	return false
}

func sameReplica(a, b *Replica) bool {
	return a == b || a.Searcher == b.Searcher && a.Target == b.Target && a.Incarnation == b.Incarnation
}

// isDraining reports whether a reply marked the replica's target as draining.
func (r *Run) isDraining(replica *Replica) bool {
	for k := range r.draining {
		if r.draining[k].Target == replica.Target && r.draining[k].Incarnation == replica.Incarnation {
			return true
		}
	}
	return false
}

// recordDraining records a draining target and reports it once.
func (r *Run) recordDraining(replica *Replica) {
	if r.isDraining(replica) {
		return
	}
	seen := DrainObserved{Target: replica.Target, Incarnation: replica.Incarnation}
	r.draining = append(r.draining, seen)
	r.effects = append(r.effects, seen)
}

// cancelAttempt cancels an attempt if it is in flight. Its age is observed as a
// latency only from the hedge delay on: a smaller age says nothing about the
// quantile that the delay is derived from.
func (r *Run) cancelAttempt(at time.Duration, k int32) {
	a := &r.attempts[k]
	if a.state != attemptInFlight {
		return
	}
	a.state = attemptCancelled
	r.shards[a.shard].inFlight--
	r.counters.Cancelled++
	if at-a.sentAt >= r.policy.HedgeDelay {
		r.observe(at, a, false)
	}
	r.effects = append(r.effects, Cancel{Attempt: uint32(k + 1)})
}

// cancelShard cancels the attempts of a shard that are in flight.
func (r *Run) cancelShard(at time.Duration, i int) {
	for k := r.shards[i].latest; k != noAttempt && r.shards[i].inFlight > 0; k = r.attempts[k].previous {
		r.cancelAttempt(at, k)
	}
}

// cancelAll cancels every attempt in flight.
func (r *Run) cancelAll(at time.Duration) {
	for i := range r.shards {
		r.cancelShard(at, i)
	}
}

func (r *Run) observe(at time.Duration, a *attempt, answered bool) {
	if r.observer != nil {
		r.observer.ObserveLatency(r.start.Add(at), at-a.sentAt, answered)
	}
}
