package targets

import (
	"maps"
	"slices"
)

// maxInterned bounds each intern table. A full table is cleared; values that
// were in it may then be held more than once.
const maxInterned = 16_384

// internTable deduplicates values across records. Targets with replicas of the
// same shards announce equal searchers, labels and index snapshots. With 55,000
// targets, separate copies would exceed the memory limit of a host.
type internTable[T any] struct {
	values map[uint64]T
	equal  func(a, b T) bool
}

func newInternTable[T any](equal func(a, b T) bool) internTable[T] {
	return internTable[T]{values: map[uint64]T{}, equal: equal}
}

// intern returns the stored value that equals v, or v itself.
func (t *internTable[T]) intern(hash uint64, v T) T {
	if old, ok := t.values[hash]; ok {
		if t.equal(old, v) {
			return old
		}
		return v
	}
	if len(t.values) >= maxInterned {
		clear(t.values)
	}
	t.values[hash] = v
	return v
}

type interner struct {
	domains   map[string]string
	labels    internTable[map[string]string]
	searchers internTable[[]Searcher]
	snapshots internTable[[]IndexSnapshot]
	layouts   internTable[[]uint64]
}

func newInterner() *interner {
	return &interner{
		domains:   map[string]string{},
		labels:    newInternTable(maps.Equal[map[string]string, map[string]string]),
		searchers: newInternTable(equalSearchers),
		snapshots: newInternTable(func(a, b []IndexSnapshot) bool { return slices.EqualFunc(a, b, equalSnapshot) }),
		layouts:   newInternTable(slices.Equal[[]uint64]),
	}
}

// canonical returns a copy of r for the registry, with interned values and the
// content hash.
func (in *interner) canonical(r *Record) *Record {
	c := *r
	c.FailureDomain = in.domain(r.FailureDomain)
	c.Labels = in.labels.intern(hashLabels(r.Labels), r.Labels)
	c.Searchers = in.searchers.intern(hashSearchers(r.Searchers), r.Searchers)
	snapshots := hashSnapshots(r.IndexSnapshots)
	c.IndexSnapshots = in.snapshots.intern(snapshots, r.IndexSnapshots)
	layouts := newFieldHasher()
	for _, h := range r.LayoutHashes {
		layouts.number(h)
	}
	c.LayoutHashes = in.layouts.intern(layouts.sum(), r.LayoutHashes)
	c.Phase = canonicalPhase(r.Phase)
	c.contentHash = hashContent(&c)
	return &c
}

func (in *interner) domain(s string) string {
	if known, ok := in.domains[s]; ok {
		return known
	}
	if len(in.domains) >= maxInterned {
		clear(in.domains)
	}
	in.domains[s] = s
	return s
}

func canonicalPhase(p Phase) Phase {
	switch p {
	case Draining:
		return Draining
	case Cold:
		return Cold
	default:
		return Ready
	}
}

func equalSearchers(a, b []Searcher) bool {
	return slices.EqualFunc(a, b, func(x, y Searcher) bool {
		return x.Name == y.Name && x.Slots == y.Slots && slices.EqualFunc(x.Holds, y.Holds, equalHolding)
	})
}

func equalHolding(a, b Holding) bool {
	return a.IndexSnapshot == b.IndexSnapshot && slices.Equal(a.Shards, b.Shards)
}

func equalSnapshot(a, b IndexSnapshot) bool {
	return a.Name == b.Name && a.Generation == b.Generation
}
