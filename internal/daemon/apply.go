package daemon

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// applied is the state that applySnapshots last applied to the traffic side.
type applied struct {
	at      time.Time // zero before the first one
	table   *routing.Table
	targets *targets.View
	view    connections.View
	hosts   int
	shares  map[netip.AddrPort]int

	plan             *routeplan.Table
	withdrawals      *withdrawal.Set
	withdrawalsKnown bool
	placement        *placement
	placedHosts      []control.Host // from which placement was computed
	budgetShare      budgetShare
}

// applySnapshots updates the traffic state that outlives single requests from
// each control snapshot.
func (d *Daemon) applySnapshots() {
	a := &applied{shares: make(map[netip.AddrPort]int)}
	for {
		snapshot, replaced := d.loop.Watch()
		if wait := a.wait(time.Now(), snapshot); wait > 0 {
			if !d.sleepUntilReplaced(wait, replaced) {
				return
			}
			continue
		}
		d.apply(a, snapshot)
		a.at = time.Now()
		select {
		case <-replaced:
		case <-d.ctx.Done():
			return
		}
	}
}

// sleepUntilReplaced waits for a time or a newer snapshot, and reports whether the host
// goes on.
func (d *Daemon) sleepUntilReplaced(wait time.Duration, replaced <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-replaced:
	case <-d.ctx.Done():
		return false
	}
	return true
}

// applyPeriod is the least time between two updates of the traffic state from snapshots,
// for each target and host in them. An update looks at all of them, which takes about a
// microsecond each, and in a large fleet something changes every few milliseconds.
const applyPeriod = 100 * time.Microsecond

// maxApplyWait bounds the time between two updates. Searchers that leave must get no
// further requests after a few seconds.
const maxApplyWait = 500 * time.Millisecond

// wait returns how long a snapshot waits for further changes before it is applied. A new
// route plan does not wait, nor do new withdrawals, nor the first that are known.
func (a *applied) wait(now time.Time, s *control.Snapshot) time.Duration {
	if a.at.IsZero() || a.plan != s.Plan || a.withdrawals != s.Withdrawals || a.withdrawalsKnown != s.WithdrawalsKnown || s.Plan == nil {
		return 0
	}
	period := applyPeriod * time.Duration(s.Targets.Len()+len(s.Hosts))
	return a.at.Add(min(period, maxApplyWait)).Sub(now)
}

func (d *Daemon) apply(a *applied, s *control.Snapshot) {
	if a.table != s.Table {
		a.table = s.Table
		d.admission.SetGroups(s.Table.Groups())
	}
	if d.engine != nil {
		d.directory.setLive(peersOf(s))
		d.quotas.Observe()
		d.applySearchers(a, s)
		a.targets, a.view = s.Targets, s.Shares
		return
	}
	d.applyHosts(a, s)
	if a.targets != s.Targets {
		d.groups.Retain(s.Catalogs)
	}
	if a.targets != s.Targets || !a.view.Same(s.Shares) {
		a.targets, a.view = s.Targets, s.Shares
		d.setShares(a.shares, s)
		d.start(func() { d.reportShares(s.Shares.Epoch()) })
	}
}

func peersOf(s *control.Snapshot) map[string]netip.AddrPort {
	peers := make(map[string]netip.AddrPort, len(s.Hosts))
	for _, h := range s.Hosts {
		peers[h.Host] = h.Peer
	}
	return peers
}

func (d *Daemon) applyHosts(a *applied, s *control.Snapshot) {
	d.directory.setLive(peersOf(s))
	if n := len(s.AgreedMembers.Hosts); n != a.hosts {
		a.hosts = n
		d.groups.SetHosts(n)
	}
}

// setShares sets how many connections this host may hold to each target. A
// target that left gets none.
func (d *Daemon) setShares(shares map[netip.AddrPort]int, s *control.Snapshot) {
	seen := make(map[netip.AddrPort]bool, s.Targets.Len())
	for r := range s.Targets.Targets() {
		seen[r.Address] = true
		n := s.Shares.Share(r.Target, r.ConnectionLimit).Connections
		if old, ok := shares[r.Address]; !ok || old != n {
			shares[r.Address] = n
			d.pools.SetShare(r.Address, n)
		}
	}
	for address := range shares {
		if !seen[address] {
			delete(shares, address)
			d.pools.SetShare(address, 0)
		}
	}
}

// reportShares reports to the control goroutine once no pool exceeds its share.
// A report for an outdated epoch has no effect.
func (d *Daemon) reportShares(epoch uint64) {
	if epoch == 0 || d.pools.AwaitWithinShares(d.ctx) != nil {
		return
	}
	_ = d.loop.Post(d.ctx, control.WithinShares{Epoch: epoch})
}
