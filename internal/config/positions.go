package config

import "encoding/binary"

// positions is a hash index of a recordTable. A slot takes four bytes and holds
// the position of a record, and the keys stay in the records, to save memory on
// every host with a log.
type positions struct {
	slots []uint32 // sequence number plus one, 0 if free; linear probing
	used  int
	key   recordKey
}

// recordKey selects the fields by which records are looked up.
type recordKey uint8

const (
	keyID recordKey = iota
	keyBaseContent
)

const minSlots = 64

func (k recordKey) hash(r *Record) uint64 {
	if k == keyID {
		return binary.LittleEndian.Uint64(r.ID[:])
	}
	return binary.LittleEndian.Uint64(r.Content[:]) + r.Base
}

func (k recordKey) equal(a, b *Record) bool {
	if k == keyID {
		return a.ID == b.ID
	}
	return a.Base == b.Base && a.Content == b.Content
}

// find returns the index of the slot that holds a record with the key of want,
// or of the free slot where it belongs.
func (p *positions) find(r *recordTable, want *Record) int {
	mask := len(p.slots) - 1
	i := int(p.key.hash(want)) & mask
	for p.slots[i] != 0 && !p.key.equal(r.bySlot(p.slots[i]), want) {
		i = (i + 1) & mask
	}
	return i
}

// get returns the record with the key of want.
func (p *positions) get(r *recordTable, want *Record) (*Record, bool) {
	if p.used == 0 {
		return nil, false
	}
	if slot := p.slots[p.find(r, want)]; slot != 0 {
		return r.bySlot(slot), true
	}
	return nil, false
}

// put adds the record with sequence number seq. It replaces the entry of an
// earlier record with the same key.
func (p *positions) put(r *recordTable, seq uint64) {
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

func (p *positions) grow(r *recordTable, size int) {
	old := p.slots
	p.slots = make([]uint32, size)
	for _, slot := range old {
		if slot != 0 {
			p.slots[p.find(r, r.bySlot(slot))] = slot
		}
	}
}

// remove removes the entry of the record with sequence number seq unless that of
// a later record has replaced it. It reinserts the entries that follow, so that
// no free slot ends their probing sequences too early.
func (p *positions) remove(r *recordTable, seq uint64) {
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
