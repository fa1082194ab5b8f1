package entryrun

import (
	"math/rand/v2"
	"sync"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/balance/balancerun"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// group holds the state that the requests of one group share on this host.
type group struct {
	limits     routing.Limits
	queryGroup *query.Group
	balancer   *balancerun.Balancer
	sheds      *shedMeter
	withdrawn  func(failureDomain string) bool
}

// Groups holds the traffic state of all groups. It is safe for concurrent
// use.
type Groups struct {
	log    *eventlog.Logger
	limits query.BudgetLimits
	seed   uint64
	// withdrawn reports whether nothing may be sent to the targets of a failure domain.
	withdrawn func(failureDomain string) bool

	mu     sync.RWMutex
	hosts  int
	groups map[string]*group
}

// NewGroups returns an empty set. The limits apply to groups that set none.
func NewGroups(limits query.BudgetLimits, seed uint64, log *eventlog.Logger) *Groups {
	return &Groups{log: log, limits: limits, seed: seed, withdrawn: func(string) bool { return false }, hosts: 1, groups: make(map[string]*group)}
}

// SetWithdrawn sets what reports whether nothing may be sent to the targets of a failure
// domain. It must be called before the first request.
func (g *Groups) SetWithdrawn(f func(failureDomain string) bool) { g.withdrawn = f }

// get returns the state of a group. When the limits of a group change, its
// budgets, latencies and shed meter are reset, and its balancer is kept.
func (g *Groups) get(want routing.Group) *group {
	g.mu.RLock()
	known := g.groups[want.Name]
	g.mu.RUnlock()
	if known != nil && known.limits == want.Limits {
		return known
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known = g.groups[want.Name]
	if known != nil && known.limits == want.Limits {
		return known
	}
	fresh := &group{limits: want.Limits, queryGroup: g.newQueryGroup(want.Limits), sheds: &shedMeter{}, withdrawn: g.withdrawn}
	if known != nil {
		fresh.balancer = known.balancer
	} else {
		rng := rand.New(rand.NewPCG(g.seed, uint64(len(g.groups))))
		fresh.balancer = balancerun.New(balance.Config{Hosts: g.hosts}, rng, g.log)
	}
	g.groups[want.Name] = fresh
	return fresh
}

func (g *Groups) newQueryGroup(l routing.Limits) *query.Group {
	limits := g.limits
	if l.HedgePermille > 0 {
		limits.HedgePermille = l.HedgePermille
	}
	policy := query.DefaultPolicy()
	policy.HedgePermille = limits.HedgePermille
	return query.NewGroup(policy, limits)
}

// SetHosts changes how many hosts share each searcher's slots.
func (g *Groups) SetHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = max(1, n)
	for _, grp := range g.groups {
		grp.balancer.SetHosts(g.hosts)
	}
}

// Retain removes the groups without a catalog, and the balancer state of
// searchers that are not in their group's catalog.
func (g *Groups) Retain(catalogs map[string]*query.Catalog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, grp := range g.groups {
		c := catalogs[name]
		if c == nil {
			delete(g.groups, name)
			continue
		}
		present := searchersOf(c)
		grp.balancer.Retain(func(k balance.Key) bool { return present[k] })
	}
}

func searchersOf(c *query.Catalog) map[balance.Key]bool {
	out := make(map[balance.Key]bool)
	for _, s := range c.Snapshots {
		for _, replicas := range s.Replicas {
			for _, r := range replicas {
				out[balance.Key{Target: r.Target, Searcher: r.Searcher}] = true
			}
		}
	}
	return out
}

// GroupStats is the traffic state of one group for state dumps.
type GroupStats struct {
	Group     string
	Searchers []balance.Stats
	Waiting   int // sub-requests that wait for a slot
}

// Stats returns the state of all groups.
func (g *Groups) Stats() []GroupStats {
	g.mu.RLock()
	defer g.mu.RUnlock()
	out := make([]GroupStats, 0, len(g.groups))
	for name, grp := range g.groups {
		stats, waiting := grp.balancer.Snapshot()
		s := GroupStats{Group: name, Searchers: stats}
		for _, n := range waiting {
			s.Waiting += n
		}
		out = append(out, s)
	}
	return out
}

func balanceReplica(r query.Replica) balance.Replica {
	return balance.Replica{
		Key: balance.Key{Target: r.Target, Searcher: r.Searcher}, FailureDomain: r.FailureDomain, Slots: r.Slots,
		Cold: r.Cold, Hint: balance.Hint{Unhealthy: r.Unhealthy, Load: r.Load},
	}
}
