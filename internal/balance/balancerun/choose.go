package balancerun

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
)

// Choose picks a replica without counting anything, for a sub-request that
// will call Acquire with that replica alone.
func (b *Balancer) Choose(now time.Time, candidates []balance.Replica, opts balance.PickOptions) (balance.Replica, balance.PickResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Pick(now, candidates, opts, b.rng)
}
