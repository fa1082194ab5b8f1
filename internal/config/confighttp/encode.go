package confighttp

import (
	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// EncodeChange returns the message of a change. Operations of hosts are left
// out, because operators can't push them.
func EncodeChange(c config.Change) Change {
	m := Change{ID: c.ID, Author: c.Author, Team: c.Team, Note: c.Note, Base: &c.Base, Ops: []Op{}}
	for _, op := range c.Ops {
		switch op := op.(type) {
		case config.PutGroup:
			g := encodeGroup(op.Group)
			m.Ops = append(m.Ops, Op{PutGroup: &g})
		case config.DeleteGroup:
			m.Ops = append(m.Ops, Op{DeleteGroup: &Name{op.Name}})
		case config.PutSelector:
			s := encodeSelector(op.Selector)
			m.Ops = append(m.Ops, Op{PutSelector: &s})
		case config.DeleteSelector:
			m.Ops = append(m.Ops, Op{DeleteSelector: &Name{op.Name}})
		case config.ForgetHost:
			m.Ops = append(m.Ops, Op{ForgetHost: &Name{op.Host}})
		}
	}
	return m
}

func encodeGroup(g routing.Group) Group {
	return Group{
		Name: g.Name, Team: g.Team, Match: g.Match, Priority: g.Priority.String(),
		Limits: Limits{
			QueueLength: g.Limits.QueueLength, TeamConcurrency: g.Limits.TeamConcurrency,
			CallerConcurrency: g.Limits.CallerConcurrency, HedgePermille: g.Limits.HedgePermille,
			MaxEjectedPercent: g.Limits.MaxEjectedPercent, DefaultTimeoutMS: g.Limits.DefaultTimeoutMSec,
		},
	}
}

func encodeSelector(s routing.Selector) Selector {
	return Selector{Name: s.Name, Owner: s.Owner, Team: s.Team, Match: s.Match, Group: s.Group}
}

func encodeResult(id string, r config.Result) Result {
	m := Result{
		ChangeID: id, Outcome: r.Outcome.String(), Verdict: verdict.Ran, Revision: r.Revision,
		At: r.At, Resend: r.Resend, Code: r.Code, Message: r.Message, Conflict: encodeConflict(r.Conflict),
	}
	if r.Outcome != config.Accepted {
		m.Verdict = verdict.NotRun
	}
	return m
}

func encodeConflict(c *config.Conflict) *Conflict {
	if c == nil {
		return nil
	}
	return &Conflict{Object: c.Object.String(), ChangeID: c.ChangeID, Author: c.Author, Revision: c.Revision, At: c.At}
}

func encodePreview(id string, p config.Preview) Preview {
	m := Preview{Result: encodeResult(id, p.Result), Groups: []GroupMoves{}, Routes: []RouteMove{}}
	for _, g := range p.Groups {
		m.Groups = append(m.Groups, GroupMoves(g))
	}
	for _, r := range p.Routes {
		m.Routes = append(m.Routes, RouteMove{
			Request: Request{Team: r.Request.Team, Labels: r.Request.Labels, Group: r.Request.Group},
			Before:  Route(r.Before), After: Route(r.After),
		})
	}
	return m
}

func encodeEntry(e config.Entry) Entry {
	return Entry{Revision: e.Revision, At: e.At, Change: EncodeChange(e.Change)}
}

func encodeDiff(e config.Entry) Diff {
	m := Diff{Entry: encodeEntry(e), Objects: []ObjectDiff{}}
	for _, o := range config.Diff(e) {
		d := ObjectDiff{Object: o.Object.String(), Action: string(o.Action)}
		for _, f := range o.Fields {
			d.Fields = append(d.Fields, FieldDiff(f))
		}
		m.Objects = append(m.Objects, d)
	}
	return m
}

func encodeGroups(t *routing.Table) Groups {
	m := Groups{Revision: t.Revision, Groups: []Group{}}
	for _, name := range t.GroupNames() {
		g, _ := t.Group(name)
		m.Groups = append(m.Groups, encodeGroup(g))
	}
	return m
}

func encodeSelectors(t *routing.Table) Selectors {
	m := Selectors{Revision: t.Revision, Selectors: []Selector{}}
	for _, s := range t.Selectors() {
		m.Selectors = append(m.Selectors, encodeSelector(s))
	}
	return m
}

func encodeExplanation(e routing.Explanation) Explanation {
	m := Explanation{
		Revision:  e.Revision,
		Request:   Request{Team: e.Request.Team, Labels: e.Request.Labels, Group: e.Request.Group},
		Selectors: []Evaluation{},
	}
	if e.Winner != nil {
		s := encodeSelector(*e.Winner)
		m.Winner = &s
	}
	if e.Err != nil {
		m.Error = e.Err.Error()
	}
	for _, ev := range e.Evaluations {
		m.Selectors = append(m.Selectors, Evaluation{Selector: encodeSelector(ev.Selector), Matches: ev.Matches, Reason: ev.Reason})
	}
	return m
}
