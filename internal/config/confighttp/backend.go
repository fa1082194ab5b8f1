package confighttp

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Backend is what the administration API needs of the daemon. Its methods may
// be called from many goroutines. Errors carry a verdict; one without counts
// as may_have_run.
type Backend interface {
	// Propose has a change decided. After an error with verdict MayHaveRun
	// the change may still be accepted.
	Propose(ctx context.Context, c config.Change) (config.Result, error)
	// DryRun decides a change without applying it, for the known targets.
	DryRun(ctx context.Context, c config.Change) (config.Preview, error)
	// Lookup returns the result of a past change.
	Lookup(ctx context.Context, changeID string) (config.Result, bool, error)
	// History returns accepted changes with revisions of at least from.
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
	// Voters returns the hosts that hold the replicated log. A host without a
	// log refuses.
	Voters() ([]Voter, error)
	// RemoveVoter takes the vote of an identity away for good.
	RemoveVoter(ctx context.Context, identity string) error
}

// Target is a target as this host sees it.
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
	// NoWork lists why the target receives no new work, for example that it
	// drains or is ejected. It is empty for a target in use.
	NoWork []string `json:"no_work,omitempty"`
}

// Targets lists the known targets.
type Targets struct {
	Revision uint64   `json:"revision"`
	Targets  []Target `json:"targets"`
}

// TargetExplanation shows why a target belongs to its groups and not to others.
type TargetExplanation struct {
	Revision uint64           `json:"revision"`
	Target   Target           `json:"target"`
	Groups   []GroupJudgement `json:"groups"`
}

// GroupJudgement says whether and why a target belongs to a group.
type GroupJudgement struct {
	Group  string `json:"group"`
	Member bool   `json:"member"`
	Reason string `json:"reason"`
}

// Host is a host as this host sees it.
type Host struct {
	Host          string    `json:"host"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Roles         []string  `json:"roles"`
	Incarnation   uint64    `json:"incarnation"`
	Member        bool      `json:"member"` // in the agreed member list
	Live          bool      `json:"live"`
	Draining      bool      `json:"draining"` // live and not ready: it starts, drains or stops
	Leader        bool      `json:"leader"`
	Revision      uint64    `json:"revision"` // in force there
	LastHeard     time.Time `json:"last_heard"`
}

// Voter is a host that holds the replicated log.
type Voter struct {
	Host     string `json:"host"`
	Identity string `json:"identity"` // of its data directory
	Address  string `json:"address"`
	Learner  bool   `json:"learner"`         // it receives the log and has no vote yet
	Match    uint64 `json:"match,omitempty"` // log index it holds, as far as the leader that answers knows
}

// Voters lists the hosts that hold the replicated log.
type Voters struct {
	Voters []Voter `json:"voters"`
}

// Hosts lists the known hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// State is this host's view of itself and of the control hosts.
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

// whyTarget compares a target's labels with every group.
func whyTarget(t *routing.Table, target Target) TargetExplanation {
	target.Groups = t.GroupsOf(target.Labels)
	why := TargetExplanation{Revision: t.Revision, Target: target, Groups: []GroupJudgement{}}
	for _, name := range t.GroupNames() {
		g, _ := t.Group(name)
		why.Groups = append(why.Groups, judgeGroup(g, target.Labels))
	}
	return why
}

func judgeGroup(g routing.Group, labels map[string]string) GroupJudgement {
	j := GroupJudgement{Group: g.Name, Member: true, Reason: "has " + config.LabelText(g.Match)}
	for _, k := range slices.Sorted(maps.Keys(g.Match)) {
		got, ok := labels[k]
		switch {
		case !ok:
			return GroupJudgement{Group: g.Name, Reason: "lacks label " + k + "=" + g.Match[k]}
		case got != g.Match[k]:
			return GroupJudgement{Group: g.Name, Reason: "has " + k + "=" + got + ", the group requires " + k + "=" + g.Match[k]}
		}
	}
	return j
}
