package control

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// Snapshot is what traffic goroutines read of the control state. It is
// immutable.
type Snapshot struct {
	Gate     entry.Gate
	Ready    bool // the load balancer should send work
	Table    *routing.Table
	Catalogs map[string]*query.Catalog  // by group
	Members  map[string][]query.Replica // one searcher of each target, by group
	Targets  *targets.View
	Leader   consensus.Member // zero if unknown
	Revision uint64
	Term     uint64 // of the latest confirmation
	Phase    lifecycle.Phase

	ConfirmedAt time.Time
	Agreed      config.Members // agreed member list
	Hosts       []Host         // known hosts, by name
	Shares      connections.View
}

// Host is what the snapshot says of a host.
type Host struct {
	Host          string
	Region        string
	FailureDomain string
	Roles         []string
	Incarnation   uint64
	Peer          netip.AddrPort
	Live          bool
	Draining      bool // it said that it takes no new work
	Revision      uint64
	LastHeard     time.Time
}

// shared notes what changed since the last published snapshot.
type shared struct {
	stale      bool
	tableStale bool
}

// Snapshot returns the present snapshot. It builds a new one only if
// something changed.
func (c *Core) Snapshot(now time.Time) *Snapshot {
	view, gate := c.registry.View(), c.gate(now)
	old := c.snapshot
	if old != nil && !c.shared.stale && !c.shared.tableStale && old.Targets == view && old.Gate == gate {
		return old
	}
	s := &Snapshot{
		Gate: gate, Ready: c.life.Ready(), Targets: view, Leader: c.leader, Revision: c.store.Revision(), Term: c.confirmed.Term,
		Phase: c.life.Phase(), ConfirmedAt: c.confirmed.At, Agreed: c.store.Members(), Hosts: c.known, Shares: c.shares.View(now),
	}
	if old != nil && !c.shared.tableStale && old.Targets == view {
		s.Table, s.Catalogs, s.Members = old.Table, old.Catalogs, old.Members
	} else {
		s.Table = c.store.Table()
		s.Catalogs = buildCatalogs(s.Table, view)
		s.Members = buildMembers(s.Table, view)
	}
	c.shared = shared{}
	c.snapshot = s
	return s
}

func buildCatalogs(table *routing.Table, view *targets.View) map[string]*query.Catalog {
	snapshots := view.Snapshots()
	out := make(map[string]*query.Catalog)
	for _, name := range table.GroupNames() {
		g, _ := table.Group(name)
		out[name] = buildCatalog(g, snapshots)
	}
	return out
}

// buildMembers lists the targets of each group that take new work, in order
// of their names.
func buildMembers(table *routing.Table, view *targets.View) map[string][]query.Replica {
	out := make(map[string][]query.Replica)
	for r := range view.Targets() {
		if r.Status != targets.StatusAlive {
			continue
		}
		for _, group := range table.GroupsOf(r.Labels) {
			out[group] = append(out[group], replicaOf(targets.Replica{Target: r}))
		}
	}
	for _, members := range out {
		slices.SortFunc(members, func(a, b query.Replica) int { return strings.Compare(a.Target, b.Target) })
	}
	return out
}

// buildCatalog lists the index snapshots of which the group's targets hold at
// least one shard.
func buildCatalog(g routing.Group, snapshots []*targets.Snapshot) *query.Catalog {
	c := &query.Catalog{Group: g.Name}
	members := map[*targets.Record]bool{}
	for _, s := range snapshots {
		qs := query.Snapshot{Name: s.IndexSnapshot, Generation: s.Generation, Layout: s.Shards, Replicas: make([][]query.Replica, len(s.Shards))}
		for i := range s.Shards {
			for _, r := range s.ReplicasAt(i) {
				in, seen := members[r.Target]
				if !seen {
					in = routing.Labels(r.Target.Labels).Matches(g.Match)
					members[r.Target] = in
				}
				if in {
					qs.Replicas[i] = append(qs.Replicas[i], replicaOf(r))
				}
			}
		}
		if qs.Covered() > 0 {
			c.Snapshots = append(c.Snapshots, qs)
		}
	}
	return c
}

func replicaOf(r targets.Replica) query.Replica {
	s := r.Target.Searchers[r.Searcher]
	return query.Replica{
		Target: r.Target.Target, Searcher: s.Name, Address: r.Target.Address,
		FailureDomain: r.Target.FailureDomain, Slots: s.Slots, Incarnation: r.Target.Incarnation,
		Cold: r.Target.Phase == targets.Cold, Unhealthy: !r.Target.Reported.Healthy, Load: r.Target.Reported.Load,
	}
}

// Dump is a copy of the control state for the state dump.
type Dump struct {
	Now       time.Time
	Revision  uint64
	Confirmed time.Time
	Phase     lifecycle.Phase
	Gate      entry.Gate
	Feeds     []string
	Followers int
	Pending   int
	Targets   int
	Members   config.Members
	Freshness string
	Shares    string
	Live      []membership.Member
	Consensus *consensus.Status `json:",omitempty"`
}

func (c *Core) dump(now time.Time) Dump {
	d := Dump{
		Now: now, Revision: c.store.Revision(), Confirmed: c.confirmed.At, Phase: c.life.Phase(), Gate: c.gate(now),
		Feeds: c.follower.Feeds(), Followers: c.feed.Followers(), Pending: c.tracker.Len(),
		Targets: c.registry.View().Len(), Members: c.store.Members(), Freshness: c.members.Freshness(now).String(),
		Shares: c.shares.View(now).Phase().String(), Live: c.members.Live(),
	}
	if c.node != nil {
		s := c.node.Status()
		d.Consensus = &s
	}
	return d
}
