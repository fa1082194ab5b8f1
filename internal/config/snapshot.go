package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// State is the whole content of a Store, for snapshots.
type State struct {
	Index       uint64
	Revision    uint64
	Groups      []routing.Group    // by name
	Selectors   []routing.Selector // by name
	Members     Members
	Layouts     []Layout
	RecordStart uint64    // recordTable.Start
	Clock       time.Time // recordTable.clock
	Records     []Record  // oldest first
	HistoryFrom uint64    // changes after this revision are in History
	History     []Entry   // oldest first
}

// State returns the content of the store. Records and history are shared with
// the store, which only appends to them. The caller must not modify the State.
func (s *Store) State() State {
	groups := slices.Collect(maps.Values(s.groups))
	slices.SortFunc(groups, func(a, b routing.Group) int { return strings.Compare(a.Name, b.Name) })
	selectors := slices.Collect(maps.Values(s.selectors))
	slices.SortFunc(selectors, func(a, b routing.Selector) int { return strings.Compare(a.Name, b.Name) })
	return State{
		Index: s.index, Revision: s.revision,
		Groups: groups, Selectors: selectors, Members: s.Members(), Layouts: s.Layouts(),
		RecordStart: s.records.Start, Clock: s.records.clock, Records: slices.Clip(s.records.entries),
		HistoryFrom: s.historyFrom, History: slices.Clip(s.history),
	}
}

// Restore returns a store with the content of a snapshot.
func Restore(st State) *Store {
	s := NewStore()
	s.index, s.revision = st.Index, st.Revision
	for _, g := range st.Groups {
		s.groups[g.Name] = g
	}
	for _, sel := range st.Selectors {
		s.replaceSelector(sel.Name, &sel)
	}
	s.members = Members{Epoch: st.Members.Epoch, Hosts: slices.Clone(st.Members.Hosts), Base: st.Members.Base}
	for _, l := range st.Layouts {
		s.layouts[layoutKey{l.Group, l.IndexSnapshot}] = l
	}
	s.records.Start, s.records.clock = st.RecordStart, st.Clock
	for _, r := range st.Records {
		s.records.push(r)
	}
	s.historyFrom = st.HistoryFrom
	s.history = slices.Clip(st.History)
	return s
}
