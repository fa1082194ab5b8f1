package entryrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against hedges to targets that shed load, and against hedging that
// stays disabled after the shedding has stopped.
func TestGroupIsSaturatedWhileTargetsShed(t *testing.T) {
	var m shedMeter
	now := time.Unix(1000, 0)
	m.observe(now, false)
	// window observes the given sub-requests; the last one ends the window.
	window := func(sent, shed int) bool {
		for i := range sent - 1 {
			m.observe(now, i < shed)
		}
		now = now.Add(saturationWindow)
		return m.observe(now, false)
	}
	require.False(t, window(100, 4))
	require.True(t, window(100, 10))
	require.False(t, window(100, 0))
	require.False(t, window(10, 9), "too few sub-requests to judge")
}
