package faultmatrix

import (
	"testing"
	"time"
)

// Guards against a new leader that confirms its configuration before it has
// committed an entry of its own term. Until then it may not have applied
// changes that an earlier leader accepted.
func TestNewLeaderConfirmsOnlyWhatIsCommitted(t *testing.T) {
	sim := startSimulation(t, "new leader", 5)
	sim.run(20 * time.Second)
	old := sim.leader()
	var voters []*host
	for _, v := range sim.voters() {
		if v != old {
			voters = append(voters, v)
		}
	}
	a, b := voters[0], voters[1]
	b.crash()
	length := len(a.disk.durable.Entries)
	p := sim.push(old, group("accepted", "an", old.snapshot.Revision))
	for len(a.disk.durable.Entries) == length {
		sim.run(time.Millisecond)
	}
	a.crash()
	sim.await(3*time.Second, "the change is accepted", p.accepted)
	old.crash()
	a.start()
	b.start()
	for !a.isLeader() && !b.isLeader() {
		sim.run(100 * time.Microsecond)
	}
	a.disk.full, b.disk.full = true, true
	sim.run(10 * time.Second)
	a.disk.full, b.disk.full = false, false
	sim.settle()
}
