package config

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Members is the agreed member list.
type Members struct {
	Epoch uint64
	Hosts []string // sorted
	// Base bounds the removal of hosts: the list never shrinks below a majority
	// of Base hosts unless an operator forgets hosts.
	Base int
}

// Layout is the full shard list of a group's index snapshot.
type Layout struct {
	Group         string
	IndexSnapshot string
	Generation    uint64
	Shards        []string
}

type layoutKey struct{ group, snapshot string }

// Store is the replicated state machine. One goroutine owns it.
type Store struct {
	index       uint64 // of the last applied log entry
	revision    uint64 // number of accepted changes
	groups      map[string]routing.Group
	selectors   map[string]routing.Selector
	overlaps    selectorIndex
	members     Members
	layouts     map[layoutKey]Layout
	records     recordTable
	history     []Entry // oldest first
	historyFrom uint64  // changes after this revision are in history

	table *routing.Table // built on demand, nil after a change
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		groups:    map[string]routing.Group{},
		selectors: map[string]routing.Selector{},
		overlaps:  newSelectorIndex(),
		layouts:   map[layoutKey]Layout{},
		records:   newRecordTable(MaxRecords),
	}
}

// Revision returns the number of the last accepted change.
func (s *Store) Revision() uint64 { return s.revision }

// Index returns the index of the last applied log entry.
func (s *Store) Index() uint64 { return s.index }

// Members returns the agreed member list.
func (s *Store) Members() Members {
	return Members{Epoch: s.members.Epoch, Hosts: slices.Clone(s.members.Hosts), Base: s.members.Base}
}

// Layouts returns the known layouts by group, newest generation first. The
// shard lists are shared and must not be changed.
func (s *Store) Layouts() []Layout {
	out := slices.Collect(maps.Values(s.layouts))
	slices.SortFunc(out, compareLayouts)
	return out
}

// Table returns the groups and selectors in force.
func (s *Store) Table() *routing.Table {
	if s.table == nil {
		s.table = routing.NewTable(s.revision, slices.Collect(maps.Values(s.groups)), slices.Collect(maps.Values(s.selectors)))
	}
	return s.table
}

// Check returns the result that Apply would return now.
func (s *Store) Check(c Change) Result {
	res, _ := s.decide(newSubmission(c))
	return res
}

// Apply decides a change and puts it in force if it is accepted. index is that
// of its log entry, and at is the proposer's clock in the entry. An entry at or
// below the last applied index changes nothing. The store keeps the change, so
// the caller must not modify it afterwards.
func (s *Store) Apply(index uint64, at time.Time, c Change) Result {
	if index <= s.index {
		return s.alreadyApplied(c)
	}
	s.index = index
	at = s.records.advance(at)
	sub := newSubmission(c)
	res, st := s.decide(sub)
	switch {
	case res.Resend:
		s.records.addAlias(sub)
		s.records.trim(s.revision)
		return res
	case sub.invalid != nil || res.Code == CodeContentMismatch:
		return res
	}
	res.At = at
	if res.Outcome == Accepted {
		s.revision++
		res.Revision = s.revision
		s.commit(st)
		s.appendHistory(c, at, st)
	}
	s.records.add(sub, s.revision, res)
	s.trimHistory()
	return res
}

// alreadyApplied returns the result of an entry that the log delivers twice.
func (s *Store) alreadyApplied(c Change) Result {
	if res, ok := s.Lookup(c.ID); ok {
		res.Resend = true
		return res
	}
	return refused(refusal(CodeStaleEntry, "the log entry was applied before and its result is no longer kept"))
}

// Lookup returns the result of a past change.
func (s *Store) Lookup(changeID string) (Result, bool) {
	r, ok := s.records.byID(hashID(changeID))
	if !ok {
		return Result{}, false
	}
	return r.result(), true
}

