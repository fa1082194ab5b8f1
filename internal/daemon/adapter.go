package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// Adapter replaces the daemon's own protocols by those of a platform. It
// translates messages and makes no decisions.
type Adapter struct {
	Plans   plancodec.Decoder // decodes the text of route plans
	Wire    forwardrun.Wire   // encodes requests to searchers and parses their replies
	Routers map[string]func(*Daemon) http.Handler
}

// ServiceLabel is the label that names a target's service.
const ServiceLabel = "service"

func (d *Daemon) newEngine() *forwardrun.Engine {
	if !d.settings.ServePlan {
		return nil
	}
	d.gate = newSearcherGate(d)
	e := forwardrun.New(forwardrun.Config{
		Wire: d.adapter.Wire, FailureDomain: d.settings.FailureDomain, Seed: d.settings.Seed,
		OnMisdirected: func(target string, incarnation uint64) {
			d.observeDrain(query.DrainObserved{Target: target, Incarnation: incarnation})
		},
		OnLeaving: func(target string, incarnation uint64) {
			d.loop.TryPost(control.TargetsEvent{Event: targets.DrainObserved{Target: target, Incarnation: incarnation, Leaving: true}})
		},
		ReplyMemory: int64(d.settings.MemoryLimit) / replyMemoryDivisor,
		Budget: forward.BudgetLimits{
			Ratio: float64(d.settings.RetryPermille) / 1000, Extra: float64(d.settings.RetryExtra), Window: d.settings.RetryWindow,
		},
		Gate: d.gate,
	})
	e.SetBudgetShare(forwardrun.BudgetShare{}) // not known yet
	return e
}

// replyMemoryDivisor is the part of the process's memory that replies of searchers
// may hold. The rest is needed for connections, the garbage collector's headroom and
// the state of the control goroutine.
const replyMemoryDivisor = 8

// Log returns the logger of the host.
func (d *Daemon) Log() *eventlog.Logger { return d.log }

// Plan returns the routes in force, or nil before the first plan.
func (d *Daemon) Plan() *routeplan.Table { return d.loop.Snapshot().Plan }

// callerIdleTimeout returns how long a caller's connection may be idle, 0 for no
// limit.
func (d *Daemon) callerIdleTimeout() time.Duration {
	if plan := d.Plan(); plan != nil {
		return plan.Limits.IdleTimeout
	}
	return 0
}

// Ready reports whether the load balancer should send work to this host.
//
// A host whose keys are not confirmed would refuse most requests, which another host can
// serve.
func (d *Daemon) Ready() bool {
	s := d.loop.Snapshot()
	return s.Ready && (s.Plan == nil || s.Plan.Accounts == nil || d.keysConfirmed(s))
}

// Phase returns the host's lifecycle phase.
func (d *Daemon) Phase() lifecycle.Phase { return d.loop.Snapshot().Phase }

// BeginRequest counts a caller's request as in progress until end is called. A
// graceful stop waits for it.
func (d *Daemon) BeginRequest() (end func()) { return d.inFlight.Begin() }

// Announce registers a target or updates it from its announcement.
func (d *Daemon) Announce(ctx context.Context, a targets.Announcement) error {
	_, err := d.loop.Call(ctx, func(token uint64) control.Event { return control.Announced{Token: token, Announcement: a} })
	return err
}

// AnnounceAddress returns the address at which a target in a failure domain should
// announce itself from now on: this host if it is in that domain and serving, or else a
// live host there. It is not ok if there is none. Announcements are the most frequent
// messages of targets, and bytes between failure domains are expensive. All hosts serve
// targets on the same port.
func (d *Daemon) AnnounceAddress(target, failureDomain string) (netip.AddrPort, bool) {
	s := d.loop.Snapshot()
	own := d.Address("target")
	if d.settings.FailureDomain == failureDomain && s.Phase == lifecycle.Serving {
		return own, true
	}
	var near []gathering.Host
	peers := make(map[string]netip.AddrPort)
	for _, h := range s.Hosts {
		if h.Live && h.FailureDomain == failureDomain && h.Host != d.settings.Host {
			near = append(near, gathering.Host{Name: h.Host})
			peers[h.Host] = h.Peer
		}
	}
	chosen, ok := gathering.Heaviest(near, target)
	return netip.AddrPortFrom(peers[chosen.Name].Addr(), own.Port()), ok
}

// Target returns the current record of a target that takes work or drains.
func (d *Daemon) Target(name string) (*targets.Record, bool) {
	return d.loop.Snapshot().Targets.Target(name)
}

