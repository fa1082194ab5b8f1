package daemon

import (
	"context"
	"maps"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/gathering/gatheringrpc"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes with which a gatherer rejects a request.
const (
	codePlanBehind  verdict.Code = "route_plan_behind"
	codePlanDiffers verdict.Code = "route_plan_differs"
	codeNotGatherer verdict.Code = "not_a_gatherer"
)

// placement records which hosts carry out the requests to each service. It is immutable.
type placement struct {
	gatherers map[string][]gathering.Host   // with connections, by service; absent if every host has them
	carriers  map[string][]gathering.Host   // that get the requests to a service that is not gathered
	chosen    map[choice][]gathering.Host   // by what the choice for a service depends on
	carrying  map[choice][]gathering.Host   // carriers, by the same
	splits    map[uint64][][]gathering.Part // ways to divide gathers, by the set of shards
	// unknown is true until this host has found the other hosts. Until then it
	// opens no connections for gathers, since it can't know its share.
	unknown bool
}

// choice is what the choice of the gatherers of a service depends on.
type choice struct {
	granted  int // connections to each searcher
	gathered bool
	routed   bool // some route names it
}

// discoveryTimeout is the age from which a process assumes that it knows all
// hosts.
const discoveryTimeout = 3 * time.Second

// newPlacement chooses the gatherers of all services of a plan. A host that sees fewer
// than half of the hosts keeps its previous choice: with a new one, the few hosts that it
// sees would gather as well and exceed the connections that searchers grant.
func newPlacement(s *control.Snapshot, age time.Duration, previous *placement) *placement {
	p := &placement{
		gatherers: make(map[string][]gathering.Host), carriers: make(map[string][]gathering.Host),
		chosen: make(map[choice][]gathering.Host), carrying: make(map[choice][]gathering.Host),
	}
	if s.Plan == nil {
		return p
	}
	holders := gatheredServices(s)
	fleet := fleetOf(s, holders)
	starting := age < discoveryTimeout
	p.unknown = starting && s.AgreedMembers.Epoch == 0
	keep := previous != nil && !previous.unknown && 2*len(fleet.Hosts) < fleet.Size
	for svc := range s.Plan.Services() {
		key := choiceOf(s.Plan, svc)
		if _, done := p.chosen[key]; !done {
			p.unknown = p.unknown || key.gathered && starting && !fleet.Decided(usedConnections(svc))
			p.choose(fleet, svc, key)
			if keep && previous.chosen[key] != nil {
				p.chosen[key], p.carrying[key] = previous.chosen[key], previous.carrying[key]
			}
		}
		if g := p.chosen[key]; g != nil {
			p.gatherers[svc.Name] = g
		}
		if c := p.carrying[key]; c != nil {
			p.carriers[svc.Name] = c
		}
	}
	p.splits = splitGathers(s.Plan, p.gatherers, holders)
	return p
}

func choiceOf(plan *routeplan.Table, svc *routeplan.Service) choice {
	_, gathered := slices.BinarySearch(plan.Gathered(), svc.Name)
	return choice{granted: svc.MaxConnections, gathered: gathered, routed: plan.Routed(svc.Name)}
}

// choose chooses the hosts for the services with the same choice. A service that no
// route names is reached by no host if its searchers don't grant a connection to each.
func (p *placement) choose(fleet gathering.Fleet, svc *routeplan.Service, key choice) {
	used := usedConnections(svc)
	switch {
	case key.gathered:
		p.chosen[key] = fleet.Choose(used)
	case key.routed:
		p.carrying[key], p.chosen[key] = fleet.ChooseForOne(svc.MaxConnections, used)
	case !fleet.GrantedToAll(svc.MaxConnections):
		p.chosen[key] = []gathering.Host{}
	}
}

// nearShare is the least share of the gathered services that must have a
// searcher in a failure domain for the domain to count as near.
const nearShare = 0.8

// fleetOf returns the hosts that a snapshot knows. Size also counts agreed
// members that this host does not see.
func fleetOf(s *control.Snapshot, holders map[string]map[string]bool) gathering.Fleet {
	f := gathering.Fleet{Near: make(map[string]bool)}
	for _, h := range s.Hosts {
		if h.Live {
			f.Hosts = append(f.Hosts, gathering.Host{Name: h.Host, FailureDomain: h.FailureDomain, Capacity: h.Capacity})
		}
	}
	f.Agreed = s.AgreedMembers.Hosts
	f.Size = max(len(f.Hosts), len(f.Agreed))
	for domain, services := range holders {
		f.Near[domain] = float64(len(services)) >= nearShare*float64(len(s.Plan.Gathered()))
	}
	for _, g := range s.Plan.Gathers() {
		f.Shards = max(f.Shards, len(g.Services))
	}
	return f
}

// gatheredServices returns, by failure domain, the gathered services that have a
// live searcher there.
func gatheredServices(s *control.Snapshot) map[string]map[string]bool {
	gathered := s.Plan.Gathered()
	out := make(map[string]map[string]bool)
	for r := range s.Targets.Targets() {
		service := r.Labels[ServiceLabel]
		if _, ok := slices.BinarySearch(gathered, service); !ok || r.Status != targets.StatusAlive || s.Withdrawals.Withdrawn(r.FailureDomain) {
			continue
		}
		if out[r.FailureDomain] == nil {
			out[r.FailureDomain] = make(map[string]bool)
		}
		out[r.FailureDomain][service] = true
	}
	return out
}

// same reports whether two placements choose the same hosts.
func (p *placement) same(q *placement) bool {
	return p != nil && p.unknown == q.unknown && maps.EqualFunc(p.gatherers, q.gatherers, slices.Equal[[]gathering.Host]) &&
		maps.EqualFunc(p.carriers, q.carriers, slices.Equal[[]gathering.Host])
}

// names returns the hosts that gather from any service.
func (p *placement) names() []string {
	seen := make(map[string]bool)
	for _, hosts := range p.gatherers {
		for _, h := range hosts {
			seen[h.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// gatherersOf returns the hosts that carry out the requests of a route, or nil if every
// host does so itself. They have connections to all services of the route.
func (p *placement) gatherersOf(r *routeplan.Route) []gathering.Host {
	if p == nil {
		return nil
	}
	services := r.Services()
	if len(services) == 1 && p.carriers[services[0]] != nil {
		return p.carriers[services[0]]
	}
	var common []gathering.Host
	for _, name := range services {
		switch g := p.gatherers[name]; {
		case g == nil || sameSlice(common, g):
		case common == nil:
			common = g
		default:
			common = gathering.Intersection(common, g)
		}
	}
	return common
}

// gatherState is the state that a host needs to send requests to gatherers.
type gatherState struct {
	placement atomic.Pointer[placement]
	log       *forwardrun.CallLog // of requests from other hosts
	mu        sync.Mutex
	chooser   *gathering.Chooser
	hops      gathering.Hops
	shares    gathering.Shares
	splitTurn atomic.Uint64
}

// handOver is what the attempts to have a request carried out by other hosts share.
type handOver struct {
	now       time.Time
	gatherers []gathering.Host
	version   uint64 // of the plan that routes the request
	path      string // that selects the route
}

// Forward sends a caller's request to searchers, or to gatherers if this host has no
// connections of its own or the gather is divided.
func (d *Daemon) Forward(ctx context.Context, call *forwardrun.Call, version uint64, path string) (*forwardrun.Answer, *verdict.Error) {
	p := d.gather.placement.Load()
	h := handOver{now: time.Now(), gatherers: p.gatherersOf(call.Route), version: version, path: path}
	if parts := d.nextSplit(p, call.Route); parts != nil {
		return d.gatherParts(ctx, call, h, parts)
	}
	if h.gatherers == nil || gathering.Contains(h.gatherers, d.settings.Host) {
		return d.engine.Do(ctx, call)
	}
	return d.handOverNear(ctx, call, h, d.settings.FailureDomain)
}

// gatherAmong has a request carried out by the first of the gatherers that takes it.
func (d *Daemon) gatherAmong(ctx context.Context, call *forwardrun.Call, h handOver, order []gathering.Host) (*forwardrun.Answer, *verdict.Error) {
	var request *gatheringrpc.GatherRequest
	failure := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no host gathers for this route").WithRetryAfter(retryAfterGatherer)
	for _, g := range order[:min(len(order), maxGatherers)] {
		if g.Name == d.settings.Host {
			return d.engine.Do(ctx, call)
		}
		// The next gatherer may have an older plan than this host has got meanwhile.
		if err := call.Permitted(); err != nil {
			return &forwardrun.Answer{}, err
		}
		if request == nil { // the same grant for all gatherers that are tried
			request = d.grantingRequest(call, h)
		}
		answer, err := d.gatherAt(ctx, g, call, request)
		if err == nil || answer != nil {
			return answer, err
		}
		if err.Code == codeHostStopping || err.Code == verdict.CodeHostStops {
			d.recordGatherer(ctx, g.Name, err)
		}
		failure = verdict.New(err.Verdict, err.Code, "host %s: %s", g.Name, err.Error()).WithRetryAfter(retryAfterGatherer)
		if err.Verdict != verdict.NotRun {
			// The gatherer may have used all attempts that the route allows.
			break
		}
	}
	return &forwardrun.Answer{}, failure
}

// grantingRequest returns the message that hands a call over, with a grant of extra attempts
// from this host's budget.
func (d *Daemon) grantingRequest(call *forwardrun.Call, h handOver) *gatheringrpc.GatherRequest {
	granting := *call
	granting.Grant.Attempts = d.engine.Grant(call)
	return gatheringrpc.EncodeCall(d.settings.Host, &granting, h.version, h.path)
}

func callerGone() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, forwardrun.CodeCallerGone, "the caller closed its connection")
}

// maxGatherers bounds the number of gatherers that one request tries.
const maxGatherers = 3

// retryAfterGatherer is the retry hint to a caller whose request found no
// gatherer. Membership detects a lost gatherer after three seconds.
const retryAfterGatherer = 500 * time.Millisecond

// slowGathererFactor is the multiple of a route's objective after which a
// gatherer that has not answered is tried last by further requests. A gatherer
// answers within the objective if enough shards do.
const slowGathererFactor = 1.5

// gatherAt sends a request to a gatherer. An error with an answer is final;
// after an error without one, another gatherer may be tried.
func (d *Daemon) gatherAt(ctx context.Context, gatherer gathering.Host, call *forwardrun.Call, m *gatheringrpc.GatherRequest) (*forwardrun.Answer, *verdict.Error) {
	host := gatherer.Name
	if d.Ending().Err() != nil {
		return &forwardrun.Answer{}, hostStops(verdict.NotRun, host)
	}
	address, ok := d.directory.lookup(host)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the address of host %q is unknown", host)
	}
	now := time.Now()
	slow := time.AfterFunc(time.Duration(slowGathererFactor*float64(call.Route.Objective)), func() { d.recordGatherer(ctx, host, errSlowGatherer) })
	defer slow.Stop()
	limited := *call
	limited.Deadline = d.engine.Limit(call.Deadline)
	m.SetTimes(now, &limited, d.hopTime(gatherer, call.Route))
	bound, unbind := d.inFlight.Bind(ctx)
	defer unbind()
	attempt, cancel := context.WithDeadline(bound, call.Deadline)
	defer cancel()
	connected, attempt, stopWaiting := d.boundConnect(attempt, cancel, gatherer)
	defer stopWaiting()
	client := &chargedClient{client: d.links.Client(), charge: d.engine.NewCharge()}
	reply, err := gatheringrpc.NewGatheringProtobufClient(peerlink.BaseURL(address), client).Gather(attempt, m)
	d.recordGatherer(ctx, host, err)
	if err == nil {
		d.recordHop(gatherer, time.Since(now)-time.Duration(reply.GetTookUs())*time.Microsecond)
	}
	if reply.GetPlan() > m.GetPlan() {
		d.loop.TryPost(control.FollowEvent{Event: follow.PlanAhead{Host: host, Version: reply.GetPlan()}})
	}
	for _, s := range reply.GetLeaving() {
		d.loop.TryPost(control.TargetsEvent{Event: targets.DrainObserved{Target: s.GetTarget(), Incarnation: s.GetIncarnation(), Leaving: true}})
	}
	if err != nil {
		client.charge.Release()
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return &forwardrun.Answer{}, callerGone()
	case err != nil && d.Ending().Err() != nil && connected() && !peerlink.NotSent(err):
		return &forwardrun.Answer{}, hostStops(verdict.MayHaveRun, host)
	case err != nil && !time.Now().Before(call.Deadline):
		return &forwardrun.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "host %s did not answer in time", host)
	case err != nil && (!connected() || peerlink.NotSent(err)):
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to host "+host)
	case err != nil:
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "call host "+host)
	}
	answer, failure := decodeGathered(reply, host, call)
	if answer != nil && answer.Reply != nil {
		answer.Charge = client.charge
	} else {
		client.charge.Release()
	}
	return answer, failure
}

