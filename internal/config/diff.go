package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Action says what a change did to an object.
type Action string

// Actions of a change.
const (
	Created   Action = "created"
	Replaced  Action = "replaced"
	Unchanged Action = "unchanged"
	Deleted   Action = "deleted"
)

// FieldDiff is one field that differs. A missing value is "".
type FieldDiff struct {
	Field         string
	Before, After string
}

// ObjectDiff describes what a change did to one object.
type ObjectDiff struct {
	Object Object
	Action Action
	Fields []FieldDiff
}

// Diff returns what an accepted change did to each of its objects.
func Diff(e Entry) []ObjectDiff {
	out := make([]ObjectDiff, 0, len(e.Before))
	for i, b := range e.Before {
		out = append(out, diffObject(b, e.Change.Ops[i]))
	}
	return out
}

func diffObject(b PriorObject, op Op) ObjectDiff {
	before, after := fields(b.Group, b.Selector), afterFields(op)
	d := ObjectDiff{Object: b.Object, Action: Replaced, Fields: diffFields(before, after)}
	switch {
	case b.Object.Kind == KindHost || after == nil:
		d.Action = Deleted
	case before == nil:
		d.Action = Created
	case len(d.Fields) == 0:
		d.Action = Unchanged
	}
	return d
}

func afterFields(op Op) map[string]string {
	switch op := op.(type) {
	case PutGroup:
		return groupFields(op.Group)
	case PutSelector:
		return selectorFields(op.Selector)
	default:
		return nil
	}
}

func fields(g *routing.Group, s *routing.Selector) map[string]string {
	switch {
	case g != nil:
		return groupFields(*g)
	case s != nil:
		return selectorFields(*s)
	default:
		return nil
	}
}

func groupFields(g routing.Group) map[string]string {
	return map[string]string{
		"team":                g.Team,
		"match":               LabelText(g.Match),
		"priority":            g.Priority.String(),
		"queue_length":        strconv.Itoa(g.Limits.QueueLength),
		"team_concurrency":    strconv.Itoa(g.Limits.TeamConcurrency),
		"caller_concurrency":  strconv.Itoa(g.Limits.CallerConcurrency),
		"hedge_permille":      strconv.Itoa(g.Limits.HedgePermille),
		"max_ejected_percent": strconv.Itoa(g.Limits.MaxEjectedPercent),
		"default_timeout_ms":  strconv.Itoa(g.Limits.DefaultTimeoutMSec),
	}
}

func selectorFields(s routing.Selector) map[string]string {
	return map[string]string{"owner": s.Owner, "team": s.Team, "match": LabelText(s.Match), "group": s.Group}
}

func diffFields(before, after map[string]string) []FieldDiff {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	var out []FieldDiff
	for _, f := range slices.Compact(names) {
		if before[f] != after[f] {
			out = append(out, FieldDiff{Field: f, Before: before[f], After: after[f]})
		}
	}
	return out
}

// LabelText formats labels as key=value pairs, sorted and separated by commas.
func LabelText(l routing.Labels) string {
	parts := make([]string, 0, len(l))
	for _, k := range slices.Sorted(maps.Keys(l)) {
		parts = append(parts, fmt.Sprintf("%s=%s", k, l[k]))
	}
	return strings.Join(parts, ",")
}
