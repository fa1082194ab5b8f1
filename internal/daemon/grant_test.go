package daemon_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/settings"
)

// Guards against a gatherer that repeats the request of another host out of nobody's
// budget, or not at all although that host has attempts left.
func TestGathererRepeatsAtTheExpenseOfTheHostThatAsks(t *testing.T) {
	for name, c := range map[string]struct {
		extra       int    // of the asking host
		gathererHas uint64 // version of its route plan
		arrivals    int64
	}{
		"granted":      {extra: 100, gathererHas: 7, arrivals: 2},
		"nothing left": {extra: 0, gathererHas: 7, arrivals: 1},
		"granted for the services of an older plan": {extra: 100, gathererHas: 8, arrivals: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newPlanHost(t, "g", func(s *settings.Settings) { s.RetryPermille, s.RetryExtra = 0, 0 })
			start(t, g)
			submitRoute(t, g, int(c.gathererHas), `"service":"s1"`)
			var arrivals atomic.Int64
			startSearcherWith(t, g, "s1", func(w http.ResponseWriter) {
				arrivals.Add(1)
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			require.Eventually(t, func() bool {
				ask(t, g)
				return g.Gathers() && arrivals.Load() > 0
			}, waitTimeout, 10*time.Millisecond)

			h := newPlanHost(t, "h", func(s *settings.Settings) { s.RetryPermille, s.RetryExtra = 0, c.extra })
			t.Cleanup(h.RunHandingOver("g", g.Address("peer"), "s1"))
			submitRoute(t, h, 7, `"service":"s1"`)
			require.Eventually(t, h.Ready, waitTimeout, 10*time.Millisecond)
			h.UseWholeBudget()
			before := arrivals.Load()
			resp, _ := ask(t, h)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, c.arrivals, arrivals.Load()-before)
		})
	}
}
