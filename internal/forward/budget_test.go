package forward

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// stepTimeOfDay returns the reading of a clock whose time of day has jumped since, while
// its monotonic part goes on. The layout is that of time.Time: in a time with a monotonic
// reading, the seconds stand above 30 bits of nanoseconds.
func stepTimeOfDay(t *testing.T, now time.Time, seconds int64) time.Time {
	t.Helper()
	stepped := now
	wall := (*uint64)(unsafe.Pointer(&stepped))
	*wall = uint64(int64(*wall) + seconds<<30)
	require.Equal(t, now.Add(time.Duration(seconds)*time.Second).UnixNano(), stepped.UnixNano())
	require.Zero(t, stepped.Sub(now), "the monotonic clock did not jump")
	return stepped
}

// Guards against a budget that is spent twice in one window because the time of day jumps.
func TestBudgetHoldsWhenTheTimeOfDayJumps(t *testing.T) {
	for _, seconds := range []int64{20, 2, -20} {
		b := NewBudget(BudgetLimits{Ratio: 0.2, Extra: 62, Window: 10 * time.Second})
		now := time.Now()
		spent := 0
		for b.Spend(now) {
			spent++
		}
		require.Positive(t, spent)
		now = now.Add(8500 * time.Millisecond)
		require.False(t, b.Spend(stepTimeOfDay(t, now, seconds)), "after a jump of %d s", seconds)
		require.False(t, b.Spend(now), "after the jump back")
		require.True(t, b.Spend(stepTimeOfDay(t, now.Add(3*time.Second), seconds)), "in the next window")
	}
}
