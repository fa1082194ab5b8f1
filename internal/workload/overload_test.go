package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an estimate that grows by itself while a host has more requests in
// flight at a searcher than it has slots: every request would be refused as too late.
func TestEstimateStaysWithinTheResponseTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		inFlight := rapid.IntRange(1, 8).Draw(t, "in flight")
		const work = 10 * time.Millisecond
		queued := time.Duration((inFlight + slots - 1) / slots)
		costs, tracker := NewCosts(), &Tracker{}
		now := time.Unix(1000, 0)
		begin := func() (time.Time, Cost) {
			cost := costs.Estimate(now, Features{Route: "r"})
			tracker.Begin(now, cost.Work, slots, 1)
			return now, cost
		}
		type attempt struct {
			began time.Time
			cost  Cost
		}
		var open []attempt
		for range 400 {
			for len(open) < inFlight {
				now = now.Add(time.Microsecond)
				began, cost := begin()
				open = append(open, attempt{began, cost})
			}
			first := open[0]
			open = open[1:]
			if end := first.began.Add(queued * work); end.After(now) {
				now = end
			}
			o := tracker.Observe(now, first.began, first.cost.Work, 1)
			first.cost.Kind.Observe(now, o.Net, 1)
		}
		require.LessOrEqual(t, costs.Estimate(now, Features{Route: "r"}).Work, 2*queued*work)
	})
}
