package consensus

import "time"

// storage tracks the Persist effects and the effects that wait for them.
type storage struct {
	seq           uint64    // sequence number of the last Persist
	emitted       HardState // hard state of the last Persist
	snapshotDirty bool      // the snapshot is in no Persist yet
	outstanding   []outstandingPersist
	deferred      []deferredEffect // waiting for an emitted Persist
	unassigned    []deferredEffect // waiting for a Persist that is not emitted yet
	full          bool
	retryAt       time.Time
}

type outstandingPersist struct {
	persist             Persist
	lastIndex, lastTerm uint64 // end of the log after this Persist
}

// deferredEffect is a message, or a candidate's vote for itself, that must not
// take effect before the changes up to Persist seq are durable.
type deferredEffect struct {
	seq          uint64
	send         Send
	selfVoteTerm uint64 // zero unless this is a self-vote
}

// sendWhenDurable emits s once all changes up to the end of this step are
// durable.
func (n *Node) sendWhenDurable(s Send) {
	n.storage.unassigned = append(n.storage.unassigned, deferredEffect{send: s})
}

func (n *Node) countSelfVoteWhenDurable() {
	n.storage.unassigned = append(n.storage.unassigned, deferredEffect{selfVoteTerm: n.hard.Term})
}

// dirty reports whether there are changes to persist. A new commit index alone
// is not persisted, since a restarted node learns it again.
func (n *Node) dirty() bool {
	before, after := n.storage.emitted, n.hard
	before.Commit, after.Commit = 0, 0
	return before != after || n.storage.snapshotDirty || n.log.unflushed <= n.log.lastIndex()
}

// flush emits one Persist for all changes of the step and assigns the waiting
// effects to it. While the journal refuses writes or too many Persist effects are
// outstanding, changes accumulate for a later one.
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
		unassigned := s.unassigned
		s.unassigned = nil
		for _, d := range unassigned {
			n.release(d)
		}
		return
	}
	for _, d := range s.unassigned {
		d.seq = s.seq
		s.deferred = append(s.deferred, d)
	}
	s.unassigned = s.unassigned[:0]
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

// persisted marks the changes up to seq as durable and releases the effects that
// waited for them.
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
	for ready < len(s.deferred) && s.deferred[ready].seq <= seq {
		ready++
	}
	released := s.deferred[:ready:ready]
	s.deferred = s.deferred[ready:]
	for _, d := range released {
		n.release(d)
	}
}

func (n *Node) release(d deferredEffect) {
	if d.selfVoteTerm == 0 {
		n.emit(d.send)
		return
	}
	if d.selfVoteTerm == n.hard.Term && n.role == Candidate {
		n.countVote(n.self())
	}
}

// persistFailed schedules a retry of the refused changes. A leader tries to
// transfer leadership, since it cannot accept proposals.
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

// retryPersist emits the refused Persist effects again, in order and with the
// same sequence numbers.
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