// Depart records that a target has said that it is gone. The error of an unknown target
// has the code targets.CodeUnknown.
func (d *Daemon) Depart(ctx context.Context, target string) error {
	_, err := d.loop.Call(ctx, func(token uint64) control.Event { return control.Departed{Token: token, Target: target} })
	return err
}

// maxConnectionsPerHost bounds this host's connections to one searcher. A
// searcher has 2 to 4 slots and queues a dozen requests from all hosts together.
const maxConnectionsPerHost = 8

// connectionFraction is the fraction of a searcher's connection limit that all
// hosts together use. After a power loss on all hosts, a searcher still holds
// the connections of the earlier processes while the new processes connect, and
// resets connections beyond its limit.
const connectionFraction = 0.5

// searcherSpecs returns the searchers that this host may send requests to, by
// service, without those in withdrawn failure domains, and none until the withdrawals are
// known. A service whose requests other hosts carry out for this one has no entry.
func (d *Daemon) searcherSpecs(s *control.Snapshot, p *placement, hosts int) map[string][]forward.SearcherSpec {
	out := make(map[string][]forward.SearcherSpec)
	if s.Plan == nil || !s.WithdrawalsKnown {
		return out
	}
	gathered := s.Plan.Gathered()
	fleet := gathering.Fleet{Size: hosts}
	for r := range s.Targets.Targets() {
		service := r.Labels[ServiceLabel]
		planned, ok := s.Plan.Service(service)
		if !ok || r.Status != targets.StatusAlive || s.Withdrawals.Withdrawn(r.FailureDomain) {
			continue
		}
		if _, gathers := slices.BinarySearch(gathered, service); gathers && p.unknown {
			continue
		}
		gatherers := p.gatherers[service]
		if gatherers != nil && !gathering.Contains(gatherers, d.settings.Host) {
			continue
		}
		out[service] = append(out[service], forward.SearcherSpec{
			Identity: forward.Identity{Target: r.Target, Incarnation: r.Incarnation, Address: r.Address, FailureDomain: r.FailureDomain},
			Slots:    r.Searchers[0].Slots, Cold: r.Phase == targets.Cold, Capacity: connectionLimit(s.Plan, service, gatherers, hosts),
			OnDemand: p.unknown || gatherers == nil && !fleet.GrantedToAll(planned.MaxConnections),
		})
	}
	return out
}

// usedConnections returns the number of connections to a searcher that all
// hosts together use.
func usedConnections(s *routeplan.Service) int {
	return max(int(connectionFraction*float64(s.MaxConnections)), 1)
}

// connectionLimit returns the limit of this host's connections to a searcher.
func connectionLimit(plan *routeplan.Table, service string, gatherers []gathering.Host, hosts int) int {
	svc, ok := plan.Service(service)
	switch {
	case !ok:
		return 1
	case gatherers != nil:
		return min(gathering.Connections(gatherers, usedConnections(svc)), maxConnectionsPerHost)
	}
	return min(max(usedConnections(svc)/max(hosts, 1), 1), maxConnectionsPerHost)
}

// applySearchers updates the forwarding engine from a snapshot.
func (d *Daemon) applySearchers(a *applied, s *control.Snapshot) {
	d.gate.update(time.Now(), s)
	hosts := fleetSize(s)
	p := a.placement
	if p == nil || p.unknown || a.plan != s.Plan || a.targets != s.Targets || a.withdrawals != s.Withdrawals || !sameSlice(a.placedHosts, s.Hosts) {
		a.placedHosts = s.Hosts
		p = newPlacement(s, time.Since(d.startedAt), a.placement)
	}
	if a.targets != s.Targets || a.withdrawals != s.Withdrawals || a.withdrawalsKnown != s.WithdrawalsKnown || a.plan != s.Plan || a.hosts != hosts || !a.placement.same(p) {
		if !a.placement.same(p) {
			d.log.Log(eventGatherersChanged).Strs("gatherers", p.names()).Bool("unknown", p.unknown).Int("hosts", hosts).Int("live", liveHosts(s)).Send()
		}
		a.plan, a.hosts, a.withdrawals, a.withdrawalsKnown = s.Plan, hosts, s.Withdrawals, s.WithdrawalsKnown
		d.gather.placement.Store(p)
		d.engine.SetSearchers(d.searcherSpecs(s, p, hosts))
	}
	a.placement = p
	if now := d.loop.Now(); a.budgetShare.due(now, s) {
		d.engine.SetBudgetShare(a.budgetShare.update(now, now.Add(-time.Since(d.startedAt)), d.settings.RetryWindow, s, d.settings.Host))
	}
}

// sameSlice reports whether two slices have the same length and first element
// in memory. The control goroutine builds a new list of hosts when it changes.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
