package querybench

import (
	"math/rand/v2"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// chooserKind selects how replicas are chosen.
type chooserKind uint8

const (
	chooseRandom chooserKind = iota
	chooseTwo
	chooseOmniscient
	chooseReported
	chooseAffinity
	chooseShared
	chooseHost
)

// Policy configures how the queries of a case run.
type Policy struct {
	Name       string
	Limits     query.BudgetLimits
	FixedDelay time.Duration // hedge delay; zero: adaptive
	NoHedge    bool
	OverMedian float64 // limit of the hedge delay as a multiple of the median; zero: the default; negative: none
	NoHoldBack bool    // hedge however many shards are open
	SmallBurst bool    // keep the minimum burst for any number of shards
	GateSignal bool    // no hedges while queries wait at the gate
	Caching    bool    // targets cache the terms they served
	Overflow   int     // sub-requests in flight at which AffinityChooser leaves the preferred replica
	choice     chooserKind
	HostGate   bool // admit queries with package admission
}

// noLimit is a limit that is never reached.
const noLimit = 1_000_000

var unlimited = query.BudgetLimits{
	HedgePermille: noLimit, HedgeBurst: noLimit,
	RetryPermille: query.DefaultRetryPermille, RetryBurst: query.DefaultRetryBurst,
}

// fixedDelay is the hedge delay of the policy Fixed. It suits about half load.
const fixedDelay = 15 * time.Millisecond

// Policies that the report compares.
var (
	Random     = Policy{Name: "a random", NoHedge: true, Limits: query.DefaultBudgetLimits(), choice: chooseRandom}
	Fixed      = Policy{Name: "b fixed delay", FixedDelay: fixedDelay, Limits: unlimited, choice: chooseTwo}
	Omniscient = Policy{Name: "c omniscient", NoHedge: true, Limits: query.DefaultBudgetLimits(), choice: chooseOmniscient}
	Ours       = Policy{Name: "ours", Limits: query.DefaultBudgetLimits(), choice: chooseTwo}
	Shared     = Policy{Name: "shared queue lengths", Limits: query.DefaultBudgetLimits(), choice: chooseShared}
	NoHedging  = Policy{Name: "no hedging", NoHedge: true, Limits: query.DefaultBudgetLimits(), choice: chooseTwo}
	Reported   = Policy{Name: "reported load", Limits: query.DefaultBudgetLimits(), choice: chooseReported}
)

// base returns the policy of a group that has not observed latencies.
func (p *Policy) base() query.Policy {
	base := query.DefaultPolicy()
	if p.NoHedge {
		base.HedgeDelay = 0
	}
	if p.Limits.HedgePermille < noLimit {
		base.HedgePermille = p.Limits.HedgePermille
	}
	if p.OverMedian != 0 {
		base.HedgeOverMedian = max(p.OverMedian, 0)
	}
	return base
}

// adjust changes the policy that the group gives to a query.
func (p *Policy) adjust(policy *query.Policy) {
	if p.FixedDelay > 0 {
		policy.HedgeDelay = p.FixedDelay
	}
	if p.FixedDelay > 0 || p.NoHoldBack {
		policy.HedgePermille = noLimit
	}
}

func (p *Policy) balancer(b *bench, rng *rand.Rand) Balancer {
	switch p.choice {
	case chooseRandom:
		return randomBalancer{query.NewRandomChooser(rng)}
	case chooseOmniscient:
		return omniscient{b}
	case chooseShared:
		return sharedQueues{b}
	case chooseHost:
		return newHostBalancer(rng, b.c.Hosts)
	case chooseReported:
		c := newTwoChoices(rng, len(b.searchers))
		c.reports = b.reports()
		return c
	default:
		return newTwoChoices(rng, len(b.searchers))
	}
}

func (p *Policy) gate(b *bench) Gate {
	if p.HostGate {
		return newHostGate(b.time())
	}
	return newFixedGate(b.c.Shape, b.c.Hosts)
}

// chooser returns the chooser of one query.
func (p *Policy) chooser(b *bench, a *activeQuery) query.Chooser {
	if p.choice == chooseAffinity {
		return b.affinityChooser(a)
	}
	return a.host.balancer
}
