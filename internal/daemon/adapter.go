package daemon

import (
	"context"
	"net/http"
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

// Adapter holds what speaks a platform's protocols in place of the daemon's
// own. It translates and decides nothing.
type Adapter struct {
	Plans   plancodec.Decoder // reads the text of route plans
	Wire    forwardrun.Wire   // requests to searchers and their answers
	Routers map[string]func(*Daemon) http.Handler
}

// ServiceLabel is the label of a target that names its service.
const ServiceLabel = "service"

func (d *Daemon) newEngine() *forwardrun.Engine {
	if !d.settings.ServePlan {
		return nil
	}
	return forwardrun.New(forwardrun.Config{
		Wire: d.adapter.Wire, FailureDomain: d.settings.FailureDomain, Seed: d.settings.Seed,
		OnMisdirected: func(target string, incarnation uint64) {
			d.drainSeen(query.DrainObserved{Target: target, Incarnation: incarnation})
		},
		Budget: forward.BudgetLimits{
			Ratio: float64(d.settings.RetryPermille) / 1000, Extra: float64(d.settings.RetryExtra), Window: d.settings.RetryWindow,
		},
	})
}

// Log returns the log of the host.
func (d *Daemon) Log() *eventlog.Logger { return d.log }

// Plan returns the routes in force, or nil before the first plan.
func (d *Daemon) Plan() *routeplan.Table { return d.loop.Snapshot().Plan }

// Ready reports whether the load balancer should send work.
func (d *Daemon) Ready() bool { return d.loop.Snapshot().Ready }

// Phase returns the stage of the host's life.
func (d *Daemon) Phase() lifecycle.Phase { return d.loop.Snapshot().Phase }

// BeginRequest counts a caller's request in progress until end is called, so
// that a graceful stop waits for it.
func (d *Daemon) BeginRequest() (end func()) { return d.inFlight.Begin() }

// Announce takes what a target says about itself.
func (d *Daemon) Announce(ctx context.Context, a targets.Announcement) error {
	_, err := d.loop.Call(ctx, func(token uint64) control.Event { return control.Announced{Token: token, Announcement: a} })
	return err
}

// DrainTarget marks a target as draining. An unknown target is ignored.
func (d *Daemon) DrainTarget(ctx context.Context, target string) error {
	r, ok := d.loop.Snapshot().Targets.Target(target)
	if !ok {
		return nil
	}
	return d.loop.Post(ctx, control.TargetsEvent{Event: targets.DrainObserved{Target: target, Incarnation: r.Incarnation}})
}

// maxConnectionsPerHost bounds this host's connections to one searcher. A
// searcher has 2 to 4 slots and queues a dozen requests of all hosts.
const maxConnectionsPerHost = 8

// connectionUse is the share of a searcher's connections that the hosts use.
// After all hosts lost power, a searcher still holds the connections of the
// earlier processes while the new ones connect, and resets those beyond its
// limit.
const connectionUse = 0.5

// offers returns the searchers of each service that this host may ask. It has
// none of a service from which other hosts gather for it.
func (d *Daemon) offers(s *control.Snapshot, p *placement, hosts int) map[string][]forward.SearcherSpec {
	out := make(map[string][]forward.SearcherSpec)
	if s.Plan == nil {
		return out
	}
	gathered := s.Plan.Gathered()
	for r := range s.Targets.Targets() {
		service := r.Labels[ServiceLabel]
		if _, planned := s.Plan.Service(service); !planned || r.Status != targets.StatusAlive {
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
			Slots:    r.Searchers[0].Slots, Cold: r.Phase == targets.Cold, Capacity: connectionsOf(s.Plan, service, gatherers, hosts),
		})
	}
	return out
}

// usedConnections returns how many connections to a searcher all hosts use
// together.
func usedConnections(s *routeplan.Service) int {
	return max(int(connectionUse*float64(s.MaxConnections)), 1)
}

// connectionsOf returns how many connections this host may have to a searcher.
func connectionsOf(plan *routeplan.Table, service string, gatherers []gathering.Host, hosts int) int {
	svc, ok := plan.Service(service)
	switch {
	case !ok:
		return 1
	case gatherers != nil:
		return min(gathering.Connections(gatherers, usedConnections(svc)), maxConnectionsPerHost)
	}
	return min(max(usedConnections(svc)/max(hosts, 1), 1), maxConnectionsPerHost)
}

// applySearchers brings the engine in line with a snapshot.
func (d *Daemon) applySearchers(a *applied, s *control.Snapshot) {
	hosts := len(s.AgreedMembers.Hosts)
	live := 0
	for _, h := range s.Hosts {
		if h.Live {
			live++
		}
	}
	hosts = max(hosts, live)
	d.shareBudget(a, s, hosts)
	p := a.placement
	if p == nil || p.unknown || a.plan != s.Plan || a.targets != s.Targets || !sameSlice(a.known, s.Hosts) {
		a.known = s.Hosts
		p = place(s, time.Since(d.startedAt), a.placement)
	}
	if a.targets != s.Targets || a.plan != s.Plan || a.hosts != hosts || !a.placement.same(p) {
		if !a.placement.same(p) {
			d.log.Log(eventGatherersChanged).Strs("gatherers", p.names()).Bool("unknown", p.unknown).Int("hosts", hosts).Int("live", live).Send()
		}
		a.plan, a.hosts, a.placement = s.Plan, hosts, p
		d.gather.placement.Store(p)
		d.engine.SetSearchers(d.offers(s, p, hosts), d.gatherSharers(a, p))
	}
}

// sameSlice reports whether two slices are the same one. The control goroutine
// builds the list of hosts anew when it changes.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// gatherSharers returns the number of hosts that share the budgets of gathered
// services. Like that of all hosts it follows departures slowly.
func (d *Daemon) gatherSharers(a *applied, p *placement) map[string]int {
	out := make(map[string]int, len(p.gatherers))
	now := time.Now()
	for name, g := range p.gatherers {
		old, known := a.gatherSharers[name]
		if !known || len(g) >= old.hosts || now.Sub(old.at) > sharerMemory {
			old = sharing{hosts: len(g), at: now}
		}
		out[name] = old.hosts
		if a.gatherSharers == nil {
			a.gatherSharers = make(map[string]sharing)
		}
		a.gatherSharers[name] = old
	}
	return out
}

// sharing is a number of sharers and when it was last confirmed.
type sharing struct {
	hosts int
	at    time.Time
}

// shareBudget sets the number of hosts that share the budget of further
// attempts. It follows departures slowly, because a host that is out of reach
// for a moment goes on to spend.
func (d *Daemon) shareBudget(a *applied, s *control.Snapshot, hosts int) {
	if s.AgreedMembers.Epoch == 0 {
		// A process that has just started knows neither how many hosts there
		// are nor what the one before it spent.
		hosts = max(hosts, unknownSharers)
	}
	now := time.Now()
	if hosts < a.sharers && now.Sub(a.sharersAt) <= sharerMemory {
		return
	}
	if hosts != a.sharers {
		d.engine.SetHosts(hosts)
	}
	a.sharers, a.sharersAt = hosts, now
}

// unknownSharers is the number of sharers that is assumed before the agreed
// list of hosts is known.
const unknownSharers = 32

// sharerMemory is how long a host that left still counts among those that
// share a bound: the window of the retry budget and a little more.
const sharerMemory = 15 * time.Second
