// Package routing decides which group of targets a request is routed to, from
// the groups and selectors that operators maintain.
package routing

import (
	"maps"
	"slices"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of the errors of this package.
const (
	CodeUnknownGroup verdict.Code = "unknown_group"
	CodeNoSelector   verdict.Code = "no_selector"
)

// Labels are the key-value pairs of a request or a target.
type Labels map[string]string

// Matches reports whether l has every pair of want. Empty requirements match
// everything.
func (l Labels) Matches(want Labels) bool {
	for k, v := range want {
		if got, ok := l[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// Priority ranks groups when a host is overloaded.
type Priority uint8

// Priorities of a group. PriorityNormal is the zero value.
const (
	PriorityNormal Priority = iota
	PriorityHigh
	PriorityLow
)

// Limits bounds what one group's callers may use on one host. Zero means the
// host's default.
type Limits struct {
	QueueLength        int // queries that may wait at one host
	TeamConcurrency    int // queries of one team in progress at one host
	CallerConcurrency  int // queries of one caller in progress at one host
	HedgePermille      int // extra sub-requests by hedging, per thousand
	MaxEjectedPercent  int // share of a shard's replicas that may be ejected at once
	DefaultTimeoutMSec int // timeout of a request that sets none, in milliseconds
}

// Group is a labelled set of targets, owned by a team. A target belongs to
// it when the target's labels match.
type Group struct {
	Name     string
	Team     string
	Match    Labels
	Priority Priority
	Limits   Limits
}

// Selector routes requests whose team and labels match to a group. An empty
// Team matches every team.
type Selector struct {
	Name  string
	Owner string // team that may change the selector
	Team  string // team of the request
	Match Labels
	Group string
}

// Request holds the attributes of a caller's request that routing uses. Group is
// empty if the caller leaves the choice to the selectors.
type Request struct {
	Team   string
	Labels Labels
	Group  string
}

// Table is an immutable set of groups and selectors.
type Table struct {
	Revision  uint64
	groups    map[string]Group
	selectors []Selector // in order of precedence
}

// NewTable builds a table. Precedence depends only on the selectors
// themselves and not on the order in which they were pushed: more
// requirements win, and names break ties. Selectors of different groups that tie
// for a request are in conflict, see ConflictsWith.
func NewTable(revision uint64, groups []Group, selectors []Selector) *Table {
	t := &Table{Revision: revision, groups: make(map[string]Group, len(groups)), selectors: slices.Clone(selectors)}
	for _, g := range groups {
		t.groups[g.Name] = g
	}
	slices.SortFunc(t.selectors, comparePrecedence)
	return t
}

// Group returns the group of that name.
func (t *Table) Group(name string) (Group, bool) {
	g, ok := t.groups[name]
	return g, ok
}

// Groups returns all groups, sorted by name.
func (t *Table) Groups() []Group {
	out := make([]Group, 0, len(t.groups))
	for _, name := range t.GroupNames() {
		out = append(out, t.groups[name])
	}
	return out
}

// GroupNames returns the names of all groups, sorted.
func (t *Table) GroupNames() []string { return slices.Sorted(maps.Keys(t.groups)) }

// Selectors returns the selectors in order of precedence.
func (t *Table) Selectors() []Selector { return slices.Clone(t.selectors) }

// Route returns the group that the request is routed to and the selector that
// matched.
func (t *Table) Route(r Request) (Group, Selector, error) {
	if r.Group != "" {
		if _, ok := t.groups[r.Group]; !ok {
			return Group{}, Selector{}, verdict.New(verdict.NotRun, CodeUnknownGroup, "group %q does not exist", r.Group)
		}
	}
	for _, s := range t.selectors {
		if !s.matches(r) || r.Group != "" && s.Group != r.Group {
			continue
		}
		if g, ok := t.groups[s.Group]; ok {
			return g, s, nil
		}
	}
	return Group{}, Selector{}, verdict.New(verdict.NotRun, CodeNoSelector, "no selector matches this request from team %q", r.Team)
}

// GroupsOf returns the names of the groups that a target with these labels
// belongs to, sorted.
func (t *Table) GroupsOf(labels Labels) []string {
	var out []string
	for name, g := range t.groups {
		if labels.Matches(g.Match) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (s Selector) matches(r Request) bool {
	if s.Team != "" && s.Team != r.Team {
		return false
	}
	return r.Labels.Matches(s.Match)
}

// Specificity returns the number of requirements that a request must meet.
func (s Selector) Specificity() int {
	n := len(s.Match)
	if s.Team != "" {
		n++
	}
	return n
}

func comparePrecedence(a, b Selector) int {
	if d := b.Specificity() - a.Specificity(); d != 0 {
		return d
	}
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}
