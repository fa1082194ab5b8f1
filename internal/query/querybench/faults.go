package querybench

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// faultStart is the time at which the fault of a case begins.
const faultStart = time.Second

// setFaults makes targets faulty and schedules the expiry of their leases.
func (b *bench) setFaults() {
	first := b.targets[0]
	switch b.c.Fault {
	case FaultRefusing, FaultSilent, FaultDraining:
		first.fault, first.faultFrom = b.c.Fault, faultStart
	case FaultMisleading:
		first.slow = slowFactor
	case FaultCold:
		for _, t := range b.targets[:max(1, len(b.targets)/4)] {
			t.fault, t.faultFrom = FaultCold, 0
		}
	}
	if b.c.Fault == FaultRefusing || b.c.Fault == FaultSilent {
		b.after(faultStart+leaseTime, leaseExpired{first.name})
	}
}

// reports returns the loads that the searchers report. They are so stale that
// they are in effect random. In FaultMisleading, the slow target also reports
// that it is idle and a healthy one that it is fully loaded.
func (b *bench) reports() []float64 {
	out := make([]float64, len(b.searchers))
	for i, s := range b.searchers {
		out[i] = 0.5 + 0.1*unit(b.hash(0, i, 9))
		if b.c.Fault == FaultMisleading && s.target == b.targets[0] {
			out[i] = 0
		}
		if b.c.Fault == FaultMisleading && s.target == b.targets[1] {
			out[i] = 1
		}
	}
	return out
}

// healthy reports whether a target takes and answers new work.
func (b *bench) healthy(t *target) bool {
	switch t.fault {
	case FaultRefusing, FaultSilent, FaultDraining:
		return b.now < t.faultFrom
	default:
		return true
	}
}

// leaseExpired removes a target from the catalogs of all hosts.
type leaseExpired struct{ target string }

func (e leaseExpired) execute(b *bench) {
	for _, h := range b.hosts {
		targetRemoved{h, e.target}.execute(b)
	}
}

// targetRemoved removes a target from the catalog of one host.
type targetRemoved struct {
	host   *host
	target string
}

func (e targetRemoved) execute(b *bench) {
	old := e.host.catalog.Snapshots[0]
	next := query.Snapshot{Name: old.Name, Generation: old.Generation, Layout: old.Layout}
	for _, reps := range old.Replicas {
		var kept []query.Replica
		for _, r := range reps {
			if r.Target != e.target {
				kept = append(kept, r)
			}
		}
		next.Replicas = append(next.Replicas, kept)
	}
	e.host.catalog = &query.Catalog{Group: e.host.catalog.Group, Snapshots: []query.Snapshot{next}}
	for _, a := range append([]*activeQuery(nil), e.host.active...) {
		b.step(a, query.CatalogChanged{Catalog: e.host.catalog})
	}
}
