package query

import "time"

// attemptKind says why a sub-request is sent.
type attemptKind uint8

const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// send lets the chooser pick one of the candidates, which the last call of
// candidates returned, and sends a sub-request to it. It reports false if the
// chooser offers none.
func (r *Run) send(at time.Duration, i int, candidates []Replica, avoid string, kind attemptKind) bool {
	pick, ok := r.chooser.Pick(r.start.Add(at), candidates, avoid)
	if !ok || pick < 0 || pick >= len(candidates) {
		return false
	}
	r.record(at, i, r.catalogReplica(i, pick), kind)
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

// record notes a sub-request in the state of its shard.
func (r *Run) record(at time.Duration, i int, replica *Replica, kind attemptKind) {
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
		r.budgets.OnSubRequest()
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

// candidates returns the replicas of a shard that this query has neither
// tried nor seen draining. With avoid set, replicas in other failure domains
// are preferred. The result is valid until the next call.
func (r *Run) candidates(i int, avoid string) []Replica {
	s := &r.shards[i]
	r.scratch = r.scratch[:0]
	r.scratchFrom = r.scratchFrom[:0]
	if r.gone {
		return nil
	}
	all := r.snapshot.Replicas[i]
	if s.sent == 0 && len(r.draining) == 0 && avoid == "" {
		return all
	}
	for j := range all {
		if !r.tried(s, &all[j]) && !r.isDraining(&all[j]) {
			r.scratch = append(r.scratch, all[j])
			r.scratchFrom = append(r.scratchFrom, j)
		}
	}
	r.preferOtherDomains(avoid)
	return r.scratch
}

// preferOtherDomains drops the candidates in a failure domain if any are
// outside it.
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
		r.scratchFrom[kept], r.scratchFrom[j] = r.scratchFrom[j], r.scratchFrom[kept]
		kept++
	}
	if kept > 0 {
		r.scratch = r.scratch[:kept]
		r.scratchFrom = r.scratchFrom[:kept]
	}
}

// catalogReplica returns the catalog's record of a picked candidate.
func (r *Run) catalogReplica(i, pick int) *Replica {
	if len(r.scratchFrom) > 0 {
		pick = r.scratchFrom[pick]
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

// isDraining reports whether the replica's target said that it is leaving.
func (r *Run) isDraining(replica *Replica) bool {
	for k := range r.draining {
		if r.draining[k].Target == replica.Target && r.draining[k].Incarnation == replica.Incarnation {
			return true
		}
	}
	return false
}

// noteDraining remembers a leaving target and reports it once.
func (r *Run) noteDraining(replica *Replica) {
	if r.isDraining(replica) {
		return
	}
	seen := DrainObserved{Target: replica.Target, Incarnation: replica.Incarnation}
	r.draining = append(r.draining, seen)
	r.effects = append(r.effects, seen)
}

// abandon cancels an attempt in flight. Its age enters the observed latencies
// only from the hedge delay on: below it, the age says nothing about the
// quantile that the delay stands for.
func (r *Run) abandon(at time.Duration, k int32) {
	a := &r.attempts[k]
	if a.state != attemptInFlight {
		return
	}
	a.state = attemptAbandoned
	r.shards[a.shard].inFlight--
	r.counters.Cancelled++
	if at-a.sentAt >= r.policy.HedgeDelay {
		r.observe(at, a, false)
	}
	r.effects = append(r.effects, Cancel{Attempt: uint32(k + 1)})
}

// abandonShard cancels the attempts of a shard that are in flight.
func (r *Run) abandonShard(at time.Duration, i int) {
	for k := r.shards[i].latest; k != noAttempt && r.shards[i].inFlight > 0; k = r.attempts[k].previous {
		r.abandon(at, k)
	}
}

// abandonAll cancels every attempt in flight.
func (r *Run) abandonAll(at time.Duration) {
	for i := range r.shards {
		r.abandonShard(at, i)
	}
}

func (r *Run) observe(at time.Duration, a *attempt, answered bool) {
	if r.observer != nil {
		r.observer.ObserveLatency(r.start.Add(at), at-a.sentAt, answered)
	}
}
