package targets

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a target that the hosts agree on.
type Status uint8

// Statuses, in ascending precedence among records of equal incarnation and seq.
const (
	StatusAlive    Status = iota // takes new work
	StatusDraining               // takes no new work, finishes its current work
	StatusExpired                // its lease ended
)

// String returns the status as logs and the state dump show it.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusDraining:
		return "draining"
	default:
		return "expired"
	}
}

// Record is the state of one target that the hosts share. It is immutable once
// the registry holds it. The layouts of its index snapshots are stored
// separately: IndexSnapshots[i].Layout is nil and LayoutHashes[i] identifies the
// layout.
type Record struct {
	Announcement
	Status       Status
	LayoutHashes []uint64
	// Leaving is set once the target itself has said in a reply that it leaves.
	// It takes no new work again in this incarnation, whatever it announces.
	Leaving     bool
	contentHash uint64
}

// Compare orders the records of one target: the result is positive if r
// replaces other. Within an incarnation, a record of a leaving target replaces
// all others, since a delayed announcement may have a higher seq. Records of
// equal incarnation, seq and status are ordered by content hash, so that all
// hosts keep the same one.
func (r *Record) Compare(other *Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Order(), other.Order()),
		cmp.Compare(r.Status, other.Status),
		cmp.Compare(r.contentHash, other.contentHash),
	)
}

// leavingBit marks the order of a leaving target's record. A seq is at most
// MaxSeq, so the bit is free.
const leavingBit = 1 << 63

// Order returns a number that orders the records of one incarnation.
func (r *Record) Order() uint64 {
	if r.Leaving {
		return r.Seq | leavingBit
	}
	return r.Seq
}

// ContentHash returns the hash of everything the target announced except
// Incarnation, Seq and Reported. It is zero until the registry holds the record.
func (r *Record) ContentHash() uint64 { return r.contentHash }

// Validate checks a record from another host and returns the first fault it
// finds.
func (r *Record) Validate() error {
	if err := r.validateIdentity(); err != nil {
		return err
	}
	if r.Status > StatusExpired {
		return invalid("status %d is unknown", r.Status)
	}
	if r.Leaving && r.Status == StatusAlive {
		return invalid("a leaving target has status %q", r.Status)
	}
	if len(r.IndexSnapshots) > MaxSnapshots || len(r.LayoutHashes) != len(r.IndexSnapshots) {
		return invalid("%d index snapshots with %d layout hashes", len(r.IndexSnapshots), len(r.LayoutHashes))
	}
	if len(r.Searchers) == 0 || len(r.Searchers) > MaxSearchers {
		return invalid("%d searchers, outside 1..%d", len(r.Searchers), MaxSearchers)
	}
	for _, s := range r.Searchers {
		if !validName(s.Name) || s.Slots < 1 || s.Slots > MaxSlots || len(s.Holds) > MaxSnapshots {
			return invalid("searcher %q is malformed", s.Name)
		}
		for _, h := range s.Holds {
			if !validName(h.IndexSnapshot) || len(h.Shards) > MaxShards {
				return invalid("searcher %q holds a malformed list of shards", s.Name)
			}
		}
	}
	return nil
}

// asLeaving returns a copy of r for a target that leaves.
func (r *Record) asLeaving() *Record {
	c := r.with(r.Seq, max(r.Status, StatusDraining))
	c.Leaving = true
	return c
}

// with returns a copy of r with another seq and status.
func (r *Record) with(seq uint64, status Status) *Record {
	c := *r
	c.Seq = seq
	c.Status = status
	return &c
}

// observedDrain reports whether the drain is known only from a reply and not yet
// from an announcement.
func (r *Record) observedDrain() bool {
	return r.Status == StatusDraining && r.Phase != Draining
}

func statusOf(p Phase) Status {
	if p == Draining {
		return StatusDraining
	}
	return StatusAlive
}

// Layout is the full list of an index snapshot's shards, sorted.
type Layout struct {
	IndexSnapshot string
	Generation    uint64
	Shards        []string
	Hash          uint64
}

