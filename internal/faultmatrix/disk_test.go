package faultmatrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// disk simulates a data directory: the durable state, and the writes that are
// not synced yet and that a crash loses.
type disk struct {
	identity consensus.Identity
	durable  consensus.DurableState
	pending  []consensus.Persist
	slow     time.Duration
	full     bool
	refused  uint64 // seq of the first rejected write; later ones are rejected until it is retried
	wipes    int
	// firstStart is set if the directory dates from the first start of the system.
	firstStart bool
}

func newDisk(host string) *disk {
	return &disk{identity: consensus.Identity(host + "-0"), slow: time.Millisecond}
}

// lose empties the directory and gives it a new identity.
func (d *disk) lose(host string) {
	d.wipes++
	*d = disk{identity: consensus.Identity(fmt.Sprintf("%s-%d", host, d.wipes)), wipes: d.wipes, slow: d.slow}
}

// submit queues a write and reports whether the disk accepted it.
func (d *disk) submit(p consensus.Persist) bool {
	if d.full || d.refused != 0 && p.Seq > d.refused {
		if d.refused == 0 || p.Seq < d.refused {
			d.refused = p.Seq
		}
		return false
	}
	d.refused = 0
	d.pending = append(d.pending, p)
	return true
}

// sync makes the writes up to seq durable.
func (d *disk) sync(seq uint64) {
	for len(d.pending) > 0 && d.pending[0].Seq <= seq {
		d.apply(d.pending[0])
		d.pending = d.pending[1:]
	}
}

// crash drops the writes that were not synced. Torn writes need no simulation
// here: the journal detects them by their checksum and truncates them.
func (d *disk) crash() { d.pending = nil }

func (d *disk) apply(p consensus.Persist) {
	d.durable.HardState = p.HardState
	if s := p.Snapshot; s != nil {
		d.durable.Entries = d.entriesAfter(s)
		d.durable.Snapshot = s
	}
	if len(p.Entries) == 0 {
		return
	}
	at := slices.IndexFunc(d.durable.Entries, func(e consensus.Entry) bool { return e.Index >= p.Entries[0].Index })
	if at < 0 {
		at = len(d.durable.Entries)
	}
	d.durable.Entries = append(slices.Clone(d.durable.Entries[:at]), p.Entries...)
	d.durable.Entries = slices.DeleteFunc(d.durable.Entries, func(e consensus.Entry) bool { return e.Index <= d.durable.Snapshot.Index })
}

func (d *disk) entriesAfter(s *consensus.Snapshot) []consensus.Entry {
	at := slices.IndexFunc(d.durable.Entries, func(e consensus.Entry) bool { return e.Index == s.Index && e.Term == s.Term })
	if at < 0 {
		return nil
	}
	return slices.Clone(d.durable.Entries[at+1:])
}

// state returns the durable state that a new process reads.
func (d *disk) state() consensus.DurableState {
	s := d.durable
	s.Entries = slices.Clone(s.Entries)
	return s
}
