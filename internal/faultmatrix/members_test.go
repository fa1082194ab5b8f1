package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
)

// Guards against majorities of two successive member lists that don't overlap:
// a change is accepted under a shorter list while a majority of the longer list
// knows neither the shorter list nor the change.
func TestMajoritiesOfSuccessiveListsOverlap(t *testing.T) {
	sim := startSimulation(t, "successive lists", 5)
	leader := sim.leader()
	stays := sim.other(leader)
	var leaves *host
	for _, v := range sim.voters() {
		if v != leader && v != stays {
			leaves = v
		}
	}
	sim.split(sim.hosts[3], sim.hosts[4])
	last := leader.node.Status().LastIndex
	for leader.node.Status().LastIndex == last {
		sim.run(100 * time.Microsecond)
	}
	sim.split(leader, stays)
	sim.await(10*time.Second, "the shorter list is in force", func() bool { return len(leader.snapshot.AgreedMembers.Hosts) < 5 })
	sim.push(leader, group("shorter", "an", leader.snapshot.Revision))
	sim.run(20 * time.Second)
	require.Less(t, len(leader.snapshot.AgreedMembers.Hosts), 5)
	require.Len(t, leaves.snapshot.AgreedMembers.Hosts, 5)
	heal(sim, nil)
	sim.settle()
}

// Guards against changes that stay blocked after an operator has removed a lost
// majority of the hosts with forget commands.
func TestChangesAreAcceptedAfterAMajorityIsForgotten(t *testing.T) {
	sim := startSimulation(t, "forget", 5)
	lost := []*host{sim.hosts[2], sim.hosts[3], sim.hosts[4]}
	for _, h := range lost {
		h.crash()
	}
	sim.run(6 * time.Second)
	for _, h := range lost {
		p := sim.push(sim.hosts[0], config.Change{
			ID: "forget-" + h.name, Author: "an", Team: config.AdminTeam, Base: sim.hosts[0].snapshot.Revision,
			Ops: []config.Op{config.ForgetHost{Host: h.name}},
		})
		p.noGroup = true
		sim.run(5 * time.Second)
	}
	p := sim.push(sim.hosts[1], group("after", "an", sim.hosts[1].snapshot.Revision))
	sim.await(5*time.Second, "a change is accepted again", p.accepted)
}
