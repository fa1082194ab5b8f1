package forward

import "time"

// quantile estimates a quantile of a stream without storing samples. Each
// observation moves the estimate by a step proportional to the estimate.
type quantile struct {
	q     float64
	value float64 // seconds
	seen  float64 // requests, weighted by gatherWeight
}

const (
	// quantileGain is the step of one request in proportion to the estimate.
	quantileGain = 0.04
	// gatherWeight is the maximum total weight, in requests, of the sub-requests
	// of one gathered request. They are slow at the same time when this host is
	// busy, and a full step for each of ninety would multiply the estimate.
	gatherWeight = 4
	// warmupGain multiplies the steps of the first warmupRequests.
	warmupGain     = 4
	warmupRequests = 30
)

// observe records the time of one of the sub-requests of a request.
func (e *quantile) observe(x float64, subRequests int) {
	weight := min(1, gatherWeight/float64(max(subRequests, 1)))
	e.seen += weight
	if e.value <= 0 {
		e.value = max(x, 1e-4)
		return
	}
	step := quantileGain * weight * e.value
	if e.seen < warmupRequests {
		step *= warmupGain
	}
	if x > e.value {
		e.value += step * e.q
	} else {
		e.value -= step * (1 - e.q)
	}
	e.value = max(e.value, 1e-4)
}

// Timing estimates how long the attempts of one route take.
type Timing struct {
	early quantile
	high  quantile
}

// Parameters of the hedge delay.
const (
	highQuantile = 0.9
	hedgeFactor  = 1.3
	// earlyQuantile replaces highQuantile while the budget allows more than a
	// hedge of every fifth attempt. It usually does on hosts that gather for
	// other hosts, since few of them share the fixed part of the budget.
	earlyQuantile = 0.8
	earlyMinLeft  = 0.4 // extra attempts left per request
)

// NewTiming returns the timing of a route without observations.
func NewTiming() *Timing {
	return &Timing{early: quantile{q: earlyQuantile}, high: quantile{q: highQuantile}}
}

// Observe records the time of a successful attempt of a request with the given
// number of sub-requests.
func (t *Timing) Observe(took time.Duration, subRequests int) {
	t.early.observe(took.Seconds(), subRequests)
	t.high.observe(took.Seconds(), subRequests)
}

// Bounds of the hedge delay as shares of the route's objective. An attempt that
// has not answered after maxHedgeShare leaves too little time for another one.
const (
	minHedgeShare     = 0.04
	maxHedgeShare     = 0.4
	defaultHedgeShare = 0.3
	minRequests       = 10 // observed before the estimates are used
)

// HedgeDelay returns how long an attempt may take before another searcher gets
// the request as well. Hedges cover searchers that pause for longer than the
// objective allows: with 20 shards a pause affects more than half of the
// queries. left is the number of extra attempts that the budget has left per
// request. relation is the cost of the request in relation to the route's usual one: an
// expensive request is not late when a usual one would be.
func (t *Timing) HedgeDelay(objective time.Duration, left, relation float64) time.Duration {
	share := func(s float64) time.Duration { return time.Duration(s * float64(objective)) }
	if t.high.seen < minRequests {
		return share(defaultHedgeShare)
	}
	wait := time.Duration(t.high.value * hedgeFactor * float64(time.Second))
	if left >= earlyMinLeft {
		wait = time.Duration(t.early.value * float64(time.Second))
	}
	wait = time.Duration(relation * float64(wait))
	return min(max(wait, share(minHedgeShare)), share(maxHedgeShare))
}
