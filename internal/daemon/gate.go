package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/warmup"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// searcherGate implements forward.Gate: nothing is sent to the targets of withdrawn failure
// domains, by the latest snapshot of the control state, and a cold target gets no more than
// this host's share.
type searcherGate struct {
	d    *Daemon
	held atomic.Int64 // attempts that were kept away from a cold target
	// bounded is set while a service of the plan bounds the requests to cold targets.
	// Without one, the table is not asked.
	bounded atomic.Bool

	mu        sync.Mutex
	table     *warmup.Table
	suspended time.Duration // of the machine, as of the last question

	// What the table was last updated from. Only update uses it.
	plan        *routeplan.Table
	targets     *targets.View
	withdrawals *withdrawal.Set
	epoch       uint64
}

// shortSuspension is the longest suspension after which the states of targets are still
// taken as known. An announcement takes as long to arrive anyway.
const shortSuspension = 200 * time.Millisecond

func newSearcherGate(d *Daemon) *searcherGate {
	return &searcherGate{d: d, table: warmup.NewTable(d.settings.Host, d.startedAt, d.settings.LeasePeriod)}
}

// Admits implements forward.Gate.
func (g *searcherGate) Admits(now time.Time, id forward.Identity) bool {
	return !g.withdrawn(id) && g.ask(func(t *warmup.Table) bool { return t.Admits(now, id.Target) })
}

// Held implements forward.Gate.
func (g *searcherGate) Held(id forward.Identity) {
	if !g.withdrawn(id) {
		g.held.Add(1)
	}
}

// Begin implements forward.Gate.
func (g *searcherGate) Begin(now time.Time, id forward.Identity) bool {
	return !g.withdrawn(id) && g.ask(func(t *warmup.Table) bool { return t.Begin(now, id.Target) })
}

// Send implements forward.Gate.
func (g *searcherGate) Send(now time.Time, id forward.Identity) bool {
	return !g.withdrawn(id) && g.ask(func(t *warmup.Table) bool { return t.Send(now, id.Target) })
}

// Lost implements forward.Gate.
func (g *searcherGate) Lost(now time.Time, id forward.Identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Lost(now, id.Target, id.Incarnation)
}

func (g *searcherGate) withdrawn(id forward.Identity) bool {
	return g.d.loop.Snapshot().Withdrawals.Withdrawn(id.FailureDomain)
}

func (g *searcherGate) ask(f func(*warmup.Table) bool) bool {
	if !g.bounded.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if total := bootclock.Suspended(); total-g.suspended >= shortSuspension {
		g.suspended = total
		g.table.Forget(time.Now())
	}
	return f(g.table)
}

// statesWarmupRate reports whether a service of a plan bounds the requests to cold targets.
func statesWarmupRate(p *routeplan.Table) bool {
	for svc := range p.Services() {
		if svc.WarmupRate > 0 {
			return true
		}
	}
	return false
}

// update passes a snapshot to the table. Calls must not overlap. Where no service states a
// bound it does not look at the targets of each changed view.
func (g *searcherGate) update(now time.Time, s *control.Snapshot) {
	if s.Plan == nil || g.plan == s.Plan && g.targets == s.Targets && g.withdrawals == s.Withdrawals && g.epoch == s.AgreedMembers.Epoch {
		return
	}
	if !g.bounded.Load() && g.withdrawals == s.Withdrawals && !statesWarmupRate(s.Plan) {
		return // the table needs only the times of restores
	}
	v := warmup.View{Epoch: s.AgreedMembers.Epoch, Hosts: s.AgreedMembers.Hosts, Restored: s.Withdrawals.RestoredSince(g.withdrawals)}
	for r := range s.Targets.Targets() {
		svc, ok := s.Plan.Service(r.Labels[ServiceLabel])
		if !ok || svc.WarmupRate <= 0 {
			continue
		}
		v.Targets = append(v.Targets, warmup.Target{
			Name: r.Target, FailureDomain: r.FailureDomain, Incarnation: r.Incarnation, Seq: r.Seq, Cold: r.Phase == targets.Cold, Warmup: svc.Warmup,
			Limit: warmup.Limit{Rate: svc.WarmupRate, Overage: g.d.settings.WarmupOverage, Slack: g.d.settings.WarmupSlack},
		})
	}
	g.plan, g.targets, g.withdrawals, g.epoch = s.Plan, s.Targets, s.Withdrawals, s.AgreedMembers.Epoch
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Update(now, v)
	g.bounded.Store(len(v.Targets) > 0)
}