// decide returns the result of a change, and its staged objects if it is
// accepted.
func (s *Store) decide(c submission) (Result, *staged) {
	if c.invalid != nil {
		return final(refused(c.invalid)), nil
	}
	if r, ok := s.records.byID(c.id); ok {
		if r.Content != c.content {
			return final(refused(refusal(CodeContentMismatch,
				"change ID %q was used for another change at %s; push this change under another ID", c.ID, time.Unix(0, r.At).UTC().Format(time.RFC3339)))), nil
		}
		return resent(r), nil
	}
	if r, ok := s.records.byBase(c.Base, c.content); ok {
		return resent(r), nil
	}
	if res, ok := s.checkBase(c.Change); !ok {
		return res, nil
	}
	st := s.newStaged(c.Change)
	if err := st.apply(c.Change); err != nil {
		return refused(err), nil
	}
	if err := st.check(); err != nil {
		return refused(err), nil
	}
	return Result{Outcome: Accepted, Revision: s.revision + 1}, st
}

// checkBase refuses a change whose base is too new or too old, or that
// conflicts with a change since its base. System changes have no conflicts,
// because epochs and generations order them.
func (s *Store) checkBase(c Change) (Result, bool) {
	switch {
	case c.Base > s.revision:
		return refused(refusal(CodeBaseTooNew, "the change's base is revision %d, and the current revision is %d", c.Base, s.revision)), false
	case c.Base < s.records.Start:
		return final(refused(refusal(CodeBaseTooOld,
			"the change's base is revision %d, and results are kept only for changes since revision %d; look at the current state and push again with base %d",
			c.Base, s.records.Start, s.revision))), false
	case c.Team == SystemTeam:
		return Result{}, true
	case c.Base < s.historyFrom:
		return final(refused(refusal(CodeBaseTooOld,
			"the change's base is revision %d, and changes are kept only since revision %d; look at the current state and push again with base %d",
			c.Base, s.historyFrom, s.revision))), false
	}
	conflict := s.conflictSince(c)
	if conflict == nil {
		return Result{}, true
	}
	res := final(refused(refusal(CodeConflict,
		"%s was changed in revision %d by %s at %s (change %s), after the change's base %d; look at it and push again with base %d",
		conflict.Object, conflict.Revision, conflict.Author, conflict.At.UTC().Format(time.RFC3339), conflict.ChangeID, c.Base, s.revision)))
	res.Conflict = conflict
	return res, false
}

func refused(err error) Result {
	return Result{Outcome: Refused, Code: codeOf(err), Message: err.Error()}
}

func final(r Result) Result {
	r.Final = true
	return r
}

func resent(r *Record) Result {
	res := r.result()
	res.Resend = true
	res.Final = res.Outcome == Refused
	return res
}

// commit puts the staged objects in force.
func (s *Store) commit(st *staged) {
	st.groups.overlay(s.groups)
	for _, r := range st.groups.list {
		if r.value == nil {
			s.dropLayouts(r.name)
		}
	}
	for _, r := range st.selectors.list {
		s.replaceSelector(r.name, r.value)
	}
	if st.members != nil {
		s.members = *st.members
	}
	for k, l := range st.layouts {
		if l == nil {
			delete(s.layouts, k)
			continue
		}
		s.layouts[k] = *l
	}
	s.table = nil
}

func (s *Store) replaceSelector(name string, sel *routing.Selector) {
	old, ok := s.selectors[name]
	if ok && sel != nil && old.Team == sel.Team && maps.Equal(old.Match, sel.Match) {
		s.selectors[name] = *sel // it overlaps the same selectors as before
		return
	}
	if ok {
		s.overlaps.remove(name)
		delete(s.selectors, name)
	}
	if sel != nil {
		s.selectors[name] = *sel
		s.overlaps.add(*sel)
	}
}

func (s *Store) dropLayouts(group string) {
	maps.DeleteFunc(s.layouts, func(k layoutKey, _ Layout) bool { return k.group == group })
}
