package confighttp

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Backend gives the administration API access to the daemon. Its methods must
// be safe for concurrent use. Errors carry a verdict; an error without one
// counts as may_have_run.
type Backend interface {
	// Propose submits a change and returns its result. After an error with
	// verdict MayHaveRun the change may still be accepted.
	Propose(ctx context.Context, c config.Change) (config.Result, error)
	// DryRun decides a change without applying it and shows its effects on the
	// known targets and on routing.
	DryRun(ctx context.Context, c config.Change) (config.Preview, error)
	// Lookup returns the result of a past change.
	Lookup(ctx context.Context, changeID string) (config.Result, bool, error)
	// History returns up to limit accepted changes with revisions of at least
	// from, oldest first.
	History(ctx context.Context, from uint64, limit int) ([]config.Entry, error)
	// Table returns the groups and selectors in force at this host.
	Table() *routing.Table
	Targets() []Target
	Hosts() []Host
	State() State
	// DrainHost makes a host refuse new work and stay up.
	DrainHost(ctx context.Context, host string) error
	// ResumeHost ends the drain of a host.
	ResumeHost(ctx context.Context, host string) error
	// Voters returns the hosts that hold the replicated log. It returns an
	// error on a host without a log.
	Voters() ([]Voter, error)
	// RemoveVoter permanently revokes the vote of an identity.
	RemoveVoter(ctx context.Context, identity string) error
	DomainBackend
}

// Target is a target as the answering host sees it.
type Target struct {
	Target        string            `json:"target"`
	Address       string            `json:"address"`
	FailureDomain string            `json:"failure_domain"`
	Labels        map[string]string `json:"labels"`
	State         string            `json:"state"` // ready, draining or cold
	Incarnation   uint64            `json:"incarnation"`
	Searchers     int               `json:"searchers"`
	Slots         int               `json:"slots"`
	Snapshots     []string          `json:"index_snapshots,omitempty"`
	Groups        []string          `json:"groups"`
	// NoWork lists the reasons why the target receives no new work, for
	// example draining or ejection. It is empty for a target in use.
	NoWork []string `json:"no_work,omitempty"`
}

// Targets lists the known targets.
type Targets struct {
	Revision uint64   `json:"revision"`
	Targets  []Target `json:"targets"`
}

// TargetExplanation shows why a target belongs to its groups and not to others.
type TargetExplanation struct {
	Revision uint64            `json:"revision"`
	Target   Target            `json:"target"`
	Groups   []GroupMembership `json:"groups"`
}

// GroupMembership tells whether a target belongs to a group, and why.
type GroupMembership struct {
	Group  string `json:"group"`
	Member bool   `json:"member"`
	Reason string `json:"reason"`
}

// Host is a host as the answering host sees it.
type Host struct {
	Host          string    `json:"host"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Roles         []string  `json:"roles"`
	Incarnation   uint64    `json:"incarnation"`
	Member        bool      `json:"member"` // in the agreed member list
	Live          bool      `json:"live"`
	Draining      bool      `json:"draining"` // live but not ready: starting, draining or stopping
	Leader        bool      `json:"leader"`
	Revision      uint64    `json:"revision"` // in force at that host
	LastHeard     time.Time `json:"last_heard"`
}

// Voter is a host that holds the replicated log.
type Voter struct {
	Host     string `json:"host"`
	Identity string `json:"identity"` // of its data directory
	Address  string `json:"address"`
	Learner  bool   `json:"learner"`         // receives the log and has no vote yet
	Match    uint64 `json:"match,omitempty"` // log index that it is known to hold, set by the leader only
}

// Voters lists the hosts that hold the replicated log.
type Voters struct {
	Voters []Voter `json:"voters"`
}

// Hosts lists the known hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// State is the answering host's view of itself, the leader and the agreed
// member list.
type State struct {
	Host          string    `json:"host"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Roles         []string  `json:"roles"`
	Incarnation   uint64    `json:"incarnation"`
	Phase         string    `json:"phase"`
	Ready         bool      `json:"ready"`
	Revision      uint64    `json:"revision"`
	Term          uint64    `json:"term"`
	Leader        string    `json:"leader,omitempty"`
	Fresh         bool      `json:"fresh"` // the configuration is confirmed
	ConfirmedAt   time.Time `json:"confirmed_at"`
	MemberEpoch   uint64    `json:"member_epoch"`
	Members       []string  `json:"members"`
	Targets       int       `json:"targets"`
}

// explainTarget compares a target's labels with every group.
func explainTarget(t *routing.Table, target Target) TargetExplanation {
	target.Groups = t.GroupsOf(target.Labels)
	out := TargetExplanation{Revision: t.Revision, Target: target, Groups: []GroupMembership{}}
	for _, name := range t.GroupNames() {
		g, _ := t.Group(name)
		out.Groups = append(out.Groups, groupMembership(g, target.Labels))
	}
	return out
}

func groupMembership(g routing.Group, labels map[string]string) GroupMembership {
	m := GroupMembership{Group: g.Name, Member: true, Reason: "has " + config.LabelText(g.Match)}
	for _, k := range slices.Sorted(maps.Keys(g.Match)) {
		got, ok := labels[k]
		switch {
		case !ok:
			return GroupMembership{Group: g.Name, Reason: "lacks label " + k + "=" + g.Match[k]}
		case got != g.Match[k]:
			return GroupMembership{Group: g.Name, Reason: "has " + k + "=" + got + ", the group requires " + k + "=" + g.Match[k]}
		}
	}
	return m
}
