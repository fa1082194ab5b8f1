package journal

import "github.com/hawthornlock/hawthornlock/internal/consensus"

// replay rebuilds the log from the changes in order.
type replay struct {
	hard          consensus.HardState
	hasSnapshot   bool
	snapshotIndex uint64
	snapshotTerm  uint64

	base, baseTerm uint64 // position before the first entry
	baseKnown      bool   // baseTerm is known
	entries        []consensus.Entry
	count          int // entries read, including those replaced later
}

func (r *replay) lastIndex() uint64 { return r.base + uint64(len(r.entries)) }

// position returns the hard state and the snapshot reached so far.
func (r *replay) position() change {
	return change{hard: r.hard, hasSnapshot: r.hasSnapshot, snapshotIndex: r.snapshotIndex, snapshotTerm: r.snapshotTerm}
}

// applyChange applies one change and returns the problem if it does not fit.
func (r *replay) applyChange(c change) string {
	r.hard = c.hard
	if c.hasSnapshot {
		r.applySnapshot(c.snapshotIndex, c.snapshotTerm)
	}
	for _, e := range c.entries {
		r.count++
		if problem := r.addEntry(e); problem != "" {
			return problem
		}
	}
	return ""
}

// applySnapshot follows the rule of consensus.Persist: if the log holds the
// entry at the position of the snapshot, the entries after it stay; otherwise all
// entries are dropped.
func (r *replay) applySnapshot(index, term uint64) {
	r.hasSnapshot = true
	r.snapshotIndex, r.snapshotTerm = index, term
	if index < r.base && !r.baseKnown {
		// The entry at this position was in a segment that has been removed, so
		// a later snapshot covers it.
		return
	}
	switch {
	case index == r.base && (!r.baseKnown || r.baseTerm == term):
	case index > r.base && index <= r.lastIndex() && r.entries[index-r.base-1].Term == term:
		r.entries = r.entries[index-r.base:]
	default:
		r.entries = nil
	}
	r.base, r.baseTerm, r.baseKnown = index, term, true
}

func (r *replay) addEntry(e consensus.Entry) string {
	last := r.lastIndex()
	switch {
	case e.Index == last+1:
	case e.Index > r.base && e.Index <= last:
		keep := e.Index - r.base - 1
		r.entries = r.entries[:keep:keep]
	case e.Index <= r.snapshotIndex:
		return "an entry precedes the snapshot"
	case len(r.entries) == 0 || e.Index <= r.base:
		// The segments with the entries before this one were removed. finish
		// checks that a snapshot covers the gap.
		r.entries = nil
		r.base, r.baseKnown = e.Index-1, false
	default:
		return "an entry is missing"
	}
	r.entries = append(r.entries, e)
	return ""
}

// finish drops the entries that the snapshot covers and checks that the rest
// follows it.
func (r *replay) finish() string {
	if !r.hasSnapshot {
		if len(r.entries) > 0 {
			return "there are entries without a snapshot"
		}
		return ""
	}
	if r.base > r.snapshotIndex {
		return "entries after the snapshot are missing"
	}
	covered := min(r.snapshotIndex-r.base, uint64(len(r.entries)))
	r.entries = r.entries[covered:]
	return ""
}