// boundConnect cancels a call to a gatherer if it has no connection in time. connected
// reports whether it got one; if not, nothing of the call was sent.
func (d *Daemon) boundConnect(ctx context.Context, cancel context.CancelFunc, gatherer gathering.Host) (connected func() bool, traced context.Context, stop func() bool) {
	d.gather.mu.Lock()
	wait := d.gather.hops.Connect(gatherer.FailureDomain)
	d.gather.mu.Unlock()
	var got atomic.Bool
	timer := time.AfterFunc(wait, func() {
		if !got.Load() {
			cancel()
		}
	})
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	return got.Load, traced, timer.Stop
}

func hostStops(v verdict.Verdict, gatherer string) *verdict.Error {
	return verdict.New(v, verdict.CodeHostStops, "this host stops before host %s has answered", gatherer).WithRetryAfter(forward.RetryAfterStop)
}

// hopTime returns how much of a route's objective passes on the way to a gatherer
// and back.
func (d *Daemon) hopTime(gatherer gathering.Host, r *routeplan.Route) time.Duration {
	d.gather.mu.Lock()
	defer d.gather.mu.Unlock()
	return d.gather.hops.Time(gatherer.FailureDomain, r.Objective)
}

func (d *Daemon) recordHop(gatherer gathering.Host, took time.Duration) {
	d.gather.mu.Lock()
	defer d.gather.mu.Unlock()
	d.gather.hops.Observe(gatherer.FailureDomain, took)
}

