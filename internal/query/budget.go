package query

import "sync/atomic"

// tokensPerRequest is the cost of one hedge or retry in a bucket. Income is
// in thousandths of a sub-request, so a share in permille is the income.
const tokensPerRequest = 1000

// bucket is a token bucket that fills with traffic instead of time.
type bucket struct {
	level    atomic.Int64
	permille int64
	burst    atomic.Int64
}

func newBucket(permille, burst int) *bucket {
	b := &bucket{permille: int64(permille)}
	b.burst.Store(int64(burst) * tokensPerRequest)
	b.level.Store(b.burst.Load())
	return b
}

func (b *bucket) fill() {
	for {
		old := b.level.Load()
		level := min(old+b.permille, b.burst.Load())
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
	HedgeBurst    int // hedges that may follow each other at once, at least
	RetryPermille int
	RetryBurst    int
}

// Defaults of BudgetLimits.
const (
	DefaultHedgeBurst    = 10
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
	limits    BudgetLimits
}

// NewSharedBudgets returns full budgets.
func NewSharedBudgets(l BudgetLimits) *SharedBudgets {
	return &SharedBudgets{hedges: newBucket(l.HedgePermille, l.HedgeBurst), retries: newBucket(l.RetryPermille, l.RetryBurst), limits: l}
}

// burstQueries is the number of queries whose income of hedges the bucket
// holds. Queries that overlap on one host draw on it at the same time.
const burstQueries = 6

// SetShards adapts the burst of hedges to the number of shards of a query. A
// burst that suits a dozen shards is used up by a single query of hundreds.
func (b *SharedBudgets) SetShards(shards int) {
	burst := max(b.limits.HedgeBurst, burstQueries*b.limits.HedgePermille*shards/1000)
	b.hedges.burst.Store(int64(burst) * tokensPerRequest)
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
