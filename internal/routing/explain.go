package routing

import (
	"fmt"
	"maps"
	"slices"
)

// Overlaps reports whether some request meets the requirements of both
// selectors.
func (s Selector) Overlaps(o Selector) bool {
	if s.Team != "" && o.Team != "" && s.Team != o.Team {
		return false
	}
	for k, v := range s.Match {
		if w, ok := o.Match[k]; ok && v != w {
			return false
		}
	}
	return true
}

// ConflictsWith reports whether some request meets the requirements of both
// selectors and only their names decide which group it is routed to.
func (s Selector) ConflictsWith(o Selector) bool {
	return s.Name != o.Name && s.Group != o.Group && s.Specificity() == o.Specificity() && s.Overlaps(o)
}

// Ambiguity is a pair of conflicting selectors, in order of their names.
type Ambiguity struct {
	First, Second Selector
}

// Ambiguous returns every pair of conflicting selectors. The result does not
// depend on the order of the argument.
func Ambiguous(selectors []Selector) []Ambiguity {
	sorted := slices.Clone(selectors)
	slices.SortFunc(sorted, comparePrecedence)
	var out []Ambiguity
	for i, a := range sorted {
		for _, b := range sorted[i+1:] {
			if a.Specificity() != b.Specificity() {
				break
			}
			if a.ConflictsWith(b) {
				out = append(out, Ambiguity{First: a, Second: b})
			}
		}
	}
	return out
}

// Evaluation is the result of matching a request against one selector.
type Evaluation struct {
	Selector Selector
	Matches  bool
	Reason   string
}

// Explanation shows how a request is routed. Winner is nil if Err is set.
type Explanation struct {
	Request     Request
	Revision    uint64
	Evaluations []Evaluation // in order of precedence
	Winner      *Selector
	Err         error // the error that Route returns
}

// Explain routes the request and returns for each selector why it matches or
// not.
func (t *Table) Explain(r Request) Explanation {
	e := Explanation{Request: r, Revision: t.Revision}
	_, winner, err := t.Route(r)
	if err == nil {
		e.Winner = &winner
	}
	e.Err = err
	for _, s := range t.selectors {
		reason := t.mismatch(s, r)
		ev := Evaluation{Selector: s, Matches: reason == "", Reason: reason}
		switch {
		case !ev.Matches:
		case s.Name == winner.Name:
			ev.Reason = "matches and has the highest precedence"
		default:
			ev.Reason = fmt.Sprintf("matches, but selector %q takes precedence (%d requirements against %d)",
				winner.Name, winner.Specificity(), s.Specificity())
		}
		e.Evaluations = append(e.Evaluations, ev)
	}
	return e
}

// mismatch returns why the selector does not match the request, or "" if it
// does.
func (t *Table) mismatch(s Selector, r Request) string {
	if r.Group != "" && s.Group != r.Group {
		return fmt.Sprintf("routes to group %q, but the request names %q", s.Group, r.Group)
	}
	if s.Team != "" && s.Team != r.Team {
		return fmt.Sprintf("is for team %q, but the request is from team %q", s.Team, r.Team)
	}
	for _, k := range slices.Sorted(maps.Keys(s.Match)) {
		got, ok := r.Labels[k]
		if !ok {
			return fmt.Sprintf("requires label %s=%s, which the request lacks", k, s.Match[k])
		}
		if got != s.Match[k] {
			return fmt.Sprintf("requires label %s=%s, but the request has %s=%s", k, s.Match[k], k, got)
		}
	}
	if _, ok := t.groups[s.Group]; !ok {
		return fmt.Sprintf("routes to group %q, which does not exist", s.Group)
	}
	return ""
}
