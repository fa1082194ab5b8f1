package targets

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// viewBuckets is the number of buckets that the targets of a View are divided
// into, so that a change copies one bucket and not all targets.
const viewBuckets = 256

// View is an immutable view of the targets that are alive or draining, for
// traffic goroutines.
type View struct {
	buckets   [viewBuckets][]*Record // each sorted by target
	length    int
	snapshots map[string]*Snapshot
}

// Snapshot is an index snapshot with the replicas of its shards.
type Snapshot struct {
	*Layout
	replicas [][]Replica // parallel to Shards, each sorted by target and searcher
}

// Replica is a searcher that holds a shard and whose target is alive.
type Replica struct {
	Target   *Record
	Searcher int // index in Target.Searchers
}

// Target returns the record of a target that is alive or draining.
func (v *View) Target(name string) (*Record, bool) {
	bucket := v.buckets[bucketOf(name)]
	i, ok := findRecord(bucket, name)
	if !ok {
		return nil, false
	}
	return bucket[i], true
}

// Targets returns all targets that are alive or draining, in no particular
// order.
func (v *View) Targets() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		for _, bucket := range v.buckets {
			for _, r := range bucket {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Len returns the number of targets that are alive or draining.
func (v *View) Len() int { return v.length }

// Snapshot returns an index snapshot whose layout is known, even if its shards
// have no replicas.
func (v *View) Snapshot(name string) (*Snapshot, bool) {
	s, ok := v.snapshots[name]
	return s, ok
}

// Snapshots returns all index snapshots, newest first.
func (v *View) Snapshots() []*Snapshot {
	return slices.SortedFunc(maps.Values(v.snapshots), func(a, b *Snapshot) int {
		return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(a.IndexSnapshot, b.IndexSnapshot))
	})
}

// ShardIndex returns the position of a shard in the layout.
func (s *Snapshot) ShardIndex(shard string) (int, bool) {
	return slices.BinarySearch(s.Shards, shard)
}

// Replicas returns the replicas of a shard in targets that are alive. The
// caller must not modify the result.
func (s *Snapshot) Replicas(shard string) []Replica {
	i, ok := s.ShardIndex(shard)
	if !ok {
		return nil
	}
	return s.replicas[i]
}

// ReplicasAt returns the replicas of the shard at a position of the layout.
func (s *Snapshot) ReplicasAt(i int) []Replica { return s.replicas[i] }

func bucketOf(target string) int { return int(xxhash.Sum64String(target) % viewBuckets) }

func findRecord(bucket []*Record, name string) (int, bool) {
	return slices.BinarySearchFunc(bucket, name, func(r *Record, n string) int { return cmp.Compare(r.Target, n) })
}

func compareReplica(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Target.Target, b.Target.Target), cmp.Compare(a.Searcher, b.Searcher))
}

// viewBuilder applies changes to a working copy of the published view. It
// copies each bucket and each list of replicas at most once per publication.
type viewBuilder struct {
	published  *View
	next       *View             // nil while there are no unpublished changes
	ownBuckets [viewBuckets]bool // whether next has its own copy of a bucket
	ownShards  map[string][]bool // by index snapshot: whether next has its own copy of a shard's replicas
}

func newViewBuilder() *viewBuilder {
	return &viewBuilder{published: &View{snapshots: map[string]*Snapshot{}}}
}

// publish returns the current view. Later changes don't affect it.
func (b *viewBuilder) publish() *View {
	if b.next != nil {
		b.published = b.next
		b.next = nil
	}
	return b.published
}

func (b *viewBuilder) working() *View {
	if b.next == nil {
		c := *b.published
		c.snapshots = maps.Clone(c.snapshots)
		b.next = &c
		b.ownBuckets = [viewBuckets]bool{}
		b.ownShards = map[string][]bool{}
	}
	return b.next
}

func (b *viewBuilder) bucket(target string) *[]*Record {
	v := b.working()
	i := bucketOf(target)
	if !b.ownBuckets[i] {
		v.buckets[i] = slices.Clone(v.buckets[i])
		b.ownBuckets[i] = true
	}
	return &v.buckets[i]
}

