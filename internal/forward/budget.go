package forward

import "time"

// BudgetLimits bound the attempts beyond the first of each request at one
// service. All hosts together may make Ratio of the requests plus Extra in any
// Window. Each host keeps to Ratio of its own requests and its share of Extra,
// so that the bound holds without a message between hosts.
type BudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Parts of the bound that a host uses. The rest covers requests that it counts
// at other moments than the targets do.
const (
	budgetUse     = 0.85
	budgetBuckets = 20
)

// Budget counts requests and further attempts in a sliding window.
type Budget struct {
	limits   BudgetLimits
	hosts    int
	requests [budgetBuckets]int
	extras   [budgetBuckets]int
	at       int64 // number of the newest bucket
}

// NewBudget returns a budget of a host that is alone.
func NewBudget(limits BudgetLimits) Budget { return Budget{limits: limits, hosts: 1} }

// SetHosts sets the number of hosts that share Extra.
func (b *Budget) SetHosts(n int) { b.hosts = max(n, 1) }

func (b *Budget) advance(now time.Time) int {
	width := max(b.limits.Window/(budgetBuckets-1), time.Millisecond)
	n := now.UnixNano() / int64(width)
	if n-b.at >= budgetBuckets {
		b.requests, b.extras = [budgetBuckets]int{}, [budgetBuckets]int{}
	} else {
		for k := b.at + 1; k <= n; k++ {
			b.requests[k%budgetBuckets], b.extras[k%budgetBuckets] = 0, 0
		}
	}
	b.at = max(b.at, n)
	return int(b.at % budgetBuckets)
}

// Request notes a request for the service.
func (b *Budget) Request(now time.Time) {
	b.requests[b.advance(now)]++
}

// Left returns how many further attempts may be made now.
func (b *Budget) Left(now time.Time) float64 {
	b.advance(now)
	requests, extras := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	return budgetUse*(b.limits.Ratio*float64(requests)+b.limits.Extra/float64(b.hosts)) - float64(extras)
}

// Spare returns how many further attempts are left for each request of the
// window.
func (b *Budget) Spare(now time.Time) float64 {
	left := b.Left(now)
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	return left / float64(max(requests, 1))
}

// Spend draws one further attempt and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.extras[b.advance(now)]++
	return true
}
