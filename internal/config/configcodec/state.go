package configcodec

import (
	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func resultToProto(r config.Result) *Result {
	m := &Result{
		Outcome: uint32(r.Outcome), Revision: r.Revision, At: timeToProto(r.At),
		Code: string(r.Code), Message: r.Message, Resend: r.Resend, Final: r.Final,
	}
	if c := r.Conflict; c != nil {
		m.Conflict = &Conflict{
			Kind: string(c.Object.Kind), Name: c.Object.Name, ChangeId: c.ChangeID,
			Author: c.Author, Revision: c.Revision, At: timeToProto(c.At),
		}
	}
	return m
}

func resultFromProto(m *Result) (config.Result, error) {
	if o := config.Outcome(m.GetOutcome()); m.GetOutcome() > 255 || o != config.Accepted && o != config.Refused {
		return config.Result{}, errors.Wrapf(ErrMalformed, "outcome %d", m.GetOutcome())
	}
	r := config.Result{
		Outcome: config.Outcome(m.Outcome), Revision: m.Revision, At: timeFromProto(m.At),
		Code: verdict.Code(m.Code), Message: m.Message, Resend: m.Resend, Final: m.Final,
	}
	if c := m.Conflict; c != nil {
		r.Conflict = &config.Conflict{
			Object:   config.Object{Kind: config.ObjectKind(c.Kind), Name: c.Name},
			ChangeID: c.ChangeId, Author: c.Author, Revision: c.Revision, At: timeFromProto(c.At),
		}
	}
	return r, nil
}

func stateToProto(s config.State) *State {
	m := &State{
		Index: s.Index, Revision: s.Revision,
		Members:     &Members{Epoch: s.Members.Epoch, Hosts: s.Members.Hosts, Base: uint32(s.Members.Base)},
		RecordStart: s.RecordStart, Clock: timeToProto(s.Clock), HistoryFrom: s.HistoryFrom,
	}
	for _, g := range s.Groups {
		m.Groups = append(m.Groups, groupToProto(g))
	}
	for _, sel := range s.Selectors {
		m.Selectors = append(m.Selectors, selectorToProto(sel))
	}
	for _, l := range s.Layouts {
		m.Layouts = append(m.Layouts, layoutToProto(l))
	}
	for i := range s.Records {
		m.Records = append(m.Records, recordToProto(&s.Records[i]))
	}
	for _, e := range s.History {
		m.History = append(m.History, entryToProto(e))
	}
	return m
}

func stateFromProto(m *State) (config.State, error) {
	s := config.State{
		Index: m.Index, Revision: m.Revision,
		Members:     config.Members{Epoch: m.Members.GetEpoch(), Hosts: m.Members.GetHosts(), Base: int(m.Members.GetBase())},
		RecordStart: m.RecordStart, Clock: timeFromProto(m.Clock), HistoryFrom: m.HistoryFrom,
	}
	for _, g := range m.Groups {
		group, err := groupFromProto(g)
		if err != nil {
			return config.State{}, err
		}
		s.Groups = append(s.Groups, group)
	}
	for _, sel := range m.Selectors {
		s.Selectors = append(s.Selectors, selectorFromProto(sel))
	}
	for _, l := range m.Layouts {
		s.Layouts = append(s.Layouts, layoutFromProto(l))
	}
	s.Records = make([]config.Record, 0, len(m.Records))
	for _, r := range m.Records {
		rec, err := recordFromProto(r)
		if err != nil {
			return config.State{}, err
		}
		s.Records = append(s.Records, rec)
	}
	for _, e := range m.History {
		entry, err := entryFromProto(e)
		if err != nil {
			return config.State{}, err
		}
		s.History = append(s.History, entry)
	}
	return s, nil
}

func recordToProto(r *config.Record) *Record {
	m := &Record{Id: r.ID[:], Content: r.Content[:], Base: r.Base, Revision: r.Revision, At: r.At}
	if r.Refusal != nil {
		m.Refusal = resultToProto(r.Refusal.Result)
	}
	return m
}

func recordFromProto(m *Record) (config.Record, error) {
	r := config.Record{Base: m.Base, Revision: m.Revision, At: m.At}
	if len(m.Id) != len(r.ID) || len(m.Content) != len(r.Content) {
		return r, errors.Wrap(ErrMalformed, "hash of a record has a wrong length")
	}
	copy(r.ID[:], m.Id)
	copy(r.Content[:], m.Content)
	if m.Refusal == nil {
		return r, nil
	}
	res, err := resultFromProto(m.Refusal)
	r.Refusal = &config.Refusal{Result: res}
	return r, err
}

func entryToProto(e config.Entry) *Entry {
	m := &Entry{Revision: e.Revision, At: timeToProto(e.At), Change: changeToProto(e.Change)}
	for _, b := range e.Before {
		before := &Before{Kind: string(b.Object.Kind), Name: b.Object.Name}
		if b.Group != nil {
			before.Group = groupToProto(*b.Group)
		}
		if b.Selector != nil {
			before.Selector = selectorToProto(*b.Selector)
		}
		m.Before = append(m.Before, before)
	}
	return m
}

func entryFromProto(m *Entry) (config.Entry, error) {
	c, err := changeFromProto(m.GetChange())
	if err != nil {
		return config.Entry{}, err
	}
	if len(m.Before) != len(c.Ops) {
		return config.Entry{}, errors.Wrap(ErrMalformed, "history entry is incomplete")
	}
	e := config.Entry{Revision: m.Revision, At: timeFromProto(m.At), Change: c}
	for _, b := range m.Before {
		before, err := beforeFromProto(b)
		if err != nil {
			return config.Entry{}, err
		}
		e.Before = append(e.Before, before)
	}
	return e, nil
}

func beforeFromProto(m *Before) (config.PriorObject, error) {
	b := config.PriorObject{Object: config.Object{Kind: config.ObjectKind(m.Kind), Name: m.Name}}
	if m.Group != nil {
		g, err := groupFromProto(m.Group)
		if err != nil {
			return b, err
		}
		b.Group = &g
	}
	if m.Selector != nil {
		sel := selectorFromProto(m.Selector)
		b.Selector = &sel
	}
	return b, nil
}
