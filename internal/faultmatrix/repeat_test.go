package faultmatrix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against runs of one seed that differ, so that a failure could not be
// reproduced.
func TestRunsAreReproducible(t *testing.T) {
	history := func() []string {
		sim := startSimulation(t, "repeat", 5)
		h := sim.leader()
		faultNamed("loss and duplication").begin(sim, h)
		sim.push(h, group("once", "an", h.snapshot.Revision))
		submitOrders(sim, h)
		faultNamed("loss and duplication").end(sim, h)
		sim.settle()
		return sim.history
	}
	require.Equal(t, history(), history())
}
