package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// TargetLabels holds the labels of a target for a dry run.
type TargetLabels struct {
	Target string
	Labels routing.Labels
}

// GroupMoves lists the targets that a change moves into or out of a group.
type GroupMoves struct {
	Group string
	Enter []string
	Leave []string
}

// Route is the destination of a request. It is empty when no selector admits
// the request.
type Route struct {
	Selector string
	Group    string
}

// RouteMove is a request with its routes before and after a change. Either the
// routes differ, or the request meets exactly the requirements of a selector
// that the change touches.
type RouteMove struct {
	Request       routing.Request
	Before, After Route
}

// Preview is the result of a dry run.
type Preview struct {
	Result Result
	Groups []GroupMoves
	Routes []RouteMove
}

// Plan is the decision on a change with the routing tables before and after
// it. The tables are immutable, so Preview may run on another goroutine. After
// is nil when the change would be refused or is a resend.
type Plan struct {
	Result        Result
	Before, After *routing.Table
	touched       []routing.Selector
}

// Plan decides a change without applying it.
func (s *Store) Plan(c Change) Plan {
	res, st := s.decide(newSubmission(c))
	p := Plan{Result: res, Before: s.Table()}
	if st == nil {
		return p
	}
	groups, selectors := maps.Clone(s.groups), maps.Clone(s.selectors)
	st.groups.overlay(groups)
	st.selectors.overlay(selectors)
	p.After = routing.NewTable(s.revision+1, slices.Collect(maps.Values(groups)), slices.Collect(maps.Values(selectors)))
	p.touched = s.selectorVersions(c)
	return p
}

// DryRun decides a change without applying it and shows its effects on the
// given targets and on routing.
func (s *Store) DryRun(c Change, targets []TargetLabels) Preview {
	return s.Plan(c).Preview(targets)
}

// Preview shows the effects of a planned change.
func (p Plan) Preview(targets []TargetLabels) Preview {
	out := Preview{Result: p.Result}
	if p.After == nil {
		return out
	}
	out.Groups = p.groupMoves(targets)
	out.Routes = p.routeMoves()
	return out
}

func (p Plan) groupMoves(targets []TargetLabels) []GroupMoves {
	moves := map[string]*GroupMoves{}
	movesOf := func(group string) *GroupMoves {
		if moves[group] == nil {
			moves[group] = &GroupMoves{Group: group}
		}
		return moves[group]
	}
	for _, t := range targets {
		before, after := p.Before.GroupsOf(t.Labels), p.After.GroupsOf(t.Labels)
		for _, g := range after {
			if !slices.Contains(before, g) {
				movesOf(g).Enter = append(movesOf(g).Enter, t.Target)
			}
		}
		for _, g := range before {
			if !slices.Contains(after, g) {
				movesOf(g).Leave = append(movesOf(g).Leave, t.Target)
			}
		}
	}
	out := make([]GroupMoves, 0, len(moves))
	for _, name := range slices.Sorted(maps.Keys(moves)) {
		slices.Sort(moves[name].Enter)
		slices.Sort(moves[name].Leave)
		out = append(out, *moves[name])
	}
	return out
}

// routeMoves routes one request per selector through the tables before and
// after the change. It takes the selectors that the change touches and those
// that overlap them.
func (p Plan) routeMoves() []RouteMove {
	var out []RouteMove
	seen := map[string]bool{}
	consider := func(sel routing.Selector, always bool) {
		r := routing.Request{Team: sel.Team, Labels: sel.Match}
		key := r.Team + "\x00" + LabelText(r.Labels)
		m := RouteMove{Request: r, Before: routeOf(p.Before, r), After: routeOf(p.After, r)}
		if seen[key] || !always && m.Before == m.After {
			return
		}
		seen[key] = true
		out = append(out, m)
	}
	for _, sel := range p.touched {
		consider(sel, true)
	}
	for _, t := range []*routing.Table{p.Before, p.After} {
		for _, sel := range t.Selectors() {
			if overlapsAny(sel, p.touched) {
				consider(sel, false)
			}
		}
	}
	slices.SortFunc(out, func(a, b RouteMove) int {
		return strings.Compare(a.Request.Team+"\x00"+LabelText(a.Request.Labels), b.Request.Team+"\x00"+LabelText(b.Request.Labels))
	})
	return out
}

func routeOf(t *routing.Table, r routing.Request) Route {
	g, sel, err := t.Route(r)
	if err != nil {
		return Route{}
	}
	return Route{Selector: sel.Name, Group: g.Name}
}
