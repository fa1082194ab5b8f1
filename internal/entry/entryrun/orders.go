package entryrun

import (
	"context"
	"net/http"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/entry/entryhttp"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrun"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets/targethttp"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// maxOrderTargets is the number of targets that an order is tried at.
const maxOrderTargets = 3

// Orders runs orders. It is safe for concurrent use.
type Orders struct {
	snapshots Snapshots
	driver    *ordersrun.Driver
	client    *targethttp.Client
	groups    *Groups
	inFlight  *InFlight
	observer  Observer
	timeouts  entry.Timeouts
	log       *eventlog.Logger
}

// NewOrders returns the service that runs orders with driver.
func NewOrders(s Snapshots, driver *ordersrun.Driver, client *targethttp.Client, groups *Groups, inFlight *InFlight, o Observer, t entry.Timeouts, log *eventlog.Logger) *Orders {
	return &Orders{snapshots: s, driver: driver, client: client, groups: groups, inFlight: inFlight, observer: o, timeouts: t, log: log}
}

// Order runs one order at most once.
func (s *Orders) Order(ctx context.Context, o entry.OrderRequest) (*entryhttp.OrderResult, error) {
	defer s.inFlight.Begin()()
	bound, unbind := s.inFlight.Bind(ctx)
	defer unbind()
	result, err := s.run(bound, o)
	err = s.inFlight.explain(ctx, err)
	v := verdict.Ran
	if err != nil {
		v = verdict.Of(err)
		s.logFailure(o.RequestID, v, err)
	}
	s.observer.ObserveOrder(v, err)
	return result, err
}

func (s *Orders) logFailure(requestID string, v verdict.Verdict, err error) {
	event := eventOrderUnknown
	if v == verdict.NotRun {
		event = eventOrderRefused
	}
	s.log.Log(event).Str("request_id", requestID).Str("code", string(verdict.CodeOf(err))).Err(err).Send()
}

func (s *Orders) run(ctx context.Context, o entry.OrderRequest) (*entryhttp.OrderResult, error) {
	now := time.Now()
	snapshot := s.snapshots.Snapshot()
	if err := snapshot.Gate.Check(s.snapshots.Now()); err != nil {
		return nil, err
	}
	group, _, err := snapshot.Table.Route(routing.Request{Team: o.Team, Labels: o.Labels, Group: o.Group})
	if err != nil {
		return nil, err
	}
	if _, err := orders.IssuedAt(o.RequestID); err != nil {
		return nil, err
	}
	req := orders.Request{
		ID: o.RequestID, Content: orders.HashContent(o.Team, o.Labels, o.Group, o.Body),
		Deadline: now.Add(s.timeouts.Of(o.Timeout, group.Limits)), First: o.First,
	}
	result, err := s.driver.Run(ctx, req, func(ctx context.Context) orders.TargetReplied {
		return s.dispatch(ctx, group, o)
	})
	if err != nil {
		return nil, err
	}
	return &entryhttp.OrderResult{RequestID: o.RequestID, Result: result.Body}, nil
}

// LookUpOrder returns the recorded result of an order.
func (s *Orders) LookUpOrder(ctx context.Context, requestID string) (*entryhttp.OrderResult, error) {
	result, err := s.driver.LookUp(ctx, requestID)
	if err != nil {
		return nil, err
	}
	return &entryhttp.OrderResult{RequestID: requestID, Result: result.Body}, nil
}

// dispatch sends the order to one target at a time. It tries the next target
// only if it is certain that the order did not run at the previous one.
func (s *Orders) dispatch(ctx context.Context, group routing.Group, o entry.OrderRequest) orders.TargetReplied {
	tried := make(map[string]bool)
	reply := orders.TargetReplied{Verdict: verdict.NotRun, Reason: "the group has no target that takes new work"}
	for range maxOrderTargets {
		candidates := candidatesFor(s.snapshots.Snapshot(), group, tried)
		if len(candidates) == 0 || ctx.Err() != nil {
			return reply
		}
		var target string
		target, reply = s.send(ctx, group, candidates, o)
		if reply.Verdict != verdict.NotRun {
			return reply
		}
		tried[target] = true
	}
	return reply
}

func candidatesFor(snapshot *control.Snapshot, group routing.Group, tried map[string]bool) []query.Replica {
	var out []query.Replica
	for _, r := range snapshot.GroupMembers[group.Name] {
		if !tried[r.Target] {
			out = append(out, r)
		}
	}
	return out
}

func (s *Orders) send(ctx context.Context, group routing.Group, candidates []query.Replica, o entry.OrderRequest) (string, orders.TargetReplied) {
	b := s.groups.get(group).balancer
	cost := b.Estimate(workload.Features{Route: "order", Body: len(o.Body)})
	choices := make([]balance.Replica, len(candidates))
	addresses := make(map[balance.Key]query.Replica, len(candidates))
	for i, r := range candidates {
		choices[i] = balanceReplica(r)
		choices[i].Cost = cost
		addresses[choices[i].Key] = r
	}
	replica, err := b.Acquire(ctx, choices, balance.PickOptions{})
	if err != nil {
		return "", orders.TargetReplied{Verdict: verdict.NotRun, Reason: err.Error()}
	}
	if s.groups.withdrawn(replica.FailureDomain) {
		b.Release(replica, balance.Outcome{Kind: balance.Canceled})
		return replica.Target, orders.TargetReplied{Verdict: verdict.NotRun, Reason: errWithdrawn(verdict.CodeUnavailable, replica.FailureDomain).Error()}
	}
	start := time.Now()
	reply, err := s.client.Order(ctx, addresses[replica.Key].Address, targethttp.OrderRequest{RequestID: o.RequestID, Body: o.Body})
	b.Release(replica, balance.Outcome{Kind: outcomeOf(ctx, err), Latency: time.Since(start)})
	if err != nil {
		return replica.Target, orders.TargetReplied{Verdict: verdict.Of(err), Reason: err.Error()}
	}
	return replica.Target, orders.TargetReplied{Verdict: verdict.Ran, Result: orders.Result{Status: http.StatusOK, Body: reply.Result}}
}
