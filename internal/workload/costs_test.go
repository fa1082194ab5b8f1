package workload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// feed observes attempts of a kind whose work varies by a fifth, one in a hundred of
// which takes five times as long.
func feed(c *Costs, now time.Time, f Features, work time.Duration, n int, rng *rand.Rand) {
	kind := c.Estimate(now, f).Kind
	for range n {
		took := time.Duration((0.8 + 0.4*rng.Float64()) * float64(work))
		if rng.IntN(100) == 0 {
			took *= 5
		}
		kind.Observe(now, took, 1)
	}
}

// Guards against an estimate that follows the few requests that take five times as long,
// and against one that stays wrong after the cost of a kind has changed.
func TestCostFollowsTheKindAndNotItsTail(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := NewCosts()
	gather, urgent := Features{Route: "gather"}, Features{Route: "urgent"}
	feed(c, start, gather, 28*ms, 600, rng)
	feed(c, start, urgent, 9*ms, 600, rng)
	require.InEpsilon(t, 0.028, c.Estimate(start, gather).Work.Seconds(), 0.1)
	require.InEpsilon(t, 0.009, c.Estimate(start, urgent).Work.Seconds(), 0.1)
	feed(c, start, gather, 60*ms, 100, rng)
	require.InEpsilon(t, 0.060, c.Estimate(start, gather).Work.Seconds(), 0.15)
}

// Guards against a route that is treated as free or as very expensive until it has been
// observed, and against requests of one route with large bodies, or of one account, that
// are taken for the usual ones.
func TestANewKindStartsFromItsNeighbours(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	c := NewCosts()
	require.Zero(t, c.Estimate(start, Features{Route: "a"}).Work, "nothing is known yet")
	feed(c, start, Features{Route: "a", Body: 100}, 10*ms, 300, rng)
	require.InEpsilon(t, 0.010, c.Estimate(start, Features{Route: "b"}).Work.Seconds(), 0.15, "as the other route")
	large := Features{Route: "a", Body: 50_000}
	require.InEpsilon(t, 0.010, c.Estimate(start, large).Work.Seconds(), 0.15, "as the usual requests of the route")
	for range 200 {
		feed(c, start, Features{Route: "a", Body: 100}, 10*ms, 4, rng)
		feed(c, start, large, 40*ms, 1, rng)
	}
	got := c.Estimate(start, large)
	require.Greater(t, got.Work, 28*ms)
	require.Greater(t, got.Relation, 1.5)
	heavy := Features{Route: "a", Body: 100, Account: "x"}
	for range 200 {
		feed(c, start, Features{Route: "a", Body: 100, Account: "y"}, 10*ms, 4, rng)
		feed(c, start, heavy, 30*ms, 1, rng)
	}
	require.Greater(t, c.Estimate(start, heavy).Work, 20*ms)
	require.Less(t, c.Estimate(start, Features{Route: "a", Body: 100, Account: "y"}).Work, 15*ms)
}

// Guards against an estimate of a rare kind that is kept for ever: after a long time it
// must be close to the requests that are seen now.
func TestOldObservationsOfAKindDecay(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	c := NewCosts()
	rare := Features{Route: "a", Body: 50_000}
	feed(c, start, rare, 80*ms, 100, rng)
	feed(c, start, Features{Route: "a"}, 10*ms, 1000, rng)
	before := c.Estimate(start, rare).Work
	after := c.Estimate(start.Add(20*kindHalfLife), rare).Work
	require.Greater(t, before, 4*after)
	require.InEpsilon(t, 0.010, after.Seconds(), 0.2)
}

// Guards against memory that grows with the number of routes and accounts.
func TestKindsAreBounded(t *testing.T) {
	c := NewCosts()
	for i := range 3 * maxKinds {
		c.Estimate(start, Features{Route: "a", Account: fmt.Sprint(i)}).Kind.Observe(start, 10*ms, 1)
		require.LessOrEqual(t, c.Len(), maxKinds)
	}
}

// Guards against estimates outside of what was observed, for any sequence of requests.
func TestCostStaysWithinTheObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCosts()
		now := start
		least, most := time.Hour, time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * ms)
			f := Features{Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), Account: rapid.SampledFrom([]string{"", "x"}).Draw(t, "account"), Body: rapid.IntRange(0, 1<<18).Draw(t, "body")}
			cost := c.Estimate(now, f)
			if most > 0 {
				// A step of a median may pass an observation by a tenth.
				require.GreaterOrEqual(t, cost.Work.Seconds(), 0.9*least.Seconds())
				require.LessOrEqual(t, cost.Work.Seconds(), 1.1*most.Seconds())
			}
			took := time.Duration(rapid.IntRange(1, 2000).Draw(t, "took")) * ms
			least, most = min(least, took), max(most, took)
			cost.Kind.Observe(now, took, rapid.IntRange(1, 480).Draw(t, "sub-requests"))
		}
	})
}

// Guards against a lookup for operators that differs from the estimate of requests, or that
// adds kinds.
func TestLookupIsTheEstimateAndChangesNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	c := NewCosts()
	for _, f := range []Features{{Route: "a"}, {Route: "a", Body: 5000}, {Route: "a", Account: "x"}, {Route: "b", Body: 20, Account: "y"}} {
		feed(c, start, f, time.Duration(5+rng.IntN(50))*ms, 50, rng)
	}
	for _, route := range []string{"a", "b", "c"} {
		for _, body := range []int{0, 20, 5000, 100_000} {
			for _, account := range []string{"", "x", "y"} {
				f := Features{Route: route, Body: body, Account: account}
				before := c.Len()
				got, seen := c.Lookup(start.Add(time.Second), f)
				require.Equal(t, before, c.Len())
				require.False(t, seen.IsZero())
				want := c.Estimate(start.Add(time.Second), f)
				require.Equal(t, want.Work, got.Work, "%+v", f)
				require.InDelta(t, want.Relation, got.Relation, 1e-9, "%+v", f)
			}
		}
	}
}
