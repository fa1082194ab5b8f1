package faultmatrix

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a repair that leaves the log without its third vote: the
// second disk that is lost would then take the majority with it.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	w := startedWorld(t, "second disk", 5)
	for i, v := range w.voters() {
		loseDisk(w, v)
		w.run(2 * time.Second)
		v.start()
		w.settle()
		w.run(10 * time.Second)
		p := w.push(w.hosts[3], group(fmt.Sprintf("repaired-%d", i), "an", w.hosts[3].snapshot.Revision))
		w.until(10*time.Second, "a change is accepted", p.accepted)
	}
}

// Guards against a host without a disk that stays empty because the first
// message of the leader to it was lost.
func TestLearnerOutlivesALostFirstMessage(t *testing.T) {
	w := startedWorld(t, "first message", 5)
	leader := w.leader()
	h := w.other(leader)
	loseDisk(w, h)
	w.net.cut[[2]string{leader.name, h.name}] = true
	h.start()
	w.until(10*time.Second, "the host is a learner", func() bool { return len(leader.node.Status().Learners) == 1 })
	w.run(200 * time.Millisecond)
	heal(w, nil)
	w.settle()
}
