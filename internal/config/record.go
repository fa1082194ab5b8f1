package config

import "time"

// Record is the compact result of a past change.
type Record struct {
	ID       Hash
	Content  Hash
	Base     uint64
	Revision uint64   // of an accepted change, else 0
	At       int64    // Unix time in nanoseconds
	Refusal  *Refusal // nil for an accepted change
}

// Refusal holds the result of a refused change.
type Refusal struct {
	Result Result
}

func (r *Record) result() Result {
	if r.Refusal != nil {
		return r.Refusal.Result
	}
	return Result{Outcome: Accepted, Revision: r.Revision, At: time.Unix(0, r.At).UTC()}
}

// recordTable keeps the results of past changes in the order of their log
// entries. It is bounded by limit and MaxRecordAge.
type recordTable struct {
	// Start is the lowest base whose changes are all still in the table. A
	// change with a lower base may have run before and is refused.
	Start uint64

	limit   int
	clock   time.Time // highest proposer clock seen
	entries []Record  // oldest first
	dropped uint64    // entries removed from the front so far
	ids     positions
	bases   positions
}

func newRecordTable(limit int) recordTable {
	return recordTable{limit: limit, ids: positions{key: keyID}, bases: positions{key: keyBaseContent}}
}

// advance returns the time of a new entry. It never goes back, so that results
// of a proposer whose clock is behind are not dropped early.
func (r *recordTable) advance(at time.Time) time.Time {
	if at.After(r.clock) {
		r.clock = at.Round(0).UTC()
	}
	return r.clock
}

func (r *recordTable) byID(id Hash) (*Record, bool) {
	return r.ids.get(r, &Record{ID: id})
}

func (r *recordTable) byBase(base uint64, content Hash) (*Record, bool) {
	return r.bases.get(r, &Record{Base: base, Content: content})
}

// bySlot returns the record of a slot of positions, which holds the sequence
// number plus one modulo 2^32.
func (r *recordTable) bySlot(slot uint32) *Record {
	return &r.entries[slot-1-uint32(r.dropped)]
}

// add records the result of a change that is new to the table.
func (r *recordTable) add(c submission, revision uint64, res Result) {
	e := Record{ID: c.id, Content: c.content, Base: c.Base, Revision: res.Revision, At: res.At.UnixNano()}
	if res.Outcome == Refused {
		res.Final = true
		e.Refusal = &Refusal{Result: res}
	}
	r.push(e)
	r.trim(revision)
}

// addAlias records the ID of a change that repeats the base and content of a
// recorded one, so that its author can look up the result.
func (r *recordTable) addAlias(c submission) {
	if _, known := r.byID(c.id); known {
		return
	}
	first, ok := r.byBase(c.Base, c.content)
	if !ok {
		return
	}
	alias := *first
	alias.ID = c.id
	r.push(alias)
}

func (r *recordTable) push(e Record) {
	seq := r.dropped + uint64(len(r.entries))
	r.entries = append(r.entries, e)
	r.ids.put(r, seq)
	r.bases.put(r, seq)
}

// trim drops records beyond the bounds and moves Start past their bases.
func (r *recordTable) trim(revision uint64) {
	n := max(0, len(r.entries)-r.limit)
	for n < len(r.entries) && r.clock.UnixNano()-r.entries[n].At > int64(MaxRecordAge) {
		n++
	}
	for i := range n {
		r.drop(&r.entries[i], r.dropped+uint64(i), revision)
	}
	r.entries = r.entries[n:]
	r.dropped += uint64(n)
}

func (r *recordTable) drop(e *Record, seq, revision uint64) {
	r.ids.remove(r, seq)
	r.bases.remove(r, seq)
	// The base of a refused change may be the current revision, which must
	// stay a usable base.
	r.Start = max(r.Start, min(e.Base+1, revision))
}
