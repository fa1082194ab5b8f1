package query

import (
	"math/rand/v2"
	"time"
)

// Policy holds the parameters of one query. HedgeDelay, MinLatency and
// TypicalLatency come from observed latencies; see Group.Policy.
type Policy struct {
	AnswerTime     time.Duration // reserved before the query's deadline to merge hits and return the answer
	NetworkTime    time.Duration // one way from a target to this host
	MinLatency     time.Duration // no sub-request is sent with less time left
	TypicalLatency time.Duration // a restart needs this much time; held-back hedges are sent with this much left

	MaxAttempts int // sub-requests per shard of one snapshot, hedges and retries included
	MaxHedges   int // hedges per shard of one snapshot
	MaxRestarts int // restarts on a newer snapshot

	HedgeDelay    time.Duration // age at which a sub-request is hedged; zero disables hedging
	HedgePermille int           // hedges per thousand first sub-requests that the adaptive delay allows for
	// HedgeBudgetShare is the fraction of HedgePermille that the adaptive delay
	// plans to use. The rest absorbs bursts.
	HedgeBudgetShare float64
	// HedgeOverMedian limits the adaptive delay to a multiple of the median
	// latency; zero means no limit.
	HedgeOverMedian float64

	RetryBackoff    time.Duration // first backoff when a shard's replicas are busy or shed load, doubled each time
	MaxRetryBackoff time.Duration
	Rand            *rand.Rand // source of backoff jitter; nil means no jitter
}

// Defaults of a Policy.
const (
	DefaultAnswerTime       = 2 * time.Millisecond
	DefaultNetworkTime      = time.Millisecond
	DefaultMinLatency       = 2 * time.Millisecond
	DefaultTypicalLatency   = 10 * time.Millisecond
	DefaultMaxAttempts      = 4
	DefaultMaxHedges        = 2
	DefaultMaxRestarts      = 2
	DefaultHedgeDelay       = 50 * time.Millisecond
	DefaultHedgePermille    = 30
	DefaultHedgeBudgetShare = 0.8
	DefaultHedgeOverMedian  = 4.0
	DefaultRetryBackoff     = 4 * time.Millisecond
	DefaultMaxRetryBackoff  = 64 * time.Millisecond
)

// DefaultPolicy returns the policy used until latencies have been observed.
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
		HedgeBudgetShare: DefaultHedgeBudgetShare,
		HedgeOverMedian:  DefaultHedgeOverMedian,
		RetryBackoff:     DefaultRetryBackoff,
		MaxRetryBackoff:  DefaultMaxRetryBackoff,
	}
}

// minHedgedShards is the lower bound of hedgedShards. With a dozen shards, two
// stragglers in one query are common.
const minHedgedShards = 2

// hedgedShards returns the largest number of open shards at which a query
// hedges: the number of hedges that one query adds to the budget. More open
// shards mean that the whole group is slow, and a hedge might then go to a
// shard that does not decide the query's latency.
func (p *Policy) hedgedShards(shards int) int {
	return max(minHedgedShards, p.HedgePermille*shards/1000)
}
