package query

import (
	"slices"
	"time"
)

// best returns the newest snapshot in which every shard has a replica, or else
// the newest of those with the highest coverage. It considers only generations
// greater than above, or all if above is zero. It returns nil if no shard of
// any of them has a replica.
func (c *Catalog) best(above uint64) *Snapshot {
	if c == nil {
		return nil
	}
	var best *Snapshot
	bestRatio := 0.0
	for i := range c.Snapshots {
		s := &c.Snapshots[i]
		if above > 0 && s.Generation <= above {
			continue
		}
		ratio := s.coveredRatio()
		if ratio == 1 {
			return s
		}
		if ratio > bestRatio {
			best, bestRatio = s, ratio
		}
	}
	return best
}

func (s *Snapshot) coveredRatio() float64 {
	if len(s.Layout) == 0 || len(s.Replicas) != len(s.Layout) {
		return 0
	}
	return float64(s.Covered()) / float64(len(s.Layout))
}

// find returns the snapshot with the name and layout of want, or nil.
func (c *Catalog) find(want *Snapshot) *Snapshot {
	if c == nil {
		return nil
	}
	for i := range c.Snapshots {
		s := &c.Snapshots[i]
		if s.Name == want.Name && len(s.Replicas) == len(s.Layout) && slices.Equal(s.Layout, want.Layout) {
			return s
		}
	}
	return nil
}

// pin selects the snapshot that the whole answer comes from, and resets the
// state of the shards.
func (r *Run) pin(s *Snapshot) {
	r.snapshot = s
	r.snapshotGone, r.restartDue = false, false
	r.hedgeAt, r.retryAt, r.wakeAt = never, never, never
	r.hits.reset(r.query.K)
	r.answered = 0
	r.open = 0
	if s == nil {
		return
	}
	r.open = len(s.Layout)
	r.shards = slices.Grow(r.shards[:0], len(s.Layout))[:len(s.Layout)]
	for i := range r.shards {
		r.shards[i] = shard{latest: noAttempt}
	}
	if r.attempts == nil {
		r.attempts = make([]attempt, 0, len(s.Layout)+len(s.Layout)/8+4)
		r.effects = make([]Effect, 0, len(s.Layout)+1)
	}
}

// changeCatalog switches to a newer catalog and to its replicas of the pinned
// snapshot.
func (r *Run) changeCatalog(at time.Duration, c *Catalog) {
	if r.finished || c == nil {
		return
	}
	r.catalog = c
	if same := c.find(r.snapshot); same != nil {
		r.snapshot = same
		r.snapshotGone = false
		r.retryMissing(at)
	} else {
		r.snapshotGone = true
	}
	for i := range r.shards {
		s := &r.shards[i]
		s.noHedge = false
		if s.status == shardMissing && s.reason == ReasonSnapshotGone {
			r.restartDue = true
		}
	}
}

// retryMissing retries the missing shards for which a newer catalog lists
// replicas.
func (r *Run) retryMissing(at time.Duration) {
	for i := range r.shards {
		s := &r.shards[i]
		if s.status != shardMissing || len(r.candidates(i, "")) == 0 || !r.inTime(at) {
			continue
		}
		s.status = shardOpen
		r.open++
		if s.sent == 0 {
			r.startShard(at, i)
		} else {
			r.retry(at, i)
		}
	}
}

// restart restarts the query on a newer snapshot. It reports false if there is
// none, MaxRestarts or the deadline forbids it, or the newer snapshot covers
// a smaller fraction of its shards than the pinned one can still reach.
func (r *Run) restart(at time.Duration) bool {
	if r.counters.Restarts >= r.policy.MaxRestarts || at+r.policy.TypicalLatency > r.answerBy || !r.inTime(at) {
		return false
	}
	next := r.catalog.best(r.snapshot.Generation)
	if next == nil || next.coveredRatio() < r.reachableRatio() {
		return false
	}
	r.cancelAll(at)
	r.counters.Restarts++
	r.pin(next)
	r.startShards(at)
	return true
}

// reachableRatio returns the fraction of shards that are answered or open.
func (r *Run) reachableRatio() float64 {
	return float64(r.answered+r.open) / float64(len(r.shards))
}