// errSlowGatherer is recorded for a gatherer that takes too long to answer.
var errSlowGatherer = errors.New("the gatherer has not answered yet")

// recordGatherer records whether a gatherer answered.
func (d *Daemon) recordGatherer(ctx context.Context, host string, err error) {
	if ctx.Err() != nil {
		return // the caller is gone, which says nothing about the gatherer
	}
	d.gather.mu.Lock()
	defer d.gather.mu.Unlock()
	if err != nil {
		d.gather.chooser.Failed(time.Now(), host)
		return
	}
	d.gather.chooser.Answered(host)
}

func decodeGathered(m *gatheringrpc.GatherReply, host string, call *forwardrun.Call) (*forwardrun.Answer, *verdict.Error) {
	a := gatheringrpc.DecodeAnswer(m, host)
	if m.GetFailure() == nil {
		if err := gatheringrpc.CheckAnswer(a, call); err != nil {
			return &forwardrun.Answer{Gatherer: host, Plan: a.Plan}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "call host "+host)
		}
		return a, nil
	}
	err := proposalsrpc.DecodeFailure(m.GetFailure())
	failure := verdict.New(verdict.Of(err), verdict.CodeOf(err), "%s", err.Error()).
		WithRetryAfter(time.Duration(m.GetFailure().GetRetryAfterMs()) * time.Millisecond)
	if m.GetAttempts() > 0 {
		return a, failure // a repeat at another gatherer would exceed the attempts and the budget
	}
	switch failure.Code {
	case codePlanBehind, codePlanDiffers, codeNotGatherer, codeHostStopping, verdict.CodeHostStops:
		return nil, failure
	}
	return a, failure
}

