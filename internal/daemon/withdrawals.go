package daemon

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal/withdrawalcodec"
)

// abandonedOrderWait is the time between the base of an order and its submission. The HTTP
// server learns of a closed connection by reading from it. A host that was stopped or cut off
// has read the order before that, and may know later orders already.
const abandonedOrderWait = 50 * time.Millisecond

// OrderDomain withdraws or restores a failure domain. It returns once the order is on the
// disks of a majority of the voters. Errors are withdrawal.CodeUnknownDomain, if the
// settings don't list the failure domain, withdrawal.CodeConflict, if another order
// overtook this one, and those of the replicated log.
//
// All attempts carry the revision that this host knew at first. Copies that arrive after a
// later order therefore have no effect. The order is not submitted if ctx ends within
// abandonedOrderWait, so ctx must end when the operator closes the connection.
func (d *Daemon) OrderDomain(ctx context.Context, domain string, withdraw bool) (withdrawal.Result, error) {
	s := d.loop.Snapshot()
	o := withdrawal.Order{FailureDomain: domain, Withdraw: withdraw, Base: s.Withdrawals.Revision()}
	if err := d.checkDomain(s, o); err != nil {
		return withdrawal.Result{}, err
	}
	select {
	case <-ctx.Done():
		return withdrawal.Result{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "the order was given up")
	case <-time.After(abandonedOrderWait):
	}
	data, err := d.submit(ctx, proposals.KindWithdrawal, controlcodec.EncodeWithdrawal(time.Now(), o), planAttemptTimeout)
	if err != nil {
		return withdrawal.Result{}, err
	}
	result, err := withdrawalcodec.DecodeResult(data)
	switch {
	case err != nil:
		return withdrawal.Result{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "read the result of an order")
	case result.Outcome == withdrawal.Overtaken:
		// An earlier copy of this order may have been in force before the other order.
		return result, verdict.New(verdict.MayHaveRun, withdrawal.CodeConflict, "another order for failure domain %q was accepted meanwhile; send the order again", domain)
	case !result.Acknowledged():
		return result, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the record of withdrawals has no room for failure domain %q", domain)
	}
	return result, nil
}

// checkDomain returns an error if the failure domain of an order is unknown. One that is
// no longer listed can still be restored, also again if the acknowledgement was lost.
func (d *Daemon) checkDomain(s *control.Snapshot, o withdrawal.Order) error {
	_, ordered := s.Withdrawals.Domain(o.FailureDomain)
	if !slices.Contains(d.knownDomains(s), o.FailureDomain) && (o.Withdraw || !ordered) {
		return verdict.New(verdict.NotRun, withdrawal.CodeUnknownDomain, "failure domain %q is unknown", o.FailureDomain)
	}
	return o.Validate()
}

// knownDomains returns the failure domains of the settings or, if these list none, those
// of the known hosts and targets, and in both cases those that are withdrawn. The result is
// sorted.
func (d *Daemon) knownDomains(s *control.Snapshot) []string {
	names := slices.Collect(maps.Keys(d.settings.FailureDomains))
	if len(names) == 0 {
		names = append(names, d.settings.FailureDomain)
		for _, h := range s.Hosts {
			names = append(names, h.FailureDomain)
		}
		for r := range s.Targets.Targets() {
			names = append(names, r.FailureDomain)
		}
	}
	names = append(names, s.Withdrawals.Names()...)
	slices.Sort(names)
	return slices.Compact(names)
}

// capacityUnits returns the services of the route plan or, without one, the groups, and the
// searchers that take new work, by them.
func capacityUnits(s *control.Snapshot) (names []string, searchers []withdrawal.Searcher) {
	if s.Plan != nil {
		for svc := range s.Plan.Services() {
			names = append(names, svc.Name)
		}
	} else {
		names = s.Table.GroupNames()
	}
	for r := range s.Targets.Targets() {
		if r.Status != targets.StatusAlive {
			continue
		}
		units := []string{r.Labels[ServiceLabel]}
		if s.Plan == nil {
			units = s.Table.GroupsOf(r.Labels)
		} else if _, ok := s.Plan.Service(units[0]); !ok {
			continue
		}
		for _, unit := range units {
			for _, x := range r.Searchers {
				searchers = append(searchers, withdrawal.Searcher{Service: unit, FailureDomain: r.FailureDomain, Slots: x.Slots})
			}
		}
	}
	return names, searchers
}

// Domains returns the known failure domains and what is in them.
func (b backend) Domains() confighttp.Domains {
	s := b.d.loop.Snapshot()
	out := confighttp.Domains{Revision: s.Withdrawals.Revision()}
	byName := make(map[string]*confighttp.Domain)
	for _, name := range b.d.knownDomains(s) {
		byName[name] = &confighttp.Domain{Domain: name, Region: b.d.settings.FailureDomains[name], Withdrawn: s.Withdrawals.Withdrawn(name)}
	}
	for _, h := range s.Hosts {
		if x := byName[h.FailureDomain]; x != nil && h.Live {
			x.Hosts++
		}
	}
	for r := range s.Targets.Targets() {
		if x := byName[r.FailureDomain]; x != nil && r.Status == targets.StatusAlive {
			x.Targets++
		}
	}
	for _, x := range byName {
		out.Domains = append(out.Domains, *x)
	}
	slices.SortFunc(out.Domains, func(a, b confighttp.Domain) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// PreviewDomain returns the capacity that an order would leave, as this host sees it.
func (b backend) PreviewDomain(domain string, withdraw bool) (confighttp.DomainOrder, error) {
	s := b.d.loop.Snapshot()
	o := withdrawal.Order{FailureDomain: domain, Withdraw: withdraw}
	if err := b.d.checkDomain(s, o); err != nil {
		return confighttp.DomainOrder{}, err
	}
	names, searchers := capacityUnits(s)
	out := confighttp.DomainOrder{Domain: domain, Withdrawn: withdraw, Revision: s.Withdrawals.Revision()}
	for _, c := range withdrawal.Preview(s.Withdrawals, o, names, searchers) {
		out.Capacity = append(out.Capacity, confighttp.ServiceCapacity{
			Service: c.Service, Searchers: c.Searchers, Slots: c.Slots, SearchersAfter: c.SearchersAfter, SlotsAfter: c.SlotsAfter, Lost: c.Lost(),
		})
	}
	return out, nil
}

// OrderDomain withdraws or restores a failure domain.
func (b backend) OrderDomain(ctx context.Context, domain string, withdraw bool) (uint64, error) {
	result, err := b.d.OrderDomain(ctx, domain, withdraw)
	return result.Revision, err
}

// Withdrawn reports whether this host sends nothing to the targets of a failure domain.
func (d *Daemon) Withdrawn(domain string) bool {
	return d.loop.Snapshot().Withdrawals.Withdrawn(domain)
}
