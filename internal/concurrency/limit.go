// Package concurrency implements a limit on the requests in flight that adapts to
// the capacity of their receiver. It uses the latency gradient: a latency above
// the no-load latency means that requests queue at the receiver.
package concurrency

import (
	"math"
	"time"
)

const (
	windowSamples    = 8                     // replies between two adjustments
	latencyTolerance = 1.5                   // multiple of the no-load latency that does not count as queueing
	minGradient      = 0.5                   // lower bound of the gradient
	smoothing        = 0.2                   // weight of the gradient in one adjustment
	growth           = 0.25                  // increase per window, as a multiple of the square root of the limit
	noLoadDrift      = 0.02                  // weight by which the no-load latency follows a higher latency
	shedFactor       = 0.7                   // multiplicative decrease on overload
	minShedInterval  = 10 * time.Millisecond // overloads of one burst count once
	usedFraction     = 0.9                   // the limit grows only if this fraction of it was in use
)

// Limit is an adaptive concurrency limit. It is not safe for concurrent use.
type Limit struct {
	lowest, highest float64
	value           float64
	noLoad          float64 // no-load latency, seconds; 0 if unknown

	samples      int
	latencySum   float64 // seconds
	peak         int     // maximum in flight in this window
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

// Value returns the current limit.
func (l *Limit) Value() int { return int(l.value) }

// Succeeded records the latency of a reply and the number of requests that were
// in flight when it arrived, including the one that it answers.
func (l *Limit) Succeeded(latency time.Duration, inFlight int) {
	l.samples++
	l.latencySum += latency.Seconds()
	l.peak = max(l.peak, inFlight)
	if l.samples < windowSamples {
		return
	}
	l.adjust(l.latencySum / float64(l.samples))
	l.samples = 0
	l.latencySum = 0
	l.peak = 0
}

func (l *Limit) adjust(latency float64) {
	if l.noLoad == 0 || latency < l.noLoad {
		l.noLoad = latency
	}
	gradient := 1.0
	if latency > 0 {
		gradient = min(1, max(minGradient, latencyTolerance*l.noLoad/latency))
	}
	// A lasting rise in latency without queueing must not keep the limit low
	// forever.
	l.noLoad += (latency - l.noLoad) * noLoadDrift
	switch {
	case gradient < 1:
		l.value *= 1 - smoothing + smoothing*gradient
	case float64(l.peak) >= usedFraction*math.Floor(l.value):
		l.value += growth * math.Sqrt(l.value)
	}
	l.clamp()
}

// Overloaded records that the receiver shed a request or did not answer in time.
// Calls within one no-load latency of a decrease, or within minShedInterval if
// that is longer, are ignored.
func (l *Limit) Overloaded(now time.Time) {
	interval := max(minShedInterval, time.Duration(l.noLoad*float64(time.Second)))
	if now.Sub(l.lastDecrease) < interval {
		return
	}
	l.lastDecrease = now
	l.value *= shedFactor
	l.clamp()
}

func (l *Limit) clamp() { l.value = min(l.highest, max(l.lowest, l.value)) }
