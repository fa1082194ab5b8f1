package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket.
type Bucket struct {
	limit Limit
	level float64 // tokens at the time at; negative while it is in debt
	at    time.Time
}

// NewBucket returns a bucket that held a level of tokens at a time.
func NewBucket(l Limit, at time.Time, level float64) Bucket {
	return Bucket{limit: l, level: level, at: at}
}

// SetLimit changes the limit. Tokens beyond the new burst are lost at once.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	b.refill(now)
	b.limit = l
	b.level = min(b.level, l.capacity())
}

func (b *Bucket) refill(now time.Time) {
	if now.After(b.at) {
		b.level = min(b.level+b.limit.Rate*now.Sub(b.at).Seconds(), b.limit.capacity())
		b.at = now
	}
}

// rounding is the part of a token below which a level counts as a whole number. Without
// it, a token that is due exactly now may be missing after many additions.
const rounding = 1e-6

// Take takes up to n tokens and returns how many it took. The level may fall to -debt.
func (b *Bucket) Take(now time.Time, n int, debt float64) int {
	b.refill(now)
	taken := int(math.Floor(max(min(b.level+debt+rounding, float64(n)), 0)))
	b.level -= float64(taken)
	return taken
}

// Return gives back tokens that were never spent and never will be.
func (b *Bucket) Return(now time.Time, n int) {
	b.refill(now)
	b.level = min(b.level+float64(n), b.limit.capacity())
}

// Wait returns the time until the next token.
func (b *Bucket) Wait(now time.Time, debt float64) time.Duration {
	b.refill(now)
	return seconds(max(1-b.level-debt, 0) / b.limit.Rate)
}

// Full reports whether the bucket holds all tokens that it can.
func (b *Bucket) Full(now time.Time) bool {
	b.refill(now)
	return b.level >= b.limit.capacity()-rounding
}

// windowSlots divides a window for counting. The count covers up to one slot more than
// the window.
const windowSlots = 10

// window counts grants in a sliding window, never too few.
type window struct {
	span   time.Duration
	start  time.Time
	latest int64 // number of the newest slot
	counts [windowSlots + 1]float64
}

func (w *window) advance(now time.Time) {
	slot := int64(now.Sub(w.start) / (w.span / windowSlots))
	for range min(slot-w.latest, int64(len(w.counts))) {
		w.latest++
		w.counts[w.latest%int64(len(w.counts))] = 0
	}
	w.latest = max(w.latest, slot)
}

// take counts up to n grants within a limit and returns how many.
func (w *window) take(now time.Time, n int, limit float64) int {
	w.advance(now)
	used := 0.0
	for _, c := range w.counts {
		used += c
	}
	taken := max(int(min(limit-used, float64(n))), 0)
	w.counts[w.latest%int64(len(w.counts))] += float64(taken)
	return taken
}
