package query

import "sync/atomic"

// tokensPerRequest is the cost of one hedge or retry in a bucket. Income is
// in thousandths of a sub-request, so a share in permille is the income.
const tokensPerRequest = 1000

// bucket is a token bucket that fills with traffic instead of time.
type bucket struct {
	level    atomic.Int64
	permille int64
	burst    int64
}

func newBucket(permille, burst int) *bucket {
	b := &bucket{permille: int64(permille), burst: int64(burst) * tokensPerRequest}
	b.level.Store(b.burst)
	return b
}

func (b *bucket) fill() {
	for {
		old := b.level.Load()
		level := min(old+b.permille, b.burst)
		if level == old || b.level.CompareAndSwap(old, level) {
			return
		}
	}
}

func (b *bucket) take() bool {
	for {
		old := b.level.Load()
		if old < tokensPerRequest {
			return false
		}
		if b.level.CompareAndSwap(old, old-tokensPerRequest) {
			return true
		}
	}
}

// BudgetLimits sets the extra load that the queries of a group may cause.
type BudgetLimits struct {
	HedgePermille int // hedges per thousand sub-requests
	HedgeBurst    int // hedges that may follow each other at once
	RetryPermille int
	RetryBurst    int
}

// Defaults of BudgetLimits.
const (
	DefaultHedgeBurst    = 20
	DefaultRetryPermille = 100
	DefaultRetryBurst    = 20
)

// DefaultBudgetLimits returns the default limits.
func DefaultBudgetLimits() BudgetLimits {
	return BudgetLimits{
		HedgePermille: DefaultHedgePermille,
		HedgeBurst:    DefaultHedgeBurst,
		RetryPermille: DefaultRetryPermille,
		RetryBurst:    DefaultRetryBurst,
	}
}

// SharedBudgets are the budgets of one group. They are safe for concurrent
// use.
type SharedBudgets struct {
	hedges    *bucket
	retries   *bucket
	saturated atomic.Bool
}

// NewSharedBudgets returns full budgets.
func NewSharedBudgets(l BudgetLimits) *SharedBudgets {
	return &SharedBudgets{hedges: newBucket(l.HedgePermille, l.HedgeBurst), retries: newBucket(l.RetryPermille, l.RetryBurst)}
}

// SetSaturated turns hedging off while the group has no capacity to spare.
func (b *SharedBudgets) SetSaturated(saturated bool) { b.saturated.Store(saturated) }

// AllowHedge takes the permission for one hedge.
func (b *SharedBudgets) AllowHedge() bool { return !b.saturated.Load() && b.hedges.take() }

// AllowRetry takes the permission for one retry.
func (b *SharedBudgets) AllowRetry() bool { return b.retries.take() }

// OnSubRequest fills the budgets.
func (b *SharedBudgets) OnSubRequest() {
	b.hedges.fill()
	b.retries.fill()
}
