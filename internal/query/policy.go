package query

import (
	"math/rand/v2"
	"time"
)

// Policy holds the values that govern one query. HedgeDelay, MinLatency and
// TypicalLatency come from observed latencies; see Group.Policy.
type Policy struct {
	AnswerTime     time.Duration // kept free before the query's deadline for merging and replying
	NetworkTime    time.Duration // one way from a target to this host
	MinLatency     time.Duration // no sub-request is sent with less time left
	TypicalLatency time.Duration // a restart and a hedge need this much time

	MaxAttempts int // sub-requests per shard of one snapshot, hedges and retries included
	MaxHedges   int // hedges per shard of one snapshot
	MaxRestarts int // restarts on a newer snapshot

	HedgeDelay    time.Duration // age at which a sub-request is hedged; zero turns hedging off
	HedgePermille int           // hedges per thousand sub-requests that the delay aims at
	// HedgeBudgetShare is the part of HedgePermille that the adaptive delay
	// plans to use. The rest absorbs bursts.
	HedgeBudgetShare float64
	// HedgeOverMedian bounds the adaptive delay to a multiple of the median
	// latency; zero means no bound.
	HedgeOverMedian float64

	RetryBackoff    time.Duration // wait before a replica that shed load is tried again, doubled each time
	MaxRetryBackoff time.Duration
	Rand            *rand.Rand // jitter of the backoff; nil means no jitter
}

// Defaults of a Policy.
const (
	DefaultAnswerTime      = 2 * time.Millisecond
	DefaultNetworkTime     = time.Millisecond
	DefaultMinLatency      = 2 * time.Millisecond
	DefaultTypicalLatency  = 10 * time.Millisecond
	DefaultMaxAttempts     = 4
	DefaultMaxHedges       = 2
	DefaultMaxRestarts     = 2
	DefaultHedgeDelay      = 50 * time.Millisecond
	DefaultHedgePermille   = 30
	DefaultHedgeBudget     = 0.8
	DefaultHedgeOverMedian = 4.0
	DefaultRetryBackoff    = 4 * time.Millisecond
	DefaultMaxRetryBackoff = 64 * time.Millisecond
)

// DefaultPolicy returns the values used until latencies have been observed.
func DefaultPolicy() Policy {
	return Policy{
		AnswerTime:       DefaultAnswerTime,
		NetworkTime:      DefaultNetworkTime,
		MinLatency:       DefaultMinLatency,
		TypicalLatency:   DefaultTypicalLatency,
		MaxAttempts:      DefaultMaxAttempts,
		MaxHedges:        DefaultMaxHedges,
		MaxRestarts:      DefaultMaxRestarts,
		HedgeDelay:       DefaultHedgeDelay,
		HedgePermille:    DefaultHedgePermille,
		HedgeBudgetShare: DefaultHedgeBudget,
		HedgeOverMedian:  DefaultHedgeOverMedian,
		RetryBackoff:     DefaultRetryBackoff,
		MaxRetryBackoff:  DefaultMaxRetryBackoff,
	}
}

// minHedgedShards is the least number of unanswered shards that a query may
// hedge together. With a dozen shards two stragglers in one query are common.
const minHedgedShards = 2

// hedgedShards is the largest number of unanswered shards at which a query
// hedges. It is what one query adds to the budget. More unanswered shards
// mean that the group is slow as a whole, and a hedge would then go to a
// shard that does not decide the query's latency.
func (p *Policy) hedgedShards(shards int) int {
	return max(minHedgedShards, p.HedgePermille*shards/1000)
}
