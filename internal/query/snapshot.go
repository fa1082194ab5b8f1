package query

import (
	"slices"
	"time"
)

// best returns the newest snapshot above a generation whose every shard has a
// replica, else the one with the best coverage, newest first. It returns nil
// if there is none with a replica.
func (c *Catalog) best(above uint64) *Snapshot {
	if c == nil {
		return nil
	}
	var best *Snapshot
	bestShare := 0.0
	for i := range c.Snapshots {
		s := &c.Snapshots[i]
		if above > 0 && s.Generation <= above {
			continue
		}
		share := s.coveredShare()
		if share == 1 {
			return s
		}
		if share > bestShare {
			best, bestShare = s, share
		}
	}
	return best
}

func (s *Snapshot) coveredShare() float64 {
	if len(s.Layout) == 0 || len(s.Replicas) != len(s.Layout) {
		return 0
	}
	return float64(s.Covered()) / float64(len(s.Layout))
}

// find returns the snapshot of that name and layout.
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

// pin makes a snapshot the one that the whole answer comes from.
func (r *Run) pin(s *Snapshot) {
	r.snapshot = s
	r.gone, r.vanished = false, false
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

// changeCatalog takes the pinned snapshot's replicas from a newer catalog.
func (r *Run) changeCatalog(at time.Duration, c *Catalog) {
	if r.finished || c == nil {
		return
	}
	r.catalog = c
	if same := c.find(r.snapshot); same != nil {
		r.snapshot = same
		r.gone = false
		r.revive(at)
	} else {
		r.gone = true
	}
	for i := range r.shards {
		s := &r.shards[i]
		s.noHedge = false
		if s.status == shardLost && s.reason == ReasonSnapshotGone {
			r.vanished = true
		}
	}
}

// revive tries lost shards again, for which a newer catalog may have
// replicas.
func (r *Run) revive(at time.Duration) {
	for i := range r.shards {
		s := &r.shards[i]
		if s.status != shardLost || len(r.candidates(i, "")) == 0 || !r.inTime(at) {
			continue
		}
		s.status = shardOpen
		r.open++
		if s.sent == 0 {
			r.attemptFirst(at, i)
		} else {
			r.retry(at, i)
		}
	}
}

// restart abandons the pinned snapshot for a newer one. It reports false if
// there is none, the deadline does not allow it, or the newer one promises
// less coverage than the pinned one can still reach.
func (r *Run) restart(at time.Duration) bool {
	if r.counters.Restarts >= r.policy.MaxRestarts || at+r.policy.TypicalLatency > r.answerBy || !r.inTime(at) {
		return false
	}
	next := r.catalog.best(r.snapshot.Generation)
	if next == nil || next.coveredShare() < r.reachableShare() {
		return false
	}
	r.abandonAll(at)
	r.counters.Restarts++
	r.pin(next)
	r.sendFirst(at)
	return true
}

// reachableShare is the share of shards that answered or still may.
func (r *Run) reachableShare() float64 {
	return float64(r.answered+r.open) / float64(len(r.shards))
}
