package faultmatrix

import (
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
)

// faultTime is how long a fault lasts after the step's own events.
const faultTime = 3 * time.Second

// settleTime is the time within which all hosts serve again after the end of
// a fault, and of the fences and leases that it caused.
const settleTime = 60 * time.Second

// Guards against every fault at every step that the control cores take part
// in: once with the leader of the log as its victim, once with another host.
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
	w := startedWorld(t, f.name+"/"+s.name+"/"+victim, 5)
	h := w.leader()
	if victim != "leader" {
		h = w.other(h)
	}
	w.note("victim %s", h.name)
	s.before(w, h)
	w.note("fault %s begins", f.name)
	f.begin(w, h)
	s.during(w, h)
	w.run(faultTime)
	w.note("fault %s ends", f.name)
	f.end(w, h)
	w.settle()
	s.after(w, h)
}

// settle starts the hosts that ended, gives every disk that was lost its place
// back, and waits until all hosts serve the same configuration and accept a
// change.
func (w *world) settle() {
	w.run(2 * time.Second)
	for _, h := range w.hosts {
		if h.up && h.snapshot.Phase >= lifecycle.LameDuck {
			w.until(20*time.Second, "the host stops", func() bool { return !h.up })
		}
		restart(w, h)
	}
	w.until(settleTime, "all hosts serve again", func() bool {
		for _, h := range w.hosts {
			if !h.serving() || h.snapshot.Revision != w.hosts[0].snapshot.Revision || len(h.snapshot.AgreedMembers.Hosts) != len(w.hosts) {
				return false
			}
		}
		return true
	})
	p := w.push(w.hosts[0], group("settled", "an", w.hosts[0].snapshot.Revision))
	w.until(settleTime, "a change is accepted again", p.accepted)
	w.until(inForceWithin, "the change is in force", func() bool {
		for _, h := range w.hosts {
			if h.snapshot.Revision < p.revision {
				return false
			}
		}
		return true
	})
	w.until(settleTime, "all operators have an answer", func() bool {
		for _, p := range w.pushes {
			if p.result == nil && p.sent < maxResends {
				return false
			}
		}
		return true
	})
	w.checkHistory()
}

// checkHistory guards against an accepted change that is missing at any host
// that holds the log, or is there twice.
func (w *world) checkHistory() {
	for _, h := range w.hosts {
		for _, p := range w.pushes {
			if _, found := h.snapshot.Table.Group(p.change.ID); p.accepted() && !found {
				w.fail("%s lost change %s", h.name, p.change.ID)
			}
		}
	}
	byID := map[string]config.Result{}
	for _, p := range w.pushes {
		if !p.accepted() {
			continue
		}
		if old, ok := byID[p.change.ID]; ok && old.Revision != p.revision {
			w.fail("change %s was accepted as revisions %d and %d", p.change.ID, old.Revision, p.revision)
		}
		byID[p.change.ID] = *p.result
	}
}
