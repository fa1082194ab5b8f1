package journal

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// change is the part of a consensus.Persist that is written to the log. A
// snapshot is identified by its position; its content is in a separate file.
type change struct {
	hard          consensus.HardState
	hasSnapshot   bool
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []consensus.Entry
}

func changeOf(p consensus.Persist) change {
	c := change{hard: p.HardState, entries: p.Entries}
	if p.Snapshot != nil {
		c.hasSnapshot = true
		c.snapshotIndex = p.Snapshot.Index
		c.snapshotTerm = p.Snapshot.Term
	}
	return c
}

// maxIndex returns the greatest index of an entry, or 0.
func (c change) maxIndex() uint64 {
	if len(c.entries) == 0 {
		return 0
	}
	return c.entries[len(c.entries)-1].Index
}

func appendBytes[T ~string | ~[]byte](b []byte, v T) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

func appendChange(b []byte, c change) []byte {
	b = appendBytes(b, c.hard.Cluster)
	b = binary.AppendUvarint(b, c.hard.Term)
	b = appendBytes(b, c.hard.Vote)
	b = binary.AppendUvarint(b, c.hard.Commit)
	if c.hasSnapshot {
		b = append(b, 1)
		b = binary.AppendUvarint(b, c.snapshotIndex)
		b = binary.AppendUvarint(b, c.snapshotTerm)
	} else {
		b = append(b, 0)
	}
	b = binary.AppendUvarint(b, uint64(len(c.entries)))
	for _, e := range c.entries {
		b = appendEntry(b, e)
	}
	return b
}

func appendEntry(b []byte, e consensus.Entry) []byte {
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Kind))
	if e.Kind == consensus.EntryVoters && e.Voters != nil {
		return appendVoters(b, *e.Voters)
	}
	return appendBytes(b, e.Data)
}

func appendVoters(b []byte, s consensus.VoterSet) []byte {
	b = appendMembers(b, s.Voters)
	return appendMembers(b, s.Learners)
}

func appendMembers(b []byte, members []consensus.Member) []byte {
	b = binary.AppendUvarint(b, uint64(len(members)))
	for _, m := range members {
		b = appendBytes(b, m.Identity)
		b = appendBytes(b, m.Name)
		b = appendBytes(b, m.Address)
	}
	return b
}

var errMalformed = errors.New("malformed record")

// decoder reads values from a buffer. After the first malformed value all
// further reads return zero values and err is set.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail() {
	d.b = nil
	d.err = errMalformed
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) byte() byte {
	if len(d.b) == 0 {
		d.fail()
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

// bytes returns a part of the buffer without copying it.
func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.fail()
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) identity() consensus.Identity { return consensus.Identity(d.bytes()) }

// count reads the length of a list. Every element takes at least one byte, so
// a greater number is malformed and cannot cause a large allocation.
func (d *decoder) count() int {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *decoder) change() change {
	var c change
	c.hard.Cluster = d.identity()
	c.hard.Term = d.uvarint()
	c.hard.Vote = d.identity()
	c.hard.Commit = d.uvarint()
	switch d.byte() {
	case 0:
	case 1:
		c.hasSnapshot = true
		c.snapshotIndex = d.uvarint()
		c.snapshotTerm = d.uvarint()
	default:
		d.fail()
	}
	n := d.count()
	for i := 0; i < n && d.err == nil; i++ {
		c.entries = append(c.entries, d.entry())
	}
	return c
}

func (d *decoder) entry() consensus.Entry {
	e := consensus.Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: consensus.EntryKind(d.byte())}
	switch e.Kind {
	case consensus.EntryNormal, consensus.EntryNoOp:
		if data := d.bytes(); len(data) > 0 {
			e.Data = data
		}
	case consensus.EntryVoters:
		s := d.voters()
		e.Voters = &s
	default:
		d.fail()
	}
	return e
}

func (d *decoder) voters() consensus.VoterSet {
	return consensus.VoterSet{Voters: d.members(), Learners: d.members()}
}

func (d *decoder) members() []consensus.Member {
	n := d.count()
	var members []consensus.Member
	for i := 0; i < n && d.err == nil; i++ {
		members = append(members, consensus.Member{
			Identity: d.identity(), Name: string(d.bytes()), Address: string(d.bytes()),
		})
	}
	return members
}
