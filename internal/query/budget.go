package query

import "sync/atomic"

// tokensPerRequest is the cost of one hedge or retry. Each first sub-request
// adds bucket.permille tokens.
const tokensPerRequest = 1000

// bucket is a token bucket that is refilled by traffic, not by time.
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

func (b *bucket) refill() {
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

// BudgetLimits limits the extra load that the queries of a group may cause.
type BudgetLimits struct {
	HedgePermille int // hedges per thousand first sub-requests
	HedgeBurst    int // minimum burst of hedges; see SetShards
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

// SharedBudgets holds the hedge and retry budgets of one group. It is safe for
// concurrent use.
type SharedBudgets struct {
	hedges    *bucket
	retries   *bucket
	saturated atomic.Bool
	limits    BudgetLimits
}

// NewSharedBudgets returns budgets with full buckets.
func NewSharedBudgets(l BudgetLimits) *SharedBudgets {
	return &SharedBudgets{hedges: newBucket(l.HedgePermille, l.HedgeBurst), retries: newBucket(l.RetryPermille, l.RetryBurst), limits: l}
}

// burstQueries is the number of queries whose hedge tokens the bucket holds.
// Concurrent queries on a host share the bucket.
const burstQueries = 6

// SetShards scales the hedge burst to the number of shards of a query. A burst
// that suits a dozen shards is used up by a single query over hundreds.
func (b *SharedBudgets) SetShards(shards int) {
	burst := max(b.limits.HedgeBurst, burstQueries*b.limits.HedgePermille*shards/1000)
	b.hedges.burst.Store(int64(burst) * tokensPerRequest)
}

// SetSaturated disables hedging while the group has no spare capacity.
func (b *SharedBudgets) SetSaturated(saturated bool) { b.saturated.Store(saturated) }

// AllowHedge reports whether a hedge may be sent, and takes its tokens if so.
func (b *SharedBudgets) AllowHedge() bool { return !b.saturated.Load() && b.hedges.take() }

// AllowRetry reports whether a retry may be sent, and takes its tokens if so.
func (b *SharedBudgets) AllowRetry() bool { return b.retries.take() }

// OnFirstAttempt refills the budgets for one first sub-request.
func (b *SharedBudgets) OnFirstAttempt() {
	b.hedges.refill()
	b.retries.refill()
}
