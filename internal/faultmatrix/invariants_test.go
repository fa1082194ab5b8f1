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

func (h *host) isLeader() bool { return h.node != nil && h.node.Status().Role == consensus.Leader }

// serving reports whether the host accepts new work now, by the rule of
// entry.Gate.Check, which would build an error that is not needed here.
func (h *host) serving() bool {
	g := h.snapshot.Gate
	return h.running() && g.Accepting && g.Evidence.Freshness(h.clock()) != membership.Stale
}

// check fails the test if an invariant that must hold at any time is violated.
func (sim *simulation) check() {
	sim.checkLeaders()
	sim.checkRevisions()
	sim.checkChanges()
	sim.checkDrains()
	sim.checkConnections()
}

func (sim *simulation) checkLeaders() {
	for _, h := range sim.voters() {
		if !h.up || !h.isLeader() {
			continue
		}
		term, identity := h.node.Status().Term, string(h.disk.identity)
		if old, ok := sim.leaders[term]; ok && old != identity {
			sim.failf("%s and %s both lead term %d", old, identity, term)
		}
		sim.leaders[term] = identity
	}
}

// checkRevisions guards against a process whose revision decreases, and a host
// that serves an older revision than it served before, in this process or an
// earlier one.
func (sim *simulation) checkRevisions() {
	for _, h := range sim.hosts {
		if !h.running() {
			continue
		}
		r := h.snapshot.Revision
		if r < h.revision {
			sim.failf("%s went back from revision %d to %d", h.name, h.revision, r)
		}
		h.revision = r
		if !h.serving() {
			continue
		}
		if r < h.servedRevision {
			sim.failf("%s serves revision %d after %d", h.name, r, h.servedRevision)
		}
		h.servedRevision = r
	}
}

// checkChanges guards against an accepted change that is lost, reverted or not
// in force within inForceWithin on a host that accepts new work, and against a
// refused change that is in force.
func (sim *simulation) checkChanges() {
	for _, p := range sim.pushes {
		for _, h := range sim.hosts {
			if !h.running() || !h.serving() {
				continue
			}
			_, found := h.snapshot.Table.Group(p.change.ID)
			switch {
			case p.refused() && found:
				sim.failf("%s has the refused change %s in force", h.name, p.change.ID)
			case !p.accepted() || p.noGroup:
			case found && h.snapshot.Revision < p.revision:
				sim.failf("%s has change %s of revision %d in force at revision %d", h.name, p.change.ID, p.revision, h.snapshot.Revision)
			case !found && sim.now.Sub(p.acceptedAt) > inForceWithin:
				sim.failf("%s serves revision %d without change %s, accepted %v ago as revision %d",
					h.name, h.snapshot.Revision, p.change.ID, sim.now.Sub(p.acceptedAt), p.revision)
			}
		}
	}
}

// checkDrains guards against hosts that still list a draining target for new
// work after drainedWithin.
func (sim *simulation) checkDrains() {
	for _, h := range sim.hosts {
		if !sim.connected(h) {
			h.disconnectedAt = sim.now
			continue
		}
		for _, t := range sim.targets {
			since := t.drainedAt
			if since.Before(h.disconnectedAt) {
				since = h.disconnectedAt
			}
			if t.drainedAt.IsZero() || sim.now.Sub(since) <= drainedWithin {
				continue
			}
			if h.listsTarget(t.name) {
				sim.failf("%s still lists %s %v after its drain", h.name, t.name, sim.now.Sub(t.drainedAt))
			}
		}
	}
}

// listsTarget reports whether the host may send new work to a target.
func (h *host) listsTarget(target string) bool {
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
func (sim *simulation) checkConnections() {
	sum := 0
	for _, h := range sim.hosts {
		sum += h.pool.counted(sim.now)
	}
	if sum > sim.limit {
		for _, h := range sim.hosts {
			sim.logf("%s holds %d connections, the target counts %d, shares of epoch %d", h.name, h.pool.held, h.pool.counted(sim.now), h.snapshot.Shares.Epoch())
		}
		sim.failf("the hosts hold %d connections, above the limit of %d", sum, sim.limit)
	}
}
