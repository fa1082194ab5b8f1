// Package spread disseminates the records of targets, the layouts of index
// snapshots and the states of members between neighbouring hosts.
package spread

import (
	"cmp"
	"encoding/binary"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// Kind is the kind of record that an item carries.
type Kind uint8

// Kinds of items.
const (
	KindMember Kind = 1 + iota
	KindTarget
	KindLayout
)

// Key identifies an item. All hosts converge on the same version of it.
type Key struct {
	Kind Kind
	Name string
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(l Key) int {
	return cmp.Or(cmp.Compare(k.Kind, l.Kind), cmp.Compare(k.Name, l.Name))
}

// Version identifies one of the versions of an item. A higher version replaces a
// lower one.
type Version struct {
	Incarnation uint64
	Seq         uint64
	Rank        uint8
	Tie         uint64
}

// Compare orders versions.
func (v Version) Compare(w Version) int {
	return cmp.Or(
		cmp.Compare(v.Incarnation, w.Incarnation),
		cmp.Compare(v.Seq, w.Seq),
		cmp.Compare(v.Rank, w.Rank),
		cmp.Compare(v.Tie, w.Tie),
	)
}

// Item is one version of a record. One of Member, Target and Layout is set
// according to the kind; an offer, which only announces the version, has none.
type Item struct {
	Key     Key
	Version Version
	Member  *membership.Member
	Target  *targets.Record
	Layout  *targets.Layout
	Age     time.Duration // time since a member was lost or a target expired
	Bytes   int           // approximate encoded size
}

// IsOffer reports whether the item only announces its version.
func (i *Item) IsOffer() bool { return i.Member == nil && i.Target == nil && i.Layout == nil }

// offer returns the item without its value.
func (i *Item) offer() Item {
	return Item{Key: i.Key, Version: i.Version, Bytes: itemOverhead + len(i.Key.Name)}
}

// Source provides the current versions of items.
type Source interface {
	Item(now time.Time, key Key) (Item, bool)
	Items(now time.Time) iter.Seq[Item]
}

// Approximate encoded sizes in bytes.
const (
	itemOverhead     = 40
	memberOverhead   = 40
	targetOverhead   = 60
	searcherOverhead = 12
	nameOverhead     = 3
)

// Records is the Source backed by the target registry and the membership state.
type Records struct {
	Targets *targets.Registry
	Members *membership.State
}

// Item returns the current version of an item.
func (r Records) Item(now time.Time, key Key) (Item, bool) {
	switch key.Kind {
	case KindMember:
		m, stateFor, ok := r.Members.Member(now, key.Name)
		if !ok {
			return Item{}, false
		}
		return memberItem(m, stateFor), true
	case KindTarget:
		rec, expiredFor, ok := r.Targets.Record(now, key.Name)
		if !ok {
			return Item{}, false
		}
		return targetItem(rec, expiredFor), true
	case KindLayout:
		l, committed, ok := r.Targets.Layout(key.Name)
		if !ok {
			return Item{}, false
		}
		return layoutItem(l, committed), true
	}
	return Item{}, false
}

// Items returns the current versions of all items that hosts should agree on.
func (r Records) Items(now time.Time) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for m := range r.Members.Members(now) {
			if !yield(memberItem(m, 0)) {
				return
			}
		}
		for l := range r.Targets.Layouts() {
			_, committed, _ := r.Targets.Layout(l.IndexSnapshot)
			if !yield(layoutItem(l, committed)) {
				return
			}
		}
		for rec := range r.Targets.Records(now) {
			if !yield(targetItem(rec, 0)) {
				return
			}
		}
	}
}

func memberItem(m membership.Member, stateFor time.Duration) Item {
	return Item{
		Key:     Key{Kind: KindMember, Name: m.Host},
		Version: Version{Incarnation: m.Incarnation, Rank: uint8(m.State), Tie: m.ContentHash()},
		Member:  &m,
		Age:     stateFor,
		Bytes:   itemOverhead + memberOverhead + 2*len(m.Host) + len(m.Region) + len(m.FailureDomain),
	}
}

func targetItem(rec *targets.Record, expiredFor time.Duration) Item {
	return Item{
		Key:     Key{Kind: KindTarget, Name: rec.Target},
		Version: Version{Incarnation: rec.Incarnation, Seq: rec.Order(), Rank: uint8(rec.Status), Tie: rec.ContentHash()},
		Target:  rec,
		Age:     expiredFor,
		Bytes:   itemOverhead + targetBytes(rec),
	}
}

func targetBytes(rec *targets.Record) int {
	n := targetOverhead + 2*len(rec.Target) + len(rec.FailureDomain)
	for k, v := range rec.Labels {
		n += 2*nameOverhead + len(k) + len(v)
	}
	for _, s := range rec.Searchers {
		n += searcherOverhead + len(s.Name)
		for _, h := range s.Holds {
			n += nameOverhead + len(h.IndexSnapshot) + namesBytes(h.Shards)
		}
	}
	for _, s := range rec.IndexSnapshots {
		n += searcherOverhead + len(s.Name)
	}
	return n
}

// committedRank is the rank of a layout that the replicated log holds.
const committedRank = 1

// Committed reports whether the sender of a layout has it from the replicated log.
func (i *Item) Committed() bool { return i.Layout != nil && i.Version.Rank == committedRank }

// layoutItem returns the item of a layout. A layout committed in the replicated
// log ranks above others; otherwise layouts of one index snapshot are ordered by
// hash.
func layoutItem(l *targets.Layout, committed bool) Item {
	v := Version{Tie: l.Hash}
	if committed {
		v.Rank = committedRank
	}
	return Item{
		Key:     Key{Kind: KindLayout, Name: l.IndexSnapshot},
		Version: v,
		Layout:  l,
		Bytes:   itemOverhead + 2*len(l.IndexSnapshot) + namesBytes(l.Shards),
	}
}

func namesBytes(names []string) int {
	n := nameOverhead * len(names)
	for _, s := range names {
		n += len(s)
	}
	return n
}

// Buckets is the number of buckets of a Digest.
const Buckets = 256

// Digest summarizes the versions of all items of a host. Each bucket, selected
// by the hash of the key, is the XOR of the hashes of its items' keys and
// versions.
type Digest [Buckets]uint64

func (k Key) hash() uint64 {
	return xxhash.Sum64String(k.Name) ^ uint64(k.Kind)*0x9e3779b97f4a7c15
}

func (k Key) bucket() int { return int(k.hash() % Buckets) }

func (d *Digest) add(i *Item) {
	var b [33]byte
	hash := i.Key.hash()
	binary.LittleEndian.PutUint64(b[0:], hash)
	binary.LittleEndian.PutUint64(b[8:], i.Version.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], i.Version.Seq)
	binary.LittleEndian.PutUint64(b[24:], i.Version.Tie)
	b[32] = i.Version.Rank
	d[hash%Buckets] ^= xxhash.Sum64(b[:])
}
