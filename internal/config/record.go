package config

import "time"

// Record is the compact result of a past change.
type Record struct {
	ID       Hash
	Content  Hash
	Base     uint64
	Revision uint64 // of an accepted change, else 0
	At       time.Time
	Refusal  *Refusal // nil for an accepted change
}

// Refusal holds why a recorded change was refused.
type Refusal struct {
	Result Result
}

func (r *Record) result() Result {
	if r.Refusal != nil {
		return r.Refusal.Result
	}
	return Result{Outcome: Accepted, Revision: r.Revision, At: r.At}
}

// record keeps the results of past changes in the order of their entries. It
// is bounded by MaxRecords and MaxRecordAge.
type record struct {
	// Start is the lowest base of which all changes are still in the record.
	// A change with an older base may have run before and is refused.
	Start uint64

	clock   time.Time // highest clock of a proposer
	entries []Record  // oldest first
	dropped uint64    // entries removed from the front so far
	ids     map[Hash]uint64
	bases   map[Hash]uint64 // by base and content
}

func newRecord() record {
	return record{ids: map[Hash]uint64{}, bases: map[Hash]uint64{}}
}

// advance returns the time of a new entry. Time never goes back, so that a
// proposer whose clock is late does not have its results dropped early.
func (r *record) advance(at time.Time) time.Time {
	if at.After(r.clock) {
		r.clock = at.Round(0).UTC()
	}
	return r.clock
}

func (r *record) byID(id Hash) (*Record, bool) { return r.at(r.ids, id) }

func (r *record) byBase(base Hash) (*Record, bool) { return r.at(r.bases, base) }

func (r *record) at(m map[Hash]uint64, key Hash) (*Record, bool) {
	seq, ok := m[key]
	if !ok {
		return nil, false
	}
	return &r.entries[seq-r.dropped], true
}

// add records the result of a change that is new to the record.
func (r *record) add(c submission, revision uint64, res Result) {
	e := Record{ID: c.id, Content: c.content, Base: c.Base, Revision: res.Revision, At: res.At}
	if res.Outcome == Refused {
		res.Final = true
		e.Refusal = &Refusal{Result: res}
	}
	r.push(e, c.base)
	r.trim(revision)
}

// addAlias records the ID of a change that repeats another one's base and
// content, so that its author can look it up.
func (r *record) addAlias(c submission) {
	if _, known := r.byID(c.id); known {
		return
	}
	first, ok := r.byBase(c.base)
	if !ok {
		return
	}
	alias := *first
	alias.ID = c.id
	r.push(alias, c.base)
}

func (r *record) push(e Record, base Hash) {
	seq := r.dropped + uint64(len(r.entries))
	r.entries = append(r.entries, e)
	r.ids[e.ID] = seq
	r.bases[base] = seq
}

// trim drops entries beyond the bounds and moves Start past their bases.
func (r *record) trim(revision uint64) {
	n := max(0, len(r.entries)-MaxRecords)
	for n < len(r.entries) && r.clock.Sub(r.entries[n].At) > MaxRecordAge {
		n++
	}
	for i := range n {
		r.drop(&r.entries[i], r.dropped+uint64(i), revision)
	}
	r.entries = r.entries[n:]
	r.dropped += uint64(n)
}

func (r *record) drop(e *Record, seq, revision uint64) {
	if r.ids[e.ID] == seq {
		delete(r.ids, e.ID)
	}
	key := baseKey(e.Base, e.Content)
	if r.bases[key] == seq {
		delete(r.bases, key)
	}
	// A refused change may name the current revision, which must stay a
	// usable base.
	r.Start = max(r.Start, min(e.Base+1, revision))
}
