package forward

import "time"

// quantile follows a quantile of a stream with steps in proportion to the
// present estimate, so that it needs no memory of the stream.
type quantile struct {
	q     float64
	value float64 // seconds
	seen  float64 // requests, by their weight
}

const (
	// quantileGain is the step of one request in proportion to the estimate.
	quantileGain = 0.04
	// gatherWeight is how many requests the parts of a gather count as together.
	// They are slow at the same time when this host is busy, and a full step for
	// each of ninety would multiply the estimate.
	gatherWeight = 4
	// settleGain is the factor of the steps of the first settleRequests.
	settleGain     = 4
	settleRequests = 30
)

// observe takes one of the parts of a request.
func (e *quantile) observe(x float64, parts int) {
	weight := min(1, gatherWeight/float64(max(parts, 1)))
	e.seen += weight
	if e.value <= 0 {
		e.value = max(x, 1e-4)
		return
	}
	step := quantileGain * weight * e.value
	if e.seen < settleRequests {
		step *= settleGain
	}
	if x > e.value {
		e.value += step * e.q
	} else {
		e.value -= step * (1 - e.q)
	}
	e.value = max(e.value, 1e-4)
}

// Timing follows how long the attempts of one route take.
type Timing struct {
	median quantile
	early  quantile
	high   quantile
}

// Quantile and factor of the wait before a second searcher is asked.
const (
	highQuantile = 0.9
	hedgeFactor  = 1.3
	// earlyQuantile is the wait while the budget has room for a hedge of every
	// fifth attempt and more. Where hosts gather for others, few of them share
	// the fixed part of the budget.
	earlyQuantile = 0.8
	earlySpare    = 0.4 // further attempts for each request
)

// NewTiming returns the timing of a route of which nothing is known.
func NewTiming() *Timing {
	return &Timing{median: quantile{q: 0.5}, early: quantile{q: earlyQuantile}, high: quantile{q: highQuantile}}
}

// Observe takes the time of a successful attempt of a request with a number of
// parts.
func (t *Timing) Observe(took time.Duration, parts int) {
	t.median.observe(took.Seconds(), parts)
	t.early.observe(took.Seconds(), parts)
	t.high.observe(took.Seconds(), parts)
}

// Usual returns the usual time of an attempt, or 0 if nothing is known.
func (t *Timing) Usual() time.Duration {
	return time.Duration(t.median.value * float64(time.Second))
}

// Bounds of the wait before a second searcher is asked, as shares of the
// route's objective. An attempt that has not answered after maxHedgeShare
// leaves too little time for another one.
const (
	minHedgeShare     = 0.04
	maxHedgeShare     = 0.4
	unknownHedgeShare = 0.3
	knownRequests     = 10 // after which the times of a route count as known
)

// HedgeAfter returns how long an attempt may take before a second searcher is
// asked. It answers searchers that pause for longer than the objective allows:
// with 20 shards more than half of the queries meet a pause. Spare is the number
// of further attempts that the budget has left for each request.
func (t *Timing) HedgeAfter(objective time.Duration, spare float64) time.Duration {
	share := func(s float64) time.Duration { return time.Duration(s * float64(objective)) }
	if t.high.seen < knownRequests {
		return share(unknownHedgeShare)
	}
	wait := time.Duration(t.high.value * hedgeFactor * float64(time.Second))
	if spare >= earlySpare {
		wait = time.Duration(t.early.value * float64(time.Second))
	}
	return min(max(wait, share(minHedgeShare)), share(maxHedgeShare))
}