const codeHostStopping verdict.Code = "gatherer_stopping"

type gatheringService struct{ d *Daemon }

// Gather runs a request for another host by this host's route plan, which may be newer
// than the sender's: the route may be of another kind there, or gone. It rejects the
// request if the sender's plan is newer, since the sender's callers may have seen its
// effect.
func (s *gatheringService) Gather(ctx context.Context, m *gatheringrpc.GatherRequest) (*gatheringrpc.GatherReply, error) {
	defer s.d.inFlight.Begin()()
	now := time.Now()
	snapshot := s.d.loop.Snapshot()
	record := forwardrun.CallRecord{RequestID: string(m.GetRequestId()), From: m.GetFrom()}
	defer func() {
		record.Took = time.Since(now)
		s.d.gather.log.Record(record)
	}()
	if snapshot.Plan != nil {
		record.Plan = snapshot.Plan.Version
	}
	route, refusal := s.accept(snapshot, m)
	var access Access
	if refusal == nil {
		access, refusal = s.d.identify(snapshot.Plan, route, gatheringrpc.Keys(m))
	}
	if refusal != nil {
		record.Err = refusal
		return &gatheringrpc.GatherReply{Failure: s.d.encodeFailure(refusal), Plan: record.Plan}, nil
	}
	record.Route, record.Objective = route.Name, route.Objective
	call := gatheringrpc.DecodeCall(now, m, route, s.d.engine.GrantLifetime())
	if snapshot.Plan.Version != m.GetPlan() {
		call.Grant = forwardrun.Grant{} // it may be for other services
	}
	access.Apply(call)
	answer, failure := s.d.engine.Do(ctx, call)
	holdForResponse(ctx, answer)
	if answer.Reply != nil && !answer.Charge.Take(int64(len(answer.Reply.Body))) { // for the encoded copy
		answer.Reply, failure = nil, errReplyMemory(verdict.MayHaveRun)
	}
	record.Answer, record.Err = answer, failure
	reply := gatheringrpc.EncodeAnswer(answer, time.Since(now))
	reply.Plan = record.Plan
	if failure != nil {
		reply.Failure = s.d.encodeFailure(failure)
	}
	return reply, nil
}

