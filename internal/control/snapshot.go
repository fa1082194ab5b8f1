package control

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Snapshot is the part of the control state that traffic goroutines read. It is
// immutable. Its times are of the clock of the control loop.
type Snapshot struct {
	Gate         entry.Gate
	Ready        bool // the load balancer should send work
	Table        *routing.Table
	Catalogs     map[string]*query.Catalog  // by group
	GroupMembers map[string][]query.Replica // one searcher of each target that takes new work, by group
	Targets      *targets.View
	Plan         *routeplan.Table // nil before the first plan
	Withdrawals  *withdrawal.Set  // nil before the first order
	// WithdrawalsKnown is set once this host has had the withdrawals that the leader had
	// confirmed, or has waited for a confirmation long enough. Before, it may lack some.
	WithdrawalsKnown bool
	Leader           consensus.Member // zero if unknown
	Revision         uint64
	Term             uint64 // of the latest confirmation
	Phase            lifecycle.Phase

	ConfirmedAt time.Time
	// PlanConfirmedAt is when a leader last stated that no plan newer than Plan was
	// accepted. It is zero if none has done so since the start of this process.
	PlanConfirmedAt time.Time
	AgreedMembers   config.Members // agreed member list
	// MembersConfirmedAt is when a leader last stated that no list newer than
	// AgreedMembers was accepted. It is zero if none has done so since the start of this
	// process.
	MembersConfirmedAt time.Time
	Hosts              []Host  // known hosts, by name
	Voters             []Voter // on a host with a log, by name and identity
	Shares             connections.View
}

// Host describes a host in a snapshot.
type Host struct {
	Host          string
	Region        string
	FailureDomain string
	Roles         []string
	Incarnation   uint64
	Capacity      uint32
	Peer          netip.AddrPort
	Live          bool
	Draining      bool // it reports that it takes no new work
	Revision      uint64
	LastHeard     time.Time
}

// Voter is a host that holds the replicated log. A learner receives the log
// and has no vote.
type Voter struct {
	Host     string
	Identity consensus.Identity
	Address  string
	Learner  bool
	Match    uint64 // highest log index that the leader knows it to hold; 0 on other hosts
}

// dirty records what changed since the last published snapshot.
type dirty struct {
	snapshot bool
	table    bool
}

// Snapshot returns the current snapshot. It builds a new one only if
// something changed.
func (c *Core) Snapshot(now time.Time) *Snapshot {
	view, gate := c.registry.View(), c.gate(now)
	old := c.snapshot
	known := old != nil && old.WithdrawalsKnown || c.withdrawalsKnown(now)
	if old != nil && !c.dirty.snapshot && !c.dirty.table && old.Targets == view && old.Gate == gate && old.WithdrawalsKnown == known {
		return old
	}
	s := &Snapshot{
		Gate: gate, Ready: c.life.Ready(), Targets: view, Leader: c.leader, Revision: c.store.Revision(), Term: c.confirmed.Term,
		Plan: c.plans.Table(), Withdrawals: c.withdrawals.inForce, WithdrawalsKnown: known,
		Phase: c.life.Phase(), ConfirmedAt: c.confirmed.At, PlanConfirmedAt: c.planConfirmed.Since(), AgreedMembers: c.store.Members(), MembersConfirmedAt: c.agreed.at, Hosts: c.knownHosts, Shares: c.shares.View(now), Voters: c.voters(),
	}
	if old != nil && !c.dirty.table && old.Targets == view {
		s.Table, s.Catalogs, s.GroupMembers = old.Table, old.Catalogs, old.GroupMembers
	} else {
		s.Table = c.store.Table()
		c.catalogs.update(s.Table, view, s.Withdrawals, c.changed)
		clear(c.changed)
		s.Catalogs, s.GroupMembers = c.catalogs.byGroup, c.catalogs.groupMembers
	}
	c.dirty = dirty{}
	c.snapshot = s
	return s
}

func replicaOf(r targets.Replica) query.Replica {
	s := r.Target.Searchers[r.Searcher]
	return query.Replica{
		Target: r.Target.Target, Searcher: s.Name, Address: r.Target.Address,
		FailureDomain: r.Target.FailureDomain, Slots: s.Slots, Incarnation: r.Target.Incarnation,
		Cold: r.Target.Phase == targets.Cold, Unhealthy: !r.Target.Reported.Healthy, Load: r.Target.Reported.Load,
	}
}

func (c *Core) voters() []Voter {
	if c.node == nil {
		return nil
	}
	s := c.node.Status()
	match := make(map[consensus.Identity]uint64, len(s.Followers))
	for _, f := range s.Followers {
		match[f.Member.Identity] = f.Match
	}
	if s.Role == consensus.Leader {
		match[s.Self.Identity] = s.LastIndex
	}
	var out []Voter
	for i, m := range slices.Concat(s.Voters, s.Learners) {
		out = append(out, Voter{Host: m.Name, Identity: m.Identity, Address: m.Address, Learner: i >= len(s.Voters), Match: match[m.Identity]})
	}
	slices.SortFunc(out, func(a, b Voter) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Identity, b.Identity))
	})
	return out
}

// Dump is a copy of the control state for the state dump.
type Dump struct {
	Now       time.Time
	Revision  uint64
	Plan      uint64   // version of the route plan in force
	Withdrawn []string `json:",omitempty"` // failure domains
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
		Now: now, Revision: c.store.Revision(), Plan: c.plans.Version(), Withdrawn: c.withdrawals.inForce.Names(), Confirmed: c.confirmed.At, Phase: c.life.Phase(), Gate: c.gate(now),
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
