package orders

import (
	"maps"
	"time"
)

// State is the whole content of a Ledger, for snapshots.
type State struct {
	Index      uint64
	Limits     Limits
	Partitions []PartitionState
}

// PartitionState is the content of one partition.
type PartitionState struct {
	Entries []*Entry // in no order
	Dead    map[string]uint64
	Clocks  [2]HostClock
	Now     time.Time
}

// State returns a snapshot that later commands don't change. Its entries are
// shared with the ledger and must not be modified.
func (l *Ledger) State() State {
	st := State{Index: l.index, Limits: l.limits}
	for _, p := range l.partitions {
		ps := PartitionState{Dead: maps.Clone(p.dead), Clocks: p.clocks, Now: p.now}
		ps.Entries = make([]*Entry, 0, len(p.entries))
		for _, e := range p.entries {
			ps.Entries = append(ps.Entries, e)
		}
		st.Partitions = append(st.Partitions, ps)
	}
	return st
}

// Restore returns a ledger with the content of a snapshot.
func Restore(st State) *Ledger {
	st.Limits.Partitions = len(st.Partitions)
	l := NewLedger(st.Limits)
	l.index = st.Index
	for i, ps := range st.Partitions {
		p := l.partitions[i]
		maps.Copy(p.dead, ps.Dead)
		p.clocks, p.now = ps.Clocks, ps.Now
		for _, e := range ps.Entries {
			p.put(*e)
		}
	}
	return l
}
