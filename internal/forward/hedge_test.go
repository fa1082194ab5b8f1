package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Simulates a late request whose other searcher is slower than the objective,
// or fast. Guards against hedges that double the work of an overloaded shard
// once its answers are late, and against a late request that is not hedged at a
// fast searcher.
func TestLateRequestHedgesOnlyAtFastSearchers(t *testing.T) {
	for name, c := range map[string]struct {
		slowness float64
		hedged   bool
	}{"slow": {15, false}, "fast": {1, true}} {
		t.Run(name, func(t *testing.T) {
			env, services := newTestEnvironment(1, 2)
			first, second := env.groups["a"].searchers[0], env.groups["a"].searchers[1]
			setPace(first, start, env.median, 5)
			setPace(second, start, env.median, 9)
			run := NewRun(env, gatherRoute(services, 1), services, start, start.Add(time.Second))
			require.Len(t, sends(run.Start(start)), 1)
			late := start.Add(110 * time.Millisecond)
			setPace(second, late, env.median, c.slowness)
			require.Equal(t, c.hedged, len(sends(run.Tick(late))) == 1)
		})
	}
}

// setPace makes attempts at a searcher that show the given pace at the given time. A pace
// above the bound of the estimate sets it to the bound.
func setPace(s *Searcher, now time.Time, median time.Duration, pace float64) {
	took := time.Duration(pace * float64(median))
	for range 60 {
		s.begin(now.Add(-took), median)
		s.observe(now, now.Add(-took), median, Good)
	}
}
