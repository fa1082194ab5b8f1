package daemon

import (
	"net/netip"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// applied is what applySnapshots last handed to the traffic side.
type applied struct {
	table   *routing.Table
	targets *targets.View
	shares  map[netip.AddrPort]int
}

// applySnapshots brings the traffic state that outlives single requests in
// line with each control snapshot.
func (d *Daemon) applySnapshots() {
	a := &applied{shares: make(map[netip.AddrPort]int)}
	for {
		snapshot, replaced := d.loop.Watch()
		d.apply(a, snapshot)
		select {
		case <-replaced:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Daemon) apply(a *applied, s *control.Snapshot) {
	if a.table != s.Table {
		a.table = s.Table
		d.admission.SetGroups(s.Table.Groups())
	}
	if a.targets == s.Targets {
		return
	}
	a.targets = s.Targets
	d.groups.Retain(s.Catalogs)
	d.setShares(a.shares, s)
}

// setShares sets the pools' shares. A target that left gets none.
func (d *Daemon) setShares(shares map[netip.AddrPort]int, s *control.Snapshot) {
	seen := make(map[netip.AddrPort]bool, s.Targets.Len())
	for r := range s.Targets.Targets() {
		seen[r.Address] = true
		if shares[r.Address] != r.ConnectionLimit {
			shares[r.Address] = r.ConnectionLimit
			d.pools.SetShare(r.Address, r.ConnectionLimit)
		}
	}
	for address := range shares {
		if !seen[address] {
			delete(shares, address)
			d.pools.SetShare(address, 0)
		}
	}
}
