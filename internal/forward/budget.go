package forward

import "time"

// BudgetLimits bound the extra attempts at one service, which are those beyond
// the first of each request. In any Window, all hosts together may make Ratio
// times the number of requests, plus Extra. Each host applies Ratio to its own
// requests and uses an equal share of Extra, so that the bound holds without
// messages between hosts.
type BudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
	// WholeFrom is when a host may use its whole part of Extra. Before, the host may be
	// the successor of one that has just spent its part, and uses only what that one
	// had to leave unused.
	WholeFrom time.Time
}

const (
	// budgetUse is the share of its bound that a host uses. The rest covers
	// requests that hosts and targets count at different times.
	budgetUse     = 0.85
	budgetBuckets = 20
)

// Budget counts requests and extra attempts in a sliding window.
type Budget struct {
	limits   BudgetLimits
	hosts    int
	requests [budgetBuckets]int
	extras   [budgetBuckets]int
	origin   time.Time // from which buckets are numbered; zero before the first use
	newest   int64     // number of the newest bucket
	count    ExtraCount
}

// ExtraCount counts the requests for a service and the extra attempts at it.
type ExtraCount struct {
	Requests int
	Made     int
	Denied   int // because the budget was spent
}

// Add returns the sum of two counts.
func (c ExtraCount) Add(o ExtraCount) ExtraCount {
	return ExtraCount{c.Requests + o.Requests, c.Made + o.Made, c.Denied + o.Denied}
}

// Wanted returns the number of extra attempts that were made or denied.
func (c ExtraCount) Wanted() int { return c.Made + c.Denied }

// NewBudget returns a budget that is not shared with other hosts.
func NewBudget(limits BudgetLimits) Budget { return Budget{limits: limits, hosts: 1} }

// SetHosts sets the number of hosts that share Extra. If it is 0, the number is not
// known, and this host uses no part of Extra.
func (b *Budget) SetHosts(n int) { b.hosts = max(n, 0) }

// Hosts returns the number of hosts that share Extra.
func (b *Budget) Hosts() int { return b.hosts }

// TakeCount returns what was counted since the last call.
func (b *Budget) TakeCount() ExtraCount {
	c := b.count
	b.count = ExtraCount{}
	return c
}

// advance empties the buckets that have left the window, and returns the index of the
// newest one. Buckets are numbered by the monotonic time since the first use: the time of
// day may jump, and a jump ahead would empty the window.
func (b *Budget) advance(now time.Time) int {
	width := max(b.limits.Window/(budgetBuckets-1), time.Millisecond)
	if b.origin.IsZero() {
		b.origin = now.Add(-time.Duration(now.UnixNano() % int64(width)))
	}
	n := int64(now.Sub(b.origin) / width)
	if n-b.newest >= budgetBuckets {
		b.requests, b.extras = [budgetBuckets]int{}, [budgetBuckets]int{}
	} else {
		for k := b.newest + 1; k <= n; k++ {
			b.requests[k%budgetBuckets], b.extras[k%budgetBuckets] = 0, 0
		}
	}
	b.newest = max(b.newest, n)
	return int(b.newest % budgetBuckets)
}

// RecordRequest records a request for the service.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests[b.advance(now)]++
	b.count.Requests++
}

// Left returns how many extra attempts may be made now.
func (b *Budget) Left(now time.Time) float64 {
	b.advance(now)
	requests, extras := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	return budgetUse*b.limits.Ratio*float64(requests) + b.Fixed(now) - float64(extras)
}

// Fixed returns how many extra attempts this host may make in a window whatever the
// number of requests.
func (b *Budget) Fixed(now time.Time) float64 {
	if b.hosts == 0 {
		return 0
	}
	use := budgetUse
	if now.Before(b.limits.WholeFrom) {
		use = 1 - budgetUse
	}
	return use * b.limits.Extra / float64(b.hosts)
}

// LeftPerRequest returns how many extra attempts are left for each request of
// the window.
func (b *Budget) LeftPerRequest(now time.Time) float64 {
	left := b.Left(now)
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	return left / float64(max(requests, 1))
}

// Spend takes one extra attempt from the budget and reports whether one was
// left.
func (b *Budget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		b.count.Denied++
		return false
	}
	b.count.Made++
	b.extras[b.advance(now)]++
	return true
}