// accept returns the route of a request from another host, or the reason why
// this host rejects it.
func (s *gatheringService) accept(snapshot *control.Snapshot, m *gatheringrpc.GatherRequest) (*routeplan.Route, *verdict.Error) {
	switch {
	case s.d.engine == nil:
		return nil, verdict.New(verdict.NotRun, codeNotGatherer, "this host serves no route plan")
	case snapshot.Phase > lifecycle.LameDuck || snapshot.Phase == lifecycle.Starting:
		return nil, verdict.New(verdict.NotRun, codeHostStopping, "this host is %s", snapshot.Phase)
	case snapshot.Plan == nil || snapshot.Plan.Version < m.GetPlan():
		s.d.loop.TryPost(control.FollowEvent{Event: follow.PlanAhead{Host: m.GetFrom(), Version: m.GetPlan()}})
		return nil, verdict.New(verdict.NotRun, codePlanBehind, "this host lacks route plan %d", m.GetPlan())
	}
	route := snapshot.Plan.Route(string(m.GetHost()), string(m.GetPath()))
	p := s.d.gather.placement.Load()
	switch {
	case route == nil:
		return nil, verdict.New(verdict.NotRun, routeplan.CodeNoRoute, "route plan %d has no route for this path", snapshot.Plan.Version)
	case p != nil && p.unknown:
		return nil, verdict.New(verdict.NotRun, codeNotGatherer, "this host has not found the other hosts yet")
	case !gatheringrpc.SameShards(m, route):
		return nil, verdict.New(verdict.NotRun, codePlanDiffers, "the shards of the route differ between this host's plan %d and plan %d", snapshot.Plan.Version, m.GetPlan())
	}
	return route, nil
}
