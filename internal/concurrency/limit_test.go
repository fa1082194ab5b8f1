package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// run records replies while the given fraction of the limit is in use.
func run(l *Limit, samples int, latency time.Duration, used float64) {
	for range samples {
		l.Succeeded(latency, int(used*float64(l.Value())))
	}
}

// Guards against a limit that ignores queueing at the receiver, that grows while
// unused, or that stays low forever after a lasting rise in latency.
func TestLimitFollowsLatency(t *testing.T) {
	l := NewLimit(10, 1, 100)
	run(&l, 400, 10*time.Millisecond, 0.5)
	require.Equal(t, 10, l.Value(), "unused")
	run(&l, 400, 10*time.Millisecond, 1)
	grown := l.Value()
	require.Greater(t, grown, 30)
	run(&l, 80, 40*time.Millisecond, 1)
	low := l.Value()
	require.Less(t, low, grown/2, "four times the no-load latency counts as queueing")
	run(&l, 2000, 40*time.Millisecond, 1)
	require.Greater(t, l.Value(), 2*low, "the new latency became the no-load latency")
}

// Guards against a burst of shed requests that decreases the limit more than
// once, and against a limit below its lower bound.
func TestOverloadDecreasesOncePerBurst(t *testing.T) {
	l := NewLimit(100, 2, 100)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 20 {
		l.Overloaded(now)
	}
	require.Equal(t, 70, l.Value())
	for range 50 {
		now = now.Add(time.Second)
		l.Overloaded(now)
	}
	require.Equal(t, 2, l.Value())
}
