package config

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// PriorObject is an object as it was before a change. Group and Selector are
// nil if it did not exist.
type PriorObject struct {
	Object   Object
	Group    *routing.Group
	Selector *routing.Selector
}

// Entry is an accepted change of operators' objects.
type Entry struct {
	Revision uint64
	At       time.Time
	Change   Change // without operations that have no object
	Before   []PriorObject
}

// appendHistory adds an accepted change to the history. Operations without an
// object are left out: hosts make them, and they are frequent and large.
func (s *Store) appendHistory(c Change, at time.Time, st *staged) {
	if len(st.before) == 0 {
		return
	}
	kept := c
	if len(st.before) < len(c.Ops) {
		kept.Ops = slices.DeleteFunc(slices.Clone(c.Ops), func(op Op) bool {
			_, ok := objectOf(op)
			return !ok
		})
	}
	s.history = append(s.history, Entry{Revision: s.revision, At: at, Change: kept, Before: st.before})
}

func (s *Store) trimHistory() {
	n := len(s.history) - MaxHistory
	if n <= 0 {
		return
	}
	s.historyFrom = s.history[n-1].Revision
	s.history = s.history[n:]
}

// History returns up to limit accepted changes with revisions of at least
// from, oldest first. Entries are shared and must not be changed.
func (s *Store) History(from uint64, limit int) []Entry {
	tail := s.history[s.firstAtLeast(from):]
	return slices.Clone(tail[:max(0, min(limit, len(tail)))])
}

// Entry returns the accepted change of a revision.
func (s *Store) Entry(revision uint64) (Entry, bool) {
	i := s.firstAtLeast(revision)
	if i == len(s.history) || s.history[i].Revision != revision {
		return Entry{}, false
	}
	return s.history[i], true
}

func (s *Store) firstAtLeast(revision uint64) int {
	i, _ := slices.BinarySearchFunc(s.history, revision, func(e Entry, r uint64) int {
		switch {
		case e.Revision < r:
			return -1
		case e.Revision > r:
			return 1
		}
		return 0
	})
	return i
}

// conflictSince returns the latest change after the base of c that touched an
// object of c or a selector that overlaps one of c's, or nil.
func (s *Store) conflictSince(c Change) *Conflict {
	since := s.history[s.firstAtLeast(c.Base+1):]
	if len(since) == 0 {
		return nil
	}
	touched := map[Object]bool{}
	for _, op := range c.Ops {
		if o, ok := objectOf(op); ok {
			touched[o] = true
		}
	}
	versions := s.selectorVersions(c)
	for i := len(since) - 1; i >= 0; i-- {
		if o, ok := since[i].conflictsWith(touched, versions); ok {
			e := since[i]
			return &Conflict{Object: o, ChangeID: e.Change.ID, Author: e.Change.Author, Revision: e.Revision, At: e.At}
		}
	}
	return nil
}

// selectorVersions returns the current and the new versions of the selectors
// that a change touches.
func (s *Store) selectorVersions(c Change) []routing.Selector {
	var out []routing.Selector
	for _, op := range c.Ops {
		o, _ := objectOf(op)
		if o.Kind != KindSelector {
			continue
		}
		if old, ok := s.selectors[o.Name]; ok {
			out = append(out, old)
		}
		if put, ok := op.(PutSelector); ok {
			out = append(out, put.Selector)
		}
	}
	return out
}

func (e *Entry) conflictsWith(touched map[Object]bool, versions []routing.Selector) (Object, bool) {
	for i, op := range e.Change.Ops {
		o, _ := objectOf(op)
		if touched[o] {
			return o, true
		}
		if old := e.Before[i].Selector; old != nil && overlapsAny(*old, versions) {
			return o, true
		}
		if put, ok := op.(PutSelector); ok && overlapsAny(put.Selector, versions) {
			return o, true
		}
	}
	return Object{}, false
}

func overlapsAny(s routing.Selector, others []routing.Selector) bool {
	return slices.ContainsFunc(others, s.Overlaps)
}
