package entryrun

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/query"
)

// chooser lets the balancer of a group choose for one query. It belongs to
// that query's goroutine.
type chooser struct {
	group   *group
	scratch []balance.Replica
	avoid   [1]balance.Replica
}

// Pick implements query.Chooser.
func (c *chooser) Pick(now time.Time, candidates []query.Replica, avoidDomain string) (int, bool) {
	c.scratch = c.scratch[:0]
	for _, r := range candidates {
		c.scratch = append(c.scratch, balanceReplica(r))
	}
	opts := balance.PickOptions{MaxEjectedPercent: c.group.limits.MaxEjectedPercent}
	if avoidDomain != "" {
		c.avoid[0] = balance.Replica{FailureDomain: avoidDomain}
		opts.Avoid = c.avoid[:]
	}
	picked, result := c.group.balancer.Choose(now, c.scratch, opts)
	if result == balance.NoCandidate {
		return 0, false
	}
	for i := range c.scratch {
		if c.scratch[i].Key == picked.Key {
			return i, true
		}
	}
	return 0, false
}
