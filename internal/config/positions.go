package config

import "encoding/binary"

// positions is a hash table from a property of records to their positions. It
// holds four bytes an entry and leaves the keys in the records, because the
// record's memory counts on every host.
type positions struct {
	slots []uint32 // sequence number plus one, or 0; linear probing
	used  int
	by    property
}

// property is what records are looked up by.
type property uint8

const (
	propertyID property = iota
	propertyBase
)

const minSlots = 64

func (p property) hash(r *Record) uint64 {
	if p == propertyID {
		return binary.LittleEndian.Uint64(r.ID[:])
	}
	return binary.LittleEndian.Uint64(r.Content[:]) + r.Base
}

func (p property) same(a, b *Record) bool {
	if p == propertyID {
		return a.ID == b.ID
	}
	return a.Base == b.Base && a.Content == b.Content
}

// find returns the slot of the record that is the same as want, or of the
// free slot where it belongs.
func (p *positions) find(r *record, want *Record) int {
	mask := len(p.slots) - 1
	i := int(p.by.hash(want)) & mask
	for p.slots[i] != 0 && !p.by.same(r.bySlot(p.slots[i]), want) {
		i = (i + 1) & mask
	}
	return i
}

// get returns the record that is the same as want.
func (p *positions) get(r *record, want *Record) (*Record, bool) {
	if p.used == 0 {
		return nil, false
	}
	if slot := p.slots[p.find(r, want)]; slot != 0 {
		return r.bySlot(slot), true
	}
	return nil, false
}

// put makes the record at seq the one that get returns.
func (p *positions) put(r *record, seq uint64) {
	if 4*(p.used+1) > 3*len(p.slots) {
		p.grow(r, max(minSlots, 2*len(p.slots)))
	}
	slot := uint32(seq + 1)
	i := p.find(r, r.bySlot(slot))
	if p.slots[i] == 0 {
		p.used++
	}
	p.slots[i] = slot
}

func (p *positions) grow(r *record, size int) {
	old := p.slots
	p.slots = make([]uint32, size)
	for _, slot := range old {
		if slot != 0 {
			p.slots[p.find(r, r.bySlot(slot))] = slot
		}
	}
}

// remove forgets the record at seq unless a later one took its place. The
// entries that follow move up, so that probing never meets a hole.
func (p *positions) remove(r *record, seq uint64) {
	slot := uint32(seq + 1)
	i := p.find(r, r.bySlot(slot))
	if p.slots[i] != slot {
		return
	}
	p.slots[i] = 0
	p.used--
	mask := len(p.slots) - 1
	for j := (i + 1) & mask; p.slots[j] != 0; j = (j + 1) & mask {
		moved := p.slots[j]
		p.slots[j] = 0
		p.slots[p.find(r, r.bySlot(moved))] = moved
	}
}
