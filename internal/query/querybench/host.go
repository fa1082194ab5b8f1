package querybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// hostBalancer chooses replicas with package balance. Unlike a host, the bench
// does not delay sub-requests when a searcher is at its limit.
type hostBalancer struct {
	state   *balance.State
	rng     *rand.Rand
	scratch []balance.Replica
	avoid   [1]balance.Replica
}

func newHostBalancer(rng *rand.Rand, hosts int) *hostBalancer {
	return &hostBalancer{state: balance.New(balance.Config{Hosts: hosts}), rng: rng}
}

func (c *hostBalancer) Pick(now time.Time, candidates []query.Replica, avoidDomain string) (int, bool) {
	c.scratch = c.scratch[:0]
	for i := range candidates {
		c.scratch = append(c.scratch, balanceReplica(&candidates[i]))
	}
	var opts balance.PickOptions
	if avoidDomain != "" {
		c.avoid[0] = balance.Replica{FailureDomain: avoidDomain}
		opts.Avoid = c.avoid[:]
	}
	picked, result := c.state.Pick(now, c.scratch, opts, c.rng)
	for i := range c.scratch {
		if result != balance.NoCandidate && c.scratch[i].Key == picked.Key {
			return i, true
		}
	}
	return 0, false
}

func balanceReplica(r *query.Replica) balance.Replica {
	return balance.Replica{Key: balance.Key{Target: r.Target, Searcher: r.Searcher}, FailureDomain: r.FailureDomain, Slots: max(1, r.Slots)}
}

func (c *hostBalancer) Sent(now time.Time, r query.Replica) { c.state.Begin(now, balanceReplica(&r)) }

func (c *hostBalancer) Done(now time.Time, r query.Replica, latency time.Duration, end Outcome) {
	kinds := [...]balance.Kind{Answered: balance.OK, Failed: balance.Failed, Cancelled: balance.Canceled, CancelledHedge: balance.Canceled}
	c.state.End(now, balanceReplica(&r).Key, balance.Outcome{Kind: kinds[end], Latency: latency})
}

// benchGroup is the only group of the bench.
const benchGroup = "bench"

// hostGate admits queries with package admission. Every query has its own
// caller.
type hostGate struct {
	queue          *admission.Queue
	waiting        map[uint64]*activeQuery
	epoch          time.Time
	saturatedUntil time.Duration // set when a query has waited longer than saturatedWait
}

func newHostGate(epoch time.Time) *hostGate {
	g := &hostGate{queue: admission.New(admission.Config{TeamConcurrency: noLimit, CallerConcurrency: noLimit}), waiting: map[uint64]*activeQuery{}, epoch: epoch}
	g.queue.Step(epoch, admission.Configure{Groups: []routing.Group{{Name: benchGroup}}})
	return g
}

func (g *hostGate) Arrive(now time.Duration, a *activeQuery) Admission {
	id := uint64(a.id)
	at := g.epoch.Add(now)
	g.waiting[id] = a
	for _, d := range g.queue.Step(at, admission.Arrive{
		ID: id, Group: benchGroup, Team: "t", Caller: strconv.Itoa(a.id), Deadline: at.Add(deadline),
	}) {
		if d.ID != id {
			continue
		}
		switch d.Kind {
		case admission.Admit:
			delete(g.waiting, id)
			return Start
		case admission.Refuse:
			delete(g.waiting, id)
			return Refuse
		}
	}
	return Wait
}

func (g *hostGate) Leave(now time.Duration, ended *activeQuery) (start, refuse []*activeQuery) {
	result := admission.Completed
	if ended.overloaded {
		result = admission.Overloaded
	}
	at := g.epoch.Add(now)
	decisions := append([]admission.Decision(nil), g.queue.Step(at, admission.Done{ID: uint64(ended.id), Result: result})...)
	decisions = append(decisions, g.queue.Step(at, admission.Expire{})...)
	for _, d := range decisions {
		a := g.waiting[d.ID]
		if a == nil {
			continue
		}
		delete(g.waiting, d.ID)
		if d.Kind == admission.Refuse {
			refuse = append(refuse, a)
			continue
		}
		if now-a.arrived > saturatedWait {
			g.saturatedUntil = now + saturatedFor
		}
		start = append(start, a)
	}
	return start, refuse
}

func (g *hostGate) Saturated(now time.Duration) bool { return now < g.saturatedUntil }