// add adds a record that is not expired. Shards that it holds under a layout
// other than the known one are left out.
func (b *viewBuilder) add(r *Record) {
	bucket := b.bucket(r.Target)
	i, _ := findRecord(*bucket, r.Target)
	*bucket = slices.Insert(*bucket, i, r)
	b.next.length++
	b.eachHeldShard(r, b.addReplica)
}

// remove removes a record that add added.
func (b *viewBuilder) remove(r *Record) {
	bucket := b.bucket(r.Target)
	if i, ok := findRecord(*bucket, r.Target); ok {
		*bucket = slices.Delete(*bucket, i, i+1)
		b.next.length--
	}
	b.eachHeldShard(r, b.removeReplica)
}

func (b *viewBuilder) addReplica(snapshot string, shard int, rep Replica) {
	list := b.replicas(snapshot, shard)
	if i, ok := slices.BinarySearchFunc(*list, rep, compareReplica); !ok {
		*list = slices.Insert(*list, i, rep)
	}
}

func (b *viewBuilder) removeReplica(snapshot string, shard int, rep Replica) {
	list := b.replicas(snapshot, shard)
	if i, ok := slices.BinarySearchFunc(*list, rep, compareReplica); ok {
		*list = slices.Delete(*list, i, i+1)
	}
}

// eachHeldShard calls f for every shard that an alive record holds under the
// known layout.
func (b *viewBuilder) eachHeldShard(r *Record, f func(snapshot string, shard int, rep Replica)) {
	if r.Status != StatusAlive {
		return
	}
	for i, s := range r.Searchers {
		for _, h := range s.Holds {
			b.eachShard(r, h, func(shard int) { f(h.IndexSnapshot, shard, Replica{Target: r, Searcher: i}) })
		}
	}
}

func (b *viewBuilder) eachShard(r *Record, h Holding, f func(shard int)) {
	snap := b.working().snapshots[h.IndexSnapshot]
	if snap == nil || snap.Hash != r.layoutHash(h.IndexSnapshot) {
		return
	}
	for _, name := range h.Shards {
		if shard, ok := snap.ShardIndex(name); ok {
			f(shard)
		}
	}
}

func (r *Record) layoutHash(snapshot string) uint64 {
	for i, s := range r.IndexSnapshots {
		if s.Name == snapshot {
			return r.LayoutHashes[i]
		}
	}
	return 0
}

// replicas returns the replicas of a shard in a copy that may be modified.
func (b *viewBuilder) replicas(snapshot string, shard int) *[]Replica {
	v := b.working()
	own := b.ownShards[snapshot]
	if own == nil {
		old := v.snapshots[snapshot]
		v.snapshots[snapshot] = &Snapshot{Layout: old.Layout, replicas: slices.Clone(old.replicas)}
		own = make([]bool, len(old.replicas))
		b.ownShards[snapshot] = own
	}
	list := &v.snapshots[snapshot].replicas[shard]
	if !own[shard] {
		*list = slices.Clone(*list)
		own[shard] = true
	}
	return list
}

// setLayout adds or replaces a layout, without replicas.
func (b *viewBuilder) setLayout(l *Layout) {
	b.working().snapshots[l.IndexSnapshot] = &Snapshot{Layout: l, replicas: make([][]Replica, len(l.Shards))}
	own := make([]bool, len(l.Shards))
	for i := range own {
		own[i] = true
	}
	b.ownShards[l.IndexSnapshot] = own
}

// addHoldings adds the replicas of one index snapshot for a record that is
// already in the view.
func (b *viewBuilder) addHoldings(r *Record, snapshot string) {
	b.eachHeldShard(r, func(name string, shard int, rep Replica) {
		if name == snapshot {
			b.addReplica(name, shard, rep)
		}
	})
}

func (b *viewBuilder) dropLayout(snapshot string) {
	delete(b.working().snapshots, snapshot)
	delete(b.ownShards, snapshot)
}
