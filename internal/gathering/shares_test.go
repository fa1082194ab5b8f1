package gathering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that one gatherer refuses after others have begun to work on
// them, against refusals that outlast the overload, and against reports that are kept
// for ever.
func TestLeastShareIsThatOfTheBusiestGatherer(t *testing.T) {
	now := time.Unix(1_000, 0)
	var s Shares
	require.Equal(t, 1.0, s.Least(now, "r"))
	s.Record(now, "r", "h1", 0.7)
	s.Record(now.Add(time.Second), "r", "h2", 0.9)
	require.Equal(t, 0.7, s.Least(now.Add(time.Second), "r"))
	require.Equal(t, 1.0, s.Least(now, "other"))
	require.Equal(t, 0.9, s.Least(now.Add(3500*time.Millisecond), "r"))
	s.Record(now.Add(3600*time.Millisecond), "r", "h2", 1)
	require.Equal(t, 1.0, s.Least(now.Add(3600*time.Millisecond), "r"))
	require.Equal(t, 1.0, s.Least(now.Add(time.Hour), "r"))
	require.Empty(t, s.routes["r"])
	for i := range 2 * maxSharedRoutes {
		s.Record(now, fmt.Sprint(i), "h1", 0.5)
		require.LessOrEqual(t, len(s.routes), maxSharedRoutes)
	}
}
