package query

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and resolution of the recorded latencies.
const (
	latencyUnit    = time.Microsecond
	maxLatency     = time.Minute
	latencyDigits  = 2
	latencyWindows = 6
	latencyWindow  = time.Second
	latencyRefresh = 100 * time.Millisecond
	firstRefresh   = 10 * time.Millisecond // while there are too few samples
	minSamples     = 100                   // samples before quantiles replace the defaults
)

// estimate holds quantiles of a group's recent latencies.
type estimate struct {
	refreshAt      time.Time
	minLatency     time.Duration
	typicalLatency time.Duration
	hedgeDelay     time.Duration
	known          bool // there were enough samples
}

// Group holds the state that the queries of one group share: budgets and
// recent latencies. It is safe for concurrent use.
type Group struct {
	*SharedBudgets
	base     Policy
	estimate atomic.Pointer[estimate]

	mu       sync.Mutex
	recent   *hdrhistogram.WindowedHistogram
	rotateAt time.Time
}

// NewGroup returns a group without observed latencies. The latencies in base
// are used until there are minSamples of them.
func NewGroup(base Policy, limits BudgetLimits) *Group {
	g := &Group{
		SharedBudgets: NewSharedBudgets(limits),
		base:          base,
		recent:        hdrhistogram.NewWindowed(latencyWindows, 1, int64(maxLatency/latencyUnit), latencyDigits),
	}
	g.estimate.Store(&estimate{})
	return g
}

// ObserveLatency records one latency. Old latencies are dropped one window at
// a time.
func (g *Group) ObserveLatency(now time.Time, d time.Duration, _ bool) {
	value := min(max(int64(d/latencyUnit), 1), int64(maxLatency/latencyUnit))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	// RecordValue fails only outside the bounds applied above.
	_ = g.recent.Current.RecordValue(value)
}

func (g *Group) rotate(now time.Time) {
	if g.rotateAt.IsZero() {
		g.rotateAt = now.Add(latencyWindow)
	}
	for n := 0; n < latencyWindows && !now.Before(g.rotateAt); n++ {
		g.recent.Rotate()
		g.rotateAt = g.rotateAt.Add(latencyWindow)
	}
	if !now.Before(g.rotateAt) {
		g.rotateAt = now.Add(latencyWindow)
	}
}

// Policy returns the policy for a query that starts now.
func (g *Group) Policy(now time.Time) Policy {
	e := g.estimate.Load()
	if !now.Before(e.refreshAt) {
		e = g.refresh(now)
	}
	p := g.base
	if !e.known {
		return p
	}
	p.MinLatency = e.minLatency
	p.TypicalLatency = e.typicalLatency
	if p.HedgeDelay > 0 {
		p.HedgeDelay = e.hedgeDelay
	}
	return p
}

// refresh computes the estimate from the recorded latencies.
func (g *Group) refresh(now time.Time) *estimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.estimate.Load(); now.Before(e.refreshAt) {
		return e
	}
	g.rotate(now)
	h := g.recent.Merge()
	e := &estimate{refreshAt: now.Add(firstRefresh)}
	if h.TotalCount() >= minSamples {
		e.refreshAt = now.Add(latencyRefresh)
		e.known = true
		e.minLatency = latencyAt(h, 0)
		e.typicalLatency = latencyAt(h, 90)
		e.hedgeDelay = hedgeDelay(h, &g.base)
	}
	g.estimate.Store(e)
	return e
}

// hedgeDelay returns the latency quantile above which the budget can hedge
// every sub-request, but at most a multiple of the median. If there are more
// stragglers than the budget can hedge, the quantile lies among them, and a
// hedge after that delay comes too late.
func hedgeDelay(h *hdrhistogram.Histogram, p *Policy) time.Duration {
	delay := latencyAt(h, 100-p.HedgeBudgetShare*float64(p.HedgePermille)/10)
	if p.HedgeOverMedian > 0 {
		limit := time.Duration(p.HedgeOverMedian * float64(latencyAt(h, 50)))
		delay = min(delay, limit)
	}
	return max(delay, latencyUnit)
}

func latencyAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	if percentile <= 0 {
		return time.Duration(h.Min()) * latencyUnit
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * latencyUnit
}
