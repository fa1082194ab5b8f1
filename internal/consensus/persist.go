package consensus

import "time"

// storage tracks what the journal has been asked to write.
type storage struct {
	seq           uint64    // last Persist emitted
	emitted       HardState // hard state of the last Persist
	snapshotDirty bool      // the snapshot is in no Persist yet
	outstanding   []outstandingPersist
	held          []heldEffect // waiting for a Persist that was emitted
	waiting       []heldEffect // waiting for a Persist that is not yet emitted
	full          bool
	retryAt       time.Time
}

type outstandingPersist struct {
	persist             Persist
	lastIndex, lastTerm uint64 // end of the log after this Persist
}

// heldEffect is a message, or the vote of a candidate for itself, that must
// not take effect before a change is durable.
type heldEffect struct {
	seq          uint64
	send         Send
	selfVoteTerm uint64 // not zero for a self-vote
}

// hold emits s once everything changed up to the end of this step is durable.
func (n *Node) hold(s Send) {
	n.storage.waiting = append(n.storage.waiting, heldEffect{send: s})
}

func (n *Node) holdSelfVote() {
	n.storage.waiting = append(n.storage.waiting, heldEffect{selfVoteTerm: n.hard.Term})
}

// dirty reports whether the state differs from what was emitted. A new commit
// index alone is not written, since a restarted node learns it again.
func (n *Node) dirty() bool {
	before, after := n.storage.emitted, n.hard
	before.Commit, after.Commit = 0, 0
	return before != after || n.storage.snapshotDirty || n.log.unflushed <= n.log.lastIndex()
}

// flush emits one Persist for all changes of the step and binds the held
// messages to it. While too many are outstanding, changes collect for the
// next one.
func (n *Node) flush() {
	s := &n.storage
	dirty := n.dirty()
	if dirty && (s.full || len(s.outstanding) >= n.opts.MaxPersistsInFlight) {
		return
	}
	if dirty {
		n.emitPersist()
	}
	if len(s.outstanding) == 0 {
		waiting := s.waiting
		s.waiting = nil
		for _, h := range waiting {
			n.release(h)
		}
		return
	}
	for _, h := range s.waiting {
		h.seq = s.seq
		s.held = append(s.held, h)
	}
	s.waiting = s.waiting[:0]
}

func (n *Node) emitPersist() {
	s := &n.storage
	s.seq++
	p := Persist{Seq: s.seq, HardState: n.hard}
	if s.snapshotDirty {
		snapshot := *n.snapshot
		p.Snapshot = &snapshot
	}
	if last := n.log.lastIndex(); n.log.unflushed <= last {
		p.Entries = n.log.between(n.log.unflushed-1, last)
	}
	s.emitted = n.hard
	s.snapshotDirty = false
	n.log.unflushed = n.log.lastIndex() + 1
	s.outstanding = append(s.outstanding, outstandingPersist{p, n.log.lastIndex(), n.log.lastTerm()})
	n.emit(p)
}

// persisted notes that everything up to seq is durable.
func (n *Node) persisted(seq uint64) {
	s := &n.storage
	done := 0
	for done < len(s.outstanding) && s.outstanding[done].persist.Seq <= seq {
		o := s.outstanding[done]
		if n.log.matches(o.lastIndex, o.lastTerm) {
			n.log.stable = max(n.log.stable, o.lastIndex)
		}
		done++
	}
	if done == 0 {
		return
	}
	s.outstanding = append([]outstandingPersist(nil), s.outstanding[done:]...)
	if s.full && len(s.outstanding) == 0 {
		s.full = false
		n.emit(StorageFull{Full: false})
	}
	ready := 0
	for ready < len(s.held) && s.held[ready].seq <= seq {
		ready++
	}
	released := s.held[:ready:ready]
	s.held = s.held[ready:]
	for _, h := range released {
		n.release(h)
	}
}

func (n *Node) release(h heldEffect) {
	if h.selfVoteTerm == 0 {
		n.emit(h.send)
		return
	}
	if h.selfVoteTerm == n.hard.Term && n.role == Candidate {
		n.countVote(n.self())
	}
}

// persistFailed keeps the refused changes for a later attempt. A leader with
// a full disk tries to hand over, since it cannot accept proposals.
func (n *Node) persistFailed(seq uint64) {
	s := &n.storage
	if len(s.outstanding) == 0 || s.outstanding[len(s.outstanding)-1].persist.Seq < seq {
		return
	}
	s.retryAt = n.now.Add(n.opts.ElectionTimeout)
	if s.full {
		return
	}
	s.full = true
	n.emit(StorageFull{Full: true})
	if n.role == Leader {
		n.startTransfer("", "")
	}
}

// retryPersist emits the refused changes again, in order and with their old
// sequence numbers.
func (n *Node) retryPersist() {
	s := &n.storage
	if !s.full || n.now.Before(s.retryAt) {
		return
	}
	s.retryAt = n.now.Add(n.opts.ElectionTimeout)
	for _, o := range s.outstanding {
		n.emit(o.persist)
	}
	if n.role == Leader {
		n.startTransfer("", "")
	}
}