// NewLayout returns a layout with sorted shards and its hash. It retains the
// slice if it is already sorted.
func NewLayout(name string, generation uint64, shards []string) *Layout {
	if !slices.IsSorted(shards) {
		shards = slices.Sorted(slices.Values(shards))
	}
	h := newFieldHasher()
	h.number(generation)
	for _, s := range shards {
		h.text(s)
	}
	return &Layout{IndexSnapshot: name, Generation: generation, Shards: shards, Hash: h.sum()}
}

// Validate checks a layout from another host and returns the first fault it
// finds.
func (l *Layout) Validate() error {
	a := Announcement{IndexSnapshots: []IndexSnapshot{{Name: l.IndexSnapshot, Generation: l.Generation, Layout: l.Shards}}}
	_, err := a.validateSnapshots()
	return err
}

// split separates a valid announcement into its record and its layouts. The
// order in which a target lists shards has no meaning, so both list them sorted.
func split(a Announcement) (*Record, []*Layout) {
	layouts := make([]*Layout, len(a.IndexSnapshots))
	rec := &Record{Announcement: a, Status: statusOf(a.Phase)}
	rec.IndexSnapshots = make([]IndexSnapshot, len(a.IndexSnapshots))
	rec.LayoutHashes = make([]uint64, len(a.IndexSnapshots))
	for i, s := range a.IndexSnapshots {
		layouts[i] = NewLayout(s.Name, s.Generation, s.Layout)
		rec.IndexSnapshots[i] = IndexSnapshot{Name: s.Name, Generation: s.Generation}
		rec.LayoutHashes[i] = layouts[i].Hash
	}
	rec.Searchers = make([]Searcher, len(a.Searchers))
	for i, s := range a.Searchers {
		rec.Searchers[i] = Searcher{Name: s.Name, Slots: s.Slots, Holds: sortedHolds(s.Holds)}
	}
	return rec, layouts
}

func sortedHolds(holds []Holding) []Holding {
	out := make([]Holding, len(holds))
	for i, h := range holds {
		out[i] = Holding{IndexSnapshot: h.IndexSnapshot, Shards: slices.Compact(slices.Sorted(slices.Values(h.Shards)))}
	}
	return out
}

// hashContent computes the content hash of a record.
func hashContent(r *Record) uint64 {
	h := newFieldHasher()
	h.text(r.Target)
	h.text(r.Address.String())
	h.text(r.FailureDomain)
	h.text(string(r.Phase))
	h.number(uint64(r.ConnectionLimit))
	h.number(hashLabels(r.Labels))
	h.number(hashSearchers(r.Searchers))
	h.number(hashSnapshots(r.IndexSnapshots))
	for _, l := range r.LayoutHashes {
		h.number(l)
	}
	return h.sum()
}

func hashLabels(labels map[string]string) uint64 {
	h := newFieldHasher()
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		h.text(k)
		h.text(labels[k])
	}
	return h.sum()
}

func hashSearchers(searchers []Searcher) uint64 {
	h := newFieldHasher()
	for _, s := range searchers {
		h.text(s.Name)
		h.number(uint64(s.Slots))
		h.number(uint64(len(s.Holds)))
		for _, hold := range s.Holds {
			h.text(hold.IndexSnapshot)
			h.number(uint64(len(hold.Shards)))
			for _, shard := range hold.Shards {
				h.text(shard)
			}
		}
	}
	return h.sum()
}

func hashSnapshots(snapshots []IndexSnapshot) uint64 {
	h := newFieldHasher()
	for _, s := range snapshots {
		h.text(s.Name)
		h.number(s.Generation)
	}
	return h.sum()
}

// fieldHasher hashes a sequence of fields. Texts follow their length and numbers
// end with a separator, so that moving a byte from one field to the next changes
// the sum.
type fieldHasher struct {
	digest *xxhash.Digest
	buf    [24]byte
}

func newFieldHasher() *fieldHasher { return &fieldHasher{digest: xxhash.New()} }

func (h *fieldHasher) text(s string) {
	h.number(uint64(len(s)))
	_, _ = h.digest.WriteString(s) // never fails
}

func (h *fieldHasher) number(n uint64) {
	b := append(strconv.AppendUint(h.buf[:0], n, 36), ';')
	_, _ = h.digest.Write(b) // never fails
}

func (h *fieldHasher) sum() uint64 { return h.digest.Sum64() }
