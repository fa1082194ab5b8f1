package querybench

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var tiny = Scale{Queries: 20, Wide: 1}

// Guards against figures that depend on the order in which cases run or on
// anything but the seeds.
func TestReportIsDeterministic(t *testing.T) {
	var one, many strings.Builder
	scale := tiny
	scale.Workers = 1
	require.NoError(t, Report(&one, scale))
	scale.Workers = 8
	require.NoError(t, Report(&many, scale))
	require.Equal(t, one.String(), many.String())
}

// Guards against coverage that lists a shard that no searcher answered,
// answers past their deadline, hedges beyond the budget, and sub-requests to
// a target after its drain time.
func TestInvariantsUnderFaults(t *testing.T) {
	for fault := FaultNone; fault <= FaultCold; fault++ {
		for _, load := range []float64{0.4, 1.3} {
			c := Case{Shape: Shapes[1], Load: load, Stragglers: 0.05, Fault: fault, Policy: Ours, Queries: 1500, Seed: 3}
			r := Run(c)
			require.Zero(t, r.Overstated, "%v %v", fault, load)
			require.Zero(t, r.Late, "%v %v", fault, load)
			require.Zero(t, r.AfterDrain, "%v %v", fault, load)
			burst := float64(defaultHosts*Ours.Limits.HedgeBurst) / float64(c.Queries*c.Shape.Shards())
			require.LessOrEqual(t, r.HedgeLoad*(1-r.Refused), 0.03+burst, "%v %v", fault, load)
		}
	}
}

// Guards against a model in which a policy beats Omniscient; ratios to its
// latency would then be meaningless.
func TestOmniscientIsFastest(t *testing.T) {
	c := Case{Shape: Shapes[0], Load: 0.7, Stragglers: 0.01, Queries: 2000, Seed: 5}
	c.Policy = Omniscient
	bound := Run(c)
	for _, p := range []Policy{Random, Fixed, Ours} {
		c.Policy = p
		r := Run(c)
		require.Greater(t, r.P99, bound.P99, p.Name)
		require.GreaterOrEqual(t, r.P50, bound.P50, p.Name)
	}
}
