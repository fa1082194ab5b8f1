// Package concurrency adapts how much work may be in progress at once to what
// the worker at the other end can do. It uses the gradient of latency: a
// latency above the no-load latency means that work queues at the other end.
package concurrency

import (
	"math"
	"time"
)

const (
	windowSamples   = 8                     // answers between two adjustments
	latencyTolerant = 1.5                   // latency above no-load by this factor is not a queue yet
	minGradient     = 0.5                   // lower bound of one adjustment's factor
	smoothing       = 0.2                   // part of the gradient applied at once
	growth          = 0.25                  // times the square root of the limit, added per window
	baseDrift       = 0.02                  // part by which the no-load latency follows a higher latency
	shedFactor      = 0.7                   // multiplicative decrease
	minShedInterval = 10 * time.Millisecond // several sheds of one burst count once
	usedFraction    = 0.9                   // a limit that was not used this far does not grow
)

// Limit is an adaptive bound on work in progress. It is not safe for
// concurrent use.
type Limit struct {
	lowest, highest float64
	value           float64
	base            float64 // no-load latency, seconds; 0 if unknown

	samples      int
	sum          float64 // seconds
	peak         int     // highest in flight in this window
	lastDecrease time.Time
}

// NewLimit returns a limit that starts at first and stays between lowest and
// highest.
func NewLimit(first, lowest, highest int) Limit {
	l := Limit{value: float64(first)}
	l.SetBounds(lowest, highest)
	return l
}

// SetBounds changes the bounds. Both are at least 1.
func (l *Limit) SetBounds(lowest, highest int) {
	l.lowest = float64(max(lowest, 1))
	l.highest = math.Max(float64(highest), l.lowest)
	l.clamp()
}

// Value returns the present limit.
func (l *Limit) Value() int { return int(l.value) }

// Succeeded records an answer and how much work was in progress, including
// the answered request, when it came.
func (l *Limit) Succeeded(latency time.Duration, inFlight int) {
	l.samples++
	l.sum += latency.Seconds()
	l.peak = max(l.peak, inFlight)
	if l.samples < windowSamples {
		return
	}
	l.adjust(l.sum / float64(l.samples))
	l.samples = 0
	l.sum = 0
	l.peak = 0
}

func (l *Limit) adjust(latency float64) {
	if l.base == 0 || latency < l.base {
		l.base = latency
	}
	gradient := 1.0
	if latency > 0 {
		gradient = min(1, max(minGradient, latencyTolerant*l.base/latency))
	}
	// A lasting rise in latency without a queue must not hold the limit down
	// for ever.
	l.base += (latency - l.base) * baseDrift
	switch {
	case gradient < 1:
		l.value *= 1 - smoothing + smoothing*gradient
	case float64(l.peak) >= usedFraction*math.Floor(l.value):
		l.value += growth * math.Sqrt(l.value)
	}
	l.clamp()
}

// Overloaded records that the other end refused work or didn't answer in
// time. Refusals that follow within one latency count once.
func (l *Limit) Overloaded(now time.Time) {
	interval := max(minShedInterval, time.Duration(l.base*float64(time.Second)))
	if now.Sub(l.lastDecrease) < interval {
		return
	}
	l.lastDecrease = now
	l.value *= shedFactor
	l.clamp()
}

func (l *Limit) clamp() { l.value = min(l.highest, max(l.lowest, l.value)) }
