package gathering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against answers of a gatherer that leave too late because the way back
// takes longer than a fixed margin, and against a way estimate that leaves the
// searchers no time.
func TestHopFollowsTheWay(t *testing.T) {
	var h Hop
	objective := 100 * time.Millisecond
	require.Zero(t, h.Time(objective))
	for range 100 {
		h.Observe(2 * time.Millisecond)
	}
	require.InDelta(t, 2*time.Millisecond, h.Time(objective), float64(100*time.Microsecond))
	for i := range 200 {
		h.Observe(time.Duration(4+4*(i%2)) * time.Millisecond)
	}
	require.Greater(t, h.Time(objective), 8*time.Millisecond, "most requests are back by then")
	require.Less(t, h.Time(objective), 12*time.Millisecond)
	for range 100 {
		h.Observe(time.Second)
	}
	require.Equal(t, 20*time.Millisecond, h.Time(objective))
	for range 100 {
		h.Observe(-time.Millisecond) // the gatherer's clock ran faster
	}
	require.Less(t, h.Time(objective), time.Millisecond)
}
