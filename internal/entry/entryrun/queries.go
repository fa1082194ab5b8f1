package entryrun

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/query/queryrun"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Snapshots gives the latest control snapshot.
type Snapshots interface {
	Snapshot() *control.Snapshot
}

// Queries answers queries. It is safe for concurrent use.
type Queries struct {
	snapshots Snapshots
	driver    *queryrun.Driver
	limits    query.BudgetLimits
	seed      uint64
	count     atomic.Uint64

	mu     sync.Mutex
	groups map[string]*query.Group
}

// NewQueries returns the service that runs queries with driver.
func NewQueries(s Snapshots, driver *queryrun.Driver, limits query.BudgetLimits, seed uint64) *Queries {
	return &Queries{snapshots: s, driver: driver, limits: limits, seed: seed, groups: make(map[string]*query.Group)}
}

// Query runs one query.
func (s *Queries) Query(ctx context.Context, q entry.QueryRequest) (*query.Answer, error) {
	now := time.Now()
	snapshot := s.snapshots.Snapshot()
	if err := snapshot.Gate.Check(now); err != nil {
		return nil, err
	}
	group, _, err := snapshot.Table.Route(routing.Request{Team: q.Team, Labels: q.Labels, Group: q.Group})
	if err != nil {
		return nil, err
	}
	run := query.Query{
		RequestID: q.RequestID, Group: group.Name, Terms: q.Terms, K: q.K,
		Deadline: now.Add(q.Timeout), MinCoverage: q.MinCoverage,
	}
	chooser := query.NewRandomChooser(rand.New(rand.NewPCG(s.seed, s.count.Add(1))))
	return s.driver.Do(ctx, run, s.group(group), chooser)
}

func (s *Queries) group(g routing.Group) *query.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.groups[g.Name]; known != nil {
		return known
	}
	limits := s.limits
	if g.Limits.HedgePermille > 0 {
		limits.HedgePermille = g.Limits.HedgePermille
	}
	policy := query.DefaultPolicy()
	policy.HedgePermille = limits.HedgePermille
	known := query.NewGroup(policy, limits)
	s.groups[g.Name] = known
	return known
}
