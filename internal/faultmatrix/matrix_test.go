package faultmatrix

import (
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
)

// faultDuration is how long a fault lasts after the step's during function.
const faultDuration = 3 * time.Second

// settleTimeout is the time within which all hosts must serve again after a
// fault, including the expiry of the fences and leases that it caused.
const settleTimeout = 60 * time.Second

// Guards against violated invariants under every fault at every step that
// involves the control cores. The victim is first the leader of the log, then
// another voter.
func TestMatrix(t *testing.T) {
	for _, f := range faults {
		for _, s := range steps {
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				runCell(t, f, s, "leader")
				runCell(t, f, s, "other voter")
			})
		}
	}
}

func runCell(t *testing.T, f fault, s step, victim string) {
	sim := startSimulation(t, f.name+"/"+s.name+"/"+victim, 5)
	h := sim.leader()
	if victim != "leader" {
		h = sim.other(h)
	}
	sim.logf("victim %s", h.name)
	s.before(sim, h)
	sim.logf("fault %s begins", f.name)
	f.begin(sim, h)
	s.during(sim, h)
	sim.run(faultDuration)
	sim.logf("fault %s ends", f.name)
	f.end(sim, h)
	sim.settle()
	s.after(sim, h)
}

// settle restarts the hosts that stopped, and waits until all hosts are members
// again, serve the same configuration and apply a new change.
func (sim *simulation) settle() {
	sim.run(2 * time.Second)
	for _, h := range sim.hosts {
		if h.up && h.snapshot.Phase >= lifecycle.LameDuck {
			sim.await(20*time.Second, "the host stops", func() bool { return !h.up })
		}
		restart(sim, h)
	}
	sim.await(settleTimeout, "all hosts serve again", func() bool {
		for _, h := range sim.hosts {
			if !h.serving() || h.snapshot.Revision != sim.hosts[0].snapshot.Revision || len(h.snapshot.AgreedMembers.Hosts) != len(sim.hosts) {
				return false
			}
		}
		return true
	})
	p := sim.push(sim.hosts[0], group("settled", "an", sim.hosts[0].snapshot.Revision))
	sim.await(settleTimeout, "a change is accepted again", p.accepted)
	sim.await(inForceWithin, "the change is in force", func() bool {
		for _, h := range sim.hosts {
			if h.snapshot.Revision < p.revision {
				return false
			}
		}
		return true
	})
	sim.await(settleTimeout, "all operators have a result", func() bool {
		for _, p := range sim.pushes {
			if p.result == nil && p.sent < maxResends {
				return false
			}
		}
		return true
	})
	sim.checkAccepted()
}

// checkAccepted guards against an accepted change that a host lacks, and against
// a change that was accepted twice, as two revisions.
func (sim *simulation) checkAccepted() {
	for _, h := range sim.hosts {
		for _, p := range sim.pushes {
			if _, found := h.snapshot.Table.Group(p.change.ID); p.accepted() && !found {
				sim.failf("%s lost change %s", h.name, p.change.ID)
			}
		}
	}
	byID := map[string]config.Result{}
	for _, p := range sim.pushes {
		if !p.accepted() {
			continue
		}
		if old, ok := byID[p.change.ID]; ok && old.Revision != p.revision {
			sim.failf("change %s was accepted as revisions %d and %d", p.change.ID, old.Revision, p.revision)
		}
		byID[p.change.ID] = *p.result
	}
}
