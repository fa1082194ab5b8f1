package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Plays a shard whose two searchers are both slower than the objective. Guards
// against hedges that double the work of an overloaded shard once its answers
// are late, and against a late answer that gets no hedge at a fast searcher.
func TestLateRequestHedgesOnlyAtFastSearchers(t *testing.T) {
	for name, c := range map[string]struct {
		slowness float64
		hedged   bool
	}{"slow": {15, false}, "fast": {1, true}} {
		t.Run(name, func(t *testing.T) {
			w, services := newWorld(1, 2)
			first, second := w.groups["a"].searchers[0], w.groups["a"].searchers[1]
			first.slowness, first.slownessT = 5, start
			second.slowness, second.slownessT = 9, start
			run := NewRun(w, gatherRoute(services, 1), services, start, start.Add(time.Second))
			require.Len(t, sends(run.Start(start)), 1)
			late := start.Add(110 * time.Millisecond)
			second.slowness, second.slownessT = c.slowness, late
			require.Equal(t, c.hedged, len(sends(run.Tick(late))) == 1)
		})
	}
}
