package config

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Validate checks what does not depend on the state: names, sizes, and which
// operations the team may use.
func (c Change) Validate() error {
	switch {
	case !validName(c.ID):
		return invalid("change ID %q is empty, too long or not printable", c.ID)
	case !validName(c.Team):
		return invalid("team %q is empty, too long or not printable", c.Team)
	case !validName(c.Author):
		return invalid("author %q is empty, too long or not printable", c.Author)
	case len(c.Note) > MaxNoteBytes || !utf8.ValidString(c.Note):
		return invalid("the note is longer than %d bytes or not UTF-8", MaxNoteBytes)
	case len(c.Ops) == 0 || len(c.Ops) > MaxOps:
		return invalid("the change holds %d operations; 1 to %d are possible", len(c.Ops), MaxOps)
	}
	for _, op := range c.Ops {
		if err := validateOp(c.Team, op); err != nil {
			return err
		}
	}
	return validateDistinct(c.Ops)
}

func validateDistinct(ops []Op) error {
	if len(ops) == 1 {
		return nil
	}
	seen := make(map[Object]bool, len(ops))
	for _, op := range ops {
		o, ok := objectOf(op)
		if ok && seen[o] {
			return invalid("%s appears in two operations", o)
		}
		seen[o] = true
	}
	return nil
}

func validateOp(team string, op Op) error {
	if o, ok := objectOf(op); ok && team == SystemTeam && o.Kind != KindHost {
		return refusal(CodeNotOwner, "team %q may not change %s", SystemTeam, o)
	}
	switch op := op.(type) {
	case PutGroup:
		return validateGroup(op.Group)
	case DeleteGroup:
		return validateNames("group", op.Name)
	case PutSelector:
		return validateSelector(op.Selector)
	case DeleteSelector:
		return validateNames("selector", op.Name)
	case ForgetHost:
		if team != AdminTeam && team != SystemTeam {
			return refusal(CodeNotOwner, "only team %q may forget a host", AdminTeam)
		}
		return validateNames("host", op.Host)
	case SetMembers, AddLayout, RemoveLayout:
		if team != SystemTeam {
			return refusal(CodeNotOwner, "only hosts may change the member list and layouts")
		}
		return validateSystemOp(op)
	default:
		return invalid("unknown operation %T", op)
	}
}

func validateSystemOp(op Op) error {
	switch op := op.(type) {
	case SetMembers:
		if len(op.Members) == 0 || len(op.Members) > MaxMembers {
			return invalid("%d members, outside 1..%d", len(op.Members), MaxMembers)
		}
		return validateNames("member", op.Members...)
	case AddLayout:
		if len(op.Layout) == 0 || len(op.Layout) > MaxLayoutShards {
			return invalid("layout of %q has %d shards, outside 1..%d", op.IndexSnapshot, len(op.Layout), MaxLayoutShards)
		}
		if err := validateNames("group", op.Group); err != nil {
			return err
		}
		if err := validateNames("index snapshot", op.IndexSnapshot); err != nil {
			return err
		}
		return validateNames("shard", op.Layout...)
	case RemoveLayout:
		return validateNames("index snapshot", op.IndexSnapshot, op.Group)
	}
	return nil
}

func validateGroup(g routing.Group) error {
	if err := validateNames("group", g.Name, g.Team); err != nil {
		return err
	}
	if len(g.Match) == 0 {
		return invalid("group %q requires no label and would match every target", g.Name)
	}
	if g.Priority > routing.PriorityLow {
		return invalid("group %q has unknown priority %d", g.Name, g.Priority)
	}
	for _, l := range []struct {
		name     string
		v, limit int
	}{
		{"queue_length", g.Limits.QueueLength, MaxConcurrencyLimit},
		{"team_concurrency", g.Limits.TeamConcurrency, MaxConcurrencyLimit},
		{"caller_concurrency", g.Limits.CallerConcurrency, MaxConcurrencyLimit},
		{"hedge_permille", g.Limits.HedgePermille, 1000},
		{"max_ejected_percent", g.Limits.MaxEjectedPercent, 100},
		{"default_timeout_ms", g.Limits.DefaultTimeoutMSec, MaxTimeoutMSec},
	} {
		if l.v < 0 || l.v > l.limit {
			return invalid("group %q: %s %d is outside 0..%d", g.Name, l.name, l.v, l.limit)
		}
	}
	return validateLabels(g.Match)
}

func validateSelector(s routing.Selector) error {
	if err := validateNames("selector", s.Name, s.Owner, s.Group); err != nil {
		return err
	}
	if s.Team != "" && !validName(s.Team) {
		return invalid("selector %q: team %q is too long or not printable", s.Name, s.Team)
	}
	return validateLabels(s.Match)
}

func validateLabels(l routing.Labels) error {
	if len(l) > MaxLabels {
		return invalid("%d labels, at most %d are allowed", len(l), MaxLabels)
	}
	for k, v := range l {
		if !validName(k) || v != "" && !validName(v) {
			return invalid("label %q=%q is empty, too long or not printable", k, v)
		}
	}
	return nil
}

func validateNames(kind string, names ...string) error {
	for _, n := range names {
		if !validName(n) {
			return invalid("%s: name %q is empty, too long or not printable", kind, n)
		}
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || !utf8.ValidString(s) {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		// Decoders replace bytes that are not UTF-8 by RuneError.
		return r == utf8.RuneError || !unicode.IsPrint(r)
	})
}

func invalid(format string, args ...any) error {
	return refusal(CodeInvalidChange, format, args...)
}

func refusal(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}
