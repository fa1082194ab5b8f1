package bootclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// setBootTime replaces the reading of the system for one test.
func setBootTime(t *testing.T, since time.Duration, ok bool) {
	before := sinceBoot
	sinceBoot = func() (time.Duration, bool) { return since, ok }
	t.Cleanup(func() { sinceBoot = before })
}

// Guards against a clock that stands still while the machine is suspended.
func TestSuspensionIsCounted(t *testing.T) {
	setBootTime(t, origin+time.Hour, true)
	require.Equal(t, time.Hour, Now().Sub(startedAt))
	require.Positive(t, Suspended())
	require.LessOrEqual(t, Suspended(), time.Hour)
}

// Guards against a deadline that moves when it passes between the clocks after a suspension.
func TestConversionKeepsTheDistance(t *testing.T) {
	setBootTime(t, origin+time.Hour, true)
	deadline := time.Now().Add(time.Minute)
	before := time.Until(deadline)
	left := FromRuntime(deadline).Sub(Now())
	after := time.Until(deadline)
	require.LessOrEqual(t, left, before)
	require.GreaterOrEqual(t, left, after)

	earliest := time.Now().Add(time.Minute)
	converted := ToRuntime(Now().Add(time.Minute))
	require.False(t, converted.Before(earliest))
	require.False(t, converted.After(time.Now().Add(time.Minute)))
}

// Guards against a system without such a clock, on which time would stand still.
func TestFallsBackToTheMonotonicClock(t *testing.T) {
	setBootTime(t, 0, false)
	require.False(t, CountsSuspension())
	require.Zero(t, Suspended())
	earliest := startedAt.Add(time.Since(startedAt))
	now := Now()
	require.False(t, now.Before(earliest))
	require.False(t, now.After(startedAt.Add(time.Since(startedAt))))
}

// Guards against a clock that goes back.
func TestClockNeverGoesBack(t *testing.T) {
	last := Now()
	for range 1000 {
		now := Now()
		require.False(t, now.Before(last))
		last = now
	}
}
