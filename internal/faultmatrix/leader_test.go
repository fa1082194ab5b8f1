package faultmatrix

import (
	"testing"
	"time"
)

// Guards against a new leader that confirms its configuration before it has
// committed an entry of its own term. Until then it may lack changes that an
// earlier leader accepted.
func TestNewLeaderConfirmsOnlyWhatIsCommitted(t *testing.T) {
	w := startedWorld(t, "new leader", 5)
	w.run(20 * time.Second)
	old := w.leader()
	var voters []*host
	for _, v := range w.voters() {
		if v != old {
			voters = append(voters, v)
		}
	}
	a, b := voters[0], voters[1]
	b.crash()
	length := len(a.disk.durable.Entries)
	p := w.push(old, group("accepted", "an", old.snapshot.Revision))
	for len(a.disk.durable.Entries) == length {
		w.run(time.Millisecond)
	}
	a.crash()
	w.until(3*time.Second, "the change is accepted", p.accepted)
	old.crash()
	a.start()
	b.start()
	for !a.leads() && !b.leads() {
		w.run(100 * time.Microsecond)
	}
	a.disk.full, b.disk.full = true, true
	w.run(10 * time.Second)
	a.disk.full, b.disk.full = false, false
	w.settle()
}
