package entryrun

import (
	"context"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// chooser picks the replicas of one query through the balancer of its group.
// Pick reserves a slot of the searcher at once: a query picks replicas for all
// its shards before it sends the first sub-request, and picks that did not count
// each other would concentrate on the same searchers.
type chooser struct {
	group   *group
	cost    workload.Cost // of a sub-request of the query
	scratch []balance.Replica
	avoid   [1]balance.Replica

	mu       sync.Mutex
	reserved map[balance.Key][]balance.Replica
}

// Pick implements query.Chooser.
func (c *chooser) Pick(_ time.Time, candidates []query.Replica, avoidDomain string) (int, bool) {
	c.scratch = c.scratch[:0]
	for _, r := range candidates {
		if !c.group.withdrawn(r.FailureDomain) { // a query keeps the replicas of its start
			c.scratch = append(c.scratch, c.replica(r))
		}
	}
	if len(c.scratch) == 0 {
		return 0, false
	}
	opts := balance.PickOptions{MaxEjectedPercent: c.group.limits.MaxEjectedPercent}
	if avoidDomain != "" {
		c.avoid[0] = balance.Replica{FailureDomain: avoidDomain}
		opts.Avoid = c.avoid[:]
	}
	picked, result := c.group.balancer.TryAcquire(c.scratch, opts)
	if result == balance.NoCandidate {
		return 0, false
	}
	if result == balance.Picked {
		c.reserve(picked)
	}
	for i := range candidates {
		if balanceReplica(candidates[i]).Key == picked.Key {
			return i, true
		}
	}
	return 0, false
}

func (c *chooser) replica(r query.Replica) balance.Replica {
	out := balanceReplica(r)
	out.Cost = c.cost
	return out
}

func (c *chooser) reserve(r balance.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved == nil {
		c.reserved = make(map[balance.Key][]balance.Replica)
	}
	c.reserved[r.Key] = append(c.reserved[r.Key], r)
}

// acquire takes a slot that Pick reserved on the replica, or waits for a free
// one.
func (c *chooser) acquire(ctx context.Context, r balance.Replica) (balance.Replica, error) {
	c.mu.Lock()
	if held := c.reserved[r.Key]; len(held) > 0 {
		c.reserved[r.Key] = held[:len(held)-1]
		c.mu.Unlock()
		return held[len(held)-1], nil
	}
	c.mu.Unlock()
	return c.group.balancer.Acquire(ctx, []balance.Replica{r}, balance.PickOptions{})
}

// releaseUnused releases the reserved slots whose sub-requests were never sent.
func (c *chooser) releaseUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, held := range c.reserved {
		for _, r := range held {
			c.group.balancer.Release(r, balance.Outcome{Kind: balance.Canceled})
		}
	}
	c.reserved = nil
}
