package faultmatrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

// learner returns the host with a disk that holds no vote.
func (sim *simulation) learner() *host {
	names := voterNames(sim.leader())
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool { return h.voter && !slices.Contains(names, h.name) })]
}

// Guards against a vote that passes from a frozen host to a learner that is frozen too, after which one lost disk ends the log.
func TestSilentVoterIsNotReplacedByASilentLearner(t *testing.T) {
	sim := startWithoutVoters(t, "silent learner")
	sim.run(5 * time.Second)
	sim.submitPlan(3)
	sim.run(time.Second)
	leader, learner := sim.leader(), sim.learner()
	frozen := sim.other(leader)
	third := sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool { return h.voter && h != leader && h != frozen && h != learner })]
	frozen.pause()
	learner.pause()
	sim.run(4500 * time.Millisecond)
	require.Len(t, voterNames(leader), 3)
	loseDisk(sim, third)
	sim.run(time.Second)
	third.start()
	sim.run(time.Second)
	frozen.resume()
	learner.resume()
	sim.submitPlan(4)
	sim.awaitPlan(4, 3*time.Second)
	sim.await(10*time.Second, "there are three voters again", func() bool {
		return sim.leader() != nil && len(voterNames(sim.leader())) == 3
	})
}

// Guards against a new leader that takes a voter from which it has not heard yet for one that has been silent for long.
func TestNewLeaderGivesVotersTimeToReturn(t *testing.T) {
	sim := startWithoutVoters(t, "new leader and voters")
	sim.run(5 * time.Second)
	sim.submitPlan(3)
	old := sim.leader()
	crashedAt := sim.now
	crash(sim, old)
	sim.await(3*time.Second, "another leader is elected", func() bool { return sim.leader() != nil })
	sim.run(crashedAt.Add(2500 * time.Millisecond).Sub(sim.now))
	require.Contains(t, voterNames(sim.leader()), old.name)
	sim.run(2 * time.Second)
	require.NotContains(t, voterNames(sim.leader()), old.name, "a voter that is gone is replaced, also the old leader")
	require.Len(t, voterNames(sim.leader()), 3)
}
