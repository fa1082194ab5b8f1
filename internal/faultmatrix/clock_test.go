package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Guards against a leader that answers a read with an older plan after a suspension that its clock did not count.
func TestSuspendedLeaderReadsNoOlderPlan(t *testing.T) {
	for _, suspension := range []time.Duration{100 * time.Millisecond, time.Second, 8 * time.Second, 60 * time.Second} {
		t.Run(suspension.String(), func(t *testing.T) {
			sim := startWithoutVoters(t, "suspended leader")
			sim.run(5 * time.Second)
			sim.submitPlan(3)
			sim.awaitPlan(3, 3*time.Second)
			old := sim.leader()
			old.suspend()
			end := sim.now.Add(suspension)
			acknowledged := uint64(3)
			if suspension > 5*time.Second {
				sim.submitPlan(4)
				acknowledged = 4
			}
			sim.run(end.Sub(sim.now))
			var read uint64
			old.wake(func() {
				old.call(func(token uint64) control.Event { return control.Read{Token: token, Query: control.PlanQuery{}} },
					func(result any, err error) {
						if err == nil {
							read = result.(*routeplan.Document).Version
						}
					})
			})
			sim.run(2 * time.Second)
			if read != 0 {
				require.Equal(t, acknowledged, read)
			}
			sim.awaitPlan(acknowledged, 4*time.Second)
		})
	}
}
