package entryrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

func testGroup() *group {
	return NewGroups(query.DefaultBudgetLimits(), 1, eventlog.Nop()).get(routing.Group{Name: "g"})
}

func inFlight(g *group) int {
	stats, _ := g.balancer.Snapshot()
	n := 0
	for _, s := range stats {
		n += s.InFlight
	}
	return n
}

// Guards against picks of one query that do not count each other and
// concentrate on the same searchers while others are idle.
func TestPicksOfOneQueryCountEachOther(t *testing.T) {
	var candidates []query.Replica
	for i := range 8 {
		candidates = append(candidates, query.Replica{Target: fmt.Sprint(i), Searcher: "s", Slots: 2, FailureDomain: "fd"})
	}
	c := &chooser{group: testGroup()}
	picks := map[int]int{}
	for range 16 {
		i, ok := c.Pick(time.Time{}, candidates, "")
		require.True(t, ok)
		picks[i]++
	}
	for i, n := range picks {
		require.LessOrEqual(t, n, 3, "searcher %d of 8 got %d of 16 sub-requests", i, n)
	}
}

// Guards against a hedge or retry of a query that goes to a target whose failure domain
// was withdrawn after the query had begun.
func TestNoPickInAWithdrawnDomain(t *testing.T) {
	withdrawn := ""
	groups := NewGroups(query.DefaultBudgetLimits(), 1, eventlog.Nop())
	groups.SetWithdrawn(func(domain string) bool { return domain == withdrawn })
	c := &chooser{group: groups.get(routing.Group{Name: "g"})}
	candidates := []query.Replica{{Target: "a", Searcher: "s", Slots: 2, FailureDomain: "fd1"}, {Target: "b", Searcher: "s", Slots: 2, FailureDomain: "fd2"}}
	withdrawn = "fd1"
	for range 4 {
		i, ok := c.Pick(time.Time{}, candidates, "")
		require.True(t, ok)
		require.Equal(t, "b", candidates[i].Target)
	}
	_, ok := c.Pick(time.Time{}, candidates[:1], "")
	require.False(t, ok, "no other replica holds the shard")
}

// Guards against slots that stay reserved after a query that never sent the
// sub-requests it had picked replicas for.
func TestUnusedReservationsAreReleased(t *testing.T) {
	g := testGroup()
	c := &chooser{group: g}
	replica := query.Replica{Target: "a", Searcher: "s", Slots: 4, FailureDomain: "fd"}
	for range 3 {
		_, ok := c.Pick(time.Time{}, []query.Replica{replica}, "")
		require.True(t, ok)
	}
	require.Equal(t, 3, inFlight(g))
	used, err := c.acquire(t.Context(), balanceReplica(replica))
	require.NoError(t, err)
	require.Equal(t, 3, inFlight(g), "acquire uses the reserved slot and takes no other")
	c.releaseUnused()
	require.Equal(t, 1, inFlight(g))
	g.balancer.Release(used, balance.Outcome{Kind: balance.OK, Latency: time.Millisecond})
	require.Zero(t, inFlight(g))
}
