package forward

import "time"

// BudgetLimits bound the extra attempts at one service, which are those beyond
// the first of each request. In any Window, all hosts together may make Ratio
// times the number of requests, plus Extra. Each host applies Ratio to the
// requests that it carries out and uses an equal part of Extra, so that the bound
// holds without messages between hosts.
type BudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// budgetUse is the share of its bound that a host uses. The rest covers
	// requests that hosts and targets count at different times.
	budgetUse     = 0.85
	budgetBuckets = 20 // of the window, one of them for its two ends
	// grantBuckets covers GrantLifetime beside the window: another host makes the
	// attempts that this one has granted, until they expire.
	grantBuckets = budgetBuckets + 4
)

// GrantLifetime returns how long a grant of an extra attempt may be used.
func (l BudgetLimits) GrantLifetime() time.Duration { return l.Window / 5 }

// Budget counts requests and extra attempts in a sliding window.
type Budget struct {
	limits   BudgetLimits
	hosts    int
	requests buckets
	extras   buckets
	granted  buckets
	origin   time.Time // from which buckets are numbered; zero before the first use
	newest   int64     // number of the newest bucket
	count    ExtraCount
}

// buckets count by time.
type buckets [grantBuckets]int

// add adds to the bucket with a number.
func (c *buckets) add(number int64, n int) { c[number%grantBuckets] += n }

// sum returns the sum of the newest buckets.
func (c *buckets) sum(newest int64, n int) (total int) {
	for k := max(newest-int64(n)+1, 0); k <= newest; k++ {
		total += c[k%grantBuckets]
	}
	return total
}

// ExtraCount counts the requests for a service and the extra attempts at it.
type ExtraCount struct {
	Requests int
	Made     int
	Denied   int // because the budget was spent
	Granted  int // to other hosts that carry out requests of this one
}

// Add returns the sum of two counts.
func (c ExtraCount) Add(o ExtraCount) ExtraCount {
	return ExtraCount{c.Requests + o.Requests, c.Made + o.Made, c.Denied + o.Denied, c.Granted + o.Granted}
}

// Wanted returns the number of extra attempts that were made or denied.
func (c ExtraCount) Wanted() int { return c.Made + c.Denied }

// NewBudget returns a budget that is not shared with other hosts.
func NewBudget(limits BudgetLimits) Budget { return Budget{limits: limits, hosts: 1} }

// SetHosts sets the number of hosts that share Extra. If it is 0, this host uses no part
// of Extra.
func (b *Budget) SetHosts(n int) { b.hosts = max(n, 0) }

// Hosts returns the number of hosts that share Extra.
func (b *Budget) Hosts() int { return b.hosts }

// TakeCount returns what was counted since the last call.
func (b *Budget) TakeCount() ExtraCount {
	c := b.count
	b.count = ExtraCount{}
	return c
}

// number returns the number of the bucket of a time. Buckets are numbered by the monotonic
// time since the first use: the time of day may jump, and a jump ahead would empty the
// window.
func (b *Budget) number(now time.Time) int64 {
	width := max(b.limits.Window/(budgetBuckets-1), time.Millisecond)
	if b.origin.IsZero() {
		b.origin = now.Add(-time.Duration(now.UnixNano() % int64(width)))
	}
	return int64(now.Sub(b.origin) / width)
}

// advance empties the buckets that are out of use.
func (b *Budget) advance(now time.Time) {
	n := b.number(now)
	if n-b.newest >= grantBuckets {
		b.requests, b.extras, b.granted = buckets{}, buckets{}, buckets{}
	} else {
		for k := b.newest + 1; k <= n; k++ {
			b.requests[k%grantBuckets], b.extras[k%grantBuckets], b.granted[k%grantBuckets] = 0, 0, 0
		}
	}
	b.newest = max(b.newest, n)
}

// RecordRequest records a request for the service.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests.add(b.newest, 1)
	b.count.Requests++
}

// Left returns how many extra attempts may be made or granted now.
func (b *Budget) Left(now time.Time) float64 {
	b.advance(now)
	used := b.extras.sum(b.newest, budgetBuckets) + b.granted.sum(b.newest, grantBuckets)
	return budgetUse*b.limits.Ratio*float64(b.requests.sum(b.newest, budgetBuckets)) + b.Fixed() - float64(used)
}

// Fixed returns how many extra attempts this host may make in a window whatever the
// number of requests.
func (b *Budget) Fixed() float64 {
	if b.hosts == 0 {
		return 0
	}
	return budgetUse * b.limits.Extra / float64(b.hosts)
}

// LeftPerRequest returns how many extra attempts are left for each request of
// the window.
func (b *Budget) LeftPerRequest(now time.Time) float64 {
	left := b.Left(now)
	return left / float64(max(b.requests.sum(b.newest, budgetBuckets), 1))
}

// Spend takes one extra attempt from the budget and reports whether one was
// left.
func (b *Budget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		b.count.Denied++
		return false
	}
	b.count.Made++
	b.extras.add(b.newest, 1)
	return true
}

// Grant takes one extra attempt from the budget for a request that another host carries
// out, and reports whether one was left. That host may make the attempt for GrantLifetime.
func (b *Budget) Grant(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.count.Granted++
	b.granted.add(b.number(now), 1)
	return true
}

// Ungrant takes back a grant that was made at a time just before and not given away.
func (b *Budget) Ungrant(grantedAt time.Time) {
	b.count.Granted--
	b.granted.add(b.number(grantedAt), -1)
}
