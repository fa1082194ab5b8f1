package entryrun

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/admission/admissionrun"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/query/queryrun"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Snapshots returns the latest control snapshot.
type Snapshots interface {
	Snapshot() *control.Snapshot
	// Now returns the time by the clock of the snapshots, which differs from that of
	// the runtime once the machine has been suspended.
	Now() time.Time
}

// Observer receives the outcome of each request. Its methods must not block.
type Observer interface {
	ObserveQuery(group string, took time.Duration, a *query.Answer, err error)
	ObserveOrder(v verdict.Verdict, err error)
}

// Queries answers queries. It is safe for concurrent use.
type Queries struct {
	snapshots Snapshots
	driver    *queryrun.Driver
	groups    *Groups
	admission *admissionrun.Controller
	inFlight  *InFlight
	observer  Observer
	timeouts  entry.Timeouts
}

// NewQueries returns the service that runs queries with driver.
func NewQueries(s Snapshots, driver *queryrun.Driver, groups *Groups, controller *admissionrun.Controller, inFlight *InFlight, o Observer, t entry.Timeouts) *Queries {
	return &Queries{snapshots: s, driver: driver, groups: groups, admission: controller, inFlight: inFlight, observer: o, timeouts: t}
}

// Query runs one query.
func (s *Queries) Query(ctx context.Context, q entry.QueryRequest) (*query.Answer, error) {
	// The request is counted before it checks the gate, so that a shutdown that
	// has closed the gate waits for every request that passed it.
	defer s.inFlight.Begin()()
	now := time.Now()
	bound, unbind := s.inFlight.Bind(ctx)
	defer unbind()
	group, answer, err := s.run(bound, now, q)
	err = s.inFlight.explain(ctx, err)
	s.observer.ObserveQuery(group, time.Since(now), answer, err)
	return answer, err
}

func (s *Queries) run(ctx context.Context, now time.Time, q entry.QueryRequest) (string, *query.Answer, error) {
	snapshot := s.snapshots.Snapshot()
	if err := snapshot.Gate.Check(s.snapshots.Now()); err != nil {
		return "", nil, err
	}
	group, _, err := snapshot.Table.Route(routing.Request{Team: q.Team, Labels: q.Labels, Group: q.Group})
	if err != nil {
		return "", nil, err
	}
	deadline := now.Add(s.timeouts.Of(q.Timeout, group.Limits))
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	release, err := s.admission.Admit(waitCtx, admissionrun.Query{Group: group.Name, Team: q.Team, Caller: q.Caller})
	if err != nil {
		return "", nil, err
	}
	g := s.groups.get(group)
	c := &chooser{group: g, cost: g.balancer.Estimate(queryFeatures(q))}
	defer c.releaseUnused()
	answer, err := s.driver.Do(withChooser(ctx, c), query.Query{
		RequestID: q.RequestID, Group: group.Name, Terms: q.Terms, K: q.K, Deadline: deadline, MinCoverage: q.MinCoverage,
	}, g.queryGroup, c)
	release(admissionResult(ctx, answer, err))
	return group.Name, answer, err
}

// queryFeatures returns what the cost of a sub-request is estimated by: the work of a
// searcher grows with the terms and with the hits that it ranks.
func queryFeatures(q entry.QueryRequest) workload.Features {
	return workload.Features{Route: "query", Body: len(q.Terms) + q.K}
}

// admissionResult returns what the outcome of a query tells admission control
// about the load on the targets of its group.
func admissionResult(ctx context.Context, a *query.Answer, err error) admission.Result {
	if ctx.Err() != nil {
		return admission.Abandoned
	}
	if err != nil {
		if verdict.CodeOf(err) == verdict.CodeDeadlineExceeded {
			return admission.Overloaded
		}
		return admission.Completed
	}
	for _, m := range a.Coverage.Missing {
		if m.Reason == query.ReasonShed || m.Reason == query.ReasonTimeout {
			return admission.Overloaded
		}
	}
	return admission.Completed
}
