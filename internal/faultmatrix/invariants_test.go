package faultmatrix

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// Bounds from the design page, R6 and R8.
const (
	inForceWithin = 4 * time.Second
	drainedWithin = 2 * time.Second
)

func (h *host) leads() bool { return h.node != nil && h.node.Status().Role == consensus.Leader }

// serving reports whether the host takes new work now. It agrees with
// entry.Gate.Check, which builds an error that is not needed here.
func (h *host) serving() bool {
	g := h.snapshot.Gate
	return h.running() && g.Accepting && g.Evidence.Freshness(h.w.now) != membership.Stale
}

// check checks the invariants that must hold at any time.
func (w *world) check() {
	w.checkLeaders()
	w.checkRevisions()
	w.checkChanges()
	w.checkDrains()
	w.checkConnections()
}

func (w *world) checkLeaders() {
	for _, h := range w.voters() {
		if !h.up || !h.leads() {
			continue
		}
		term, identity := h.node.Status().Term, string(h.disk.identity)
		if old, ok := w.leaders[term]; ok && old != identity {
			w.fail("%s and %s both lead term %d", old, identity, term)
		}
		w.leaders[term] = identity
	}
}

// checkRevisions guards against a process whose revision goes back, and a host
// that serves an older revision than before, in this process or an earlier
// one.
func (w *world) checkRevisions() {
	for _, h := range w.hosts {
		if !h.running() {
			continue
		}
		r := h.snapshot.Revision
		if r < h.revision {
			w.fail("%s went back from revision %d to %d", h.name, h.revision, r)
		}
		h.revision = r
		if !h.serving() {
			continue
		}
		if r < h.served {
			w.fail("%s serves revision %d after %d", h.name, r, h.served)
		}
		h.served = r
	}
}

// checkChanges guards against an accepted change that is lost, reverted, or
// not in force where work is taken.
func (w *world) checkChanges() {
	for _, p := range w.pushes {
		for _, h := range w.hosts {
			if !h.running() || !h.serving() {
				continue
			}
			_, found := h.snapshot.Table.Group(p.change.ID)
			switch {
			case p.refused() && found:
				w.fail("%s has the refused change %s in force", h.name, p.change.ID)
			case !p.accepted() || p.contested:
			case found && h.snapshot.Revision < p.revision:
				w.fail("%s has %s of revision %d at revision %d", h.name, p.change.ID, p.revision, h.snapshot.Revision)
			case !found && w.now.Sub(p.acceptedAt) > inForceWithin:
				w.fail("%s serves revision %d without change %s, accepted %v ago as revision %d",
					h.name, h.snapshot.Revision, p.change.ID, w.now.Sub(p.acceptedAt), p.revision)
			}
		}
	}
}

// checkDrains guards against new work for a target that is leaving.
func (w *world) checkDrains() {
	for _, h := range w.hosts {
		if !w.connected(h) {
			h.connectedAt = w.now
			continue
		}
		for _, t := range w.targets {
			since := t.drainedAt
			if since.Before(h.connectedAt) {
				since = h.connectedAt
			}
			if t.drainedAt.IsZero() || w.now.Sub(since) <= drainedWithin {
				continue
			}
			if h.lists(t.name) {
				w.fail("%s lists %s %v after its drain", h.name, t.name, w.now.Sub(t.drainedAt))
			}
		}
	}
}

// lists reports whether a host may send new work to a target.
func (h *host) lists(target string) bool {
	for _, m := range h.snapshot.GroupMembers["names"] {
		if m.Target == target {
			return true
		}
	}
	c := h.snapshot.Catalogs["names"]
	if c == nil {
		return false
	}
	for _, s := range c.Snapshots {
		for _, replicas := range s.Replicas {
			for _, r := range replicas {
				if r.Target == target {
					return true
				}
			}
		}
	}
	return false
}

// checkConnections guards against hosts that together hold more connections
// to a target than its limit.
func (w *world) checkConnections() {
	sum := 0
	for _, h := range w.hosts {
		sum += h.pool.counted(w.now)
	}
	if sum > w.limit {
		for _, h := range w.hosts {
			w.note("%s holds %d, counted %d, shares of epoch %d", h.name, h.pool.held, h.pool.counted(w.now), h.snapshot.Shares.Epoch())
		}
		w.fail("the hosts hold %d connections of %d", sum, w.limit)
	}
}
