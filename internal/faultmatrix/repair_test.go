package faultmatrix

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a repair that does not restore the third voter of the log: the
// next lost disk would then cost the majority.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	sim := startSimulation(t, "second disk", 5)
	for i, v := range sim.voters() {
		loseDisk(sim, v)
		sim.run(2 * time.Second)
		v.start()
		sim.settle()
		sim.run(10 * time.Second)
		p := sim.push(sim.hosts[3], group(fmt.Sprintf("repaired-%d", i), "an", sim.hosts[3].snapshot.Revision))
		sim.await(10*time.Second, "a change is accepted", p.accepted)
	}
}

// Guards against a voter that lost its disk and stays empty because the leader's
// first message to it was lost.
func TestLearnerCatchesUpAfterALostFirstMessage(t *testing.T) {
	sim := startSimulation(t, "first message", 5)
	leader := sim.leader()
	h := sim.other(leader)
	loseDisk(sim, h)
	sim.net.cut[[2]string{leader.name, h.name}] = true
	h.start()
	sim.await(10*time.Second, "the host is a learner", func() bool { return len(leader.node.Status().Learners) == 1 })
	sim.run(200 * time.Millisecond)
	heal(sim, nil)
	sim.settle()
}
