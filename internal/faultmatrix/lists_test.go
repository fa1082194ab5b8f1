package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
)

// Guards against two majorities that don't meet because they belong to two
// successive member lists: a change accepted under a shorter list while a
// majority of the longer one knows neither.
func TestMajoritiesOfSuccessiveListsMeet(t *testing.T) {
	w := startedWorld(t, "successive lists", 5)
	leader := w.leader()
	stays := w.other(leader)
	var leaves *host
	for _, v := range w.voters() {
		if v != leader && v != stays {
			leaves = v
		}
	}
	w.split(w.hosts[3], w.hosts[4])
	last := leader.node.Status().LastIndex
	for leader.node.Status().LastIndex == last {
		w.run(100 * time.Microsecond)
	}
	w.split(leader, stays)
	w.until(10*time.Second, "the shorter list is in force", func() bool { return len(leader.snapshot.AgreedMembers.Hosts) < 5 })
	w.push(leader, group("shorter", "an", leader.snapshot.Revision))
	w.run(20 * time.Second)
	require.Less(t, len(leader.snapshot.AgreedMembers.Hosts), 5)
	require.Len(t, leaves.snapshot.AgreedMembers.Hosts, 5)
	heal(w, nil)
	w.settle()
}

// Guards against changes that stay blocked after an operator has removed a
// lost majority of hosts.
func TestForgottenMajorityBlocksNothing(t *testing.T) {
	w := startedWorld(t, "forget", 5)
	lost := []*host{w.hosts[2], w.hosts[3], w.hosts[4]}
	for _, h := range lost {
		h.crash()
	}
	w.run(6 * time.Second)
	for _, h := range lost {
		p := w.push(w.hosts[0], config.Change{
			ID: "forget-" + h.name, Author: "an", Team: config.AdminTeam, Base: w.hosts[0].snapshot.Revision,
			Ops: []config.Op{config.ForgetHost{Host: h.name}},
		})
		p.contested = true // it makes no group to look for
		w.run(5 * time.Second)
	}
	p := w.push(w.hosts[1], group("after", "an", w.hosts[1].snapshot.Revision))
	w.until(5*time.Second, "a change is accepted again", p.accepted)
}
