package consensus

import (
	"bytes"
	"time"
)

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	from        Identity
	leaderTerm  uint64
	index       uint64
	lastChunkAt time.Time // last chunk that was added
	data        bytes.Buffer
}

func (s *incomingSnapshot) received() uint64 { return uint64(s.data.Len()) }

// addChunk adds a chunk and returns the snapshot once it is complete. It never
// mixes chunks from different senders or terms, since two hosts may encode the
// same state differently.
func (n *Node) addChunk(m Message, c InstallSnapshot) (Snapshot, bool) {
	in := n.incoming
	if in == nil || in.from != m.From.Identity || in.leaderTerm != m.Term || in.index != c.Index {
		in = &incomingSnapshot{from: m.From.Identity, leaderTerm: m.Term, index: c.Index}
		n.incoming = in
	}
	if c.Offset == in.received() {
		in.data.Write(c.Data)
		in.lastChunkAt = n.now
	}
	if in.received() < c.Total {
		return Snapshot{}, false
	}
	n.incoming = nil
	return Snapshot{Index: c.Index, Term: c.SnapshotTerm, Voters: c.Voters, Data: in.data.Bytes()}, true
}

// compact stores a snapshot of the applied state and drops the entries it covers,
// except for the last TrailingEntries.
func (n *Node) compact(c Compact) {
	if n.snapshot == nil || c.Index <= n.snapshot.Index || c.Index > min(n.applied, n.log.stable) {
		return
	}
	term, _ := n.log.term(c.Index)
	voters := n.votersAt(c.Index)
	n.snapshot = &Snapshot{Index: c.Index, Term: term, Voters: voters.Clone(), Data: c.Data}
	n.storage.snapshotDirty = true
	n.dropVotersBefore(c.Index)
	if trailing := uint64(n.opts.TrailingEntries); c.Index > trailing {
		n.log.compact(c.Index - trailing)
	}
}

// startSnapshot starts to send the latest snapshot to a follower that needs
// entries the log no longer has.
func (n *Node) startSnapshot(p *progress) {
	p.state = snapshotting
	p.snapshot = n.snapshot
	p.offset = 0
	n.sendChunk(p)
}

func (n *Node) sendChunk(p *progress) {
	p.sentAt = n.now
	n.send(p.member, chunk(p.snapshot, p.offset, n.opts.SnapshotChunkBytes))
}

func chunk(s *Snapshot, offset uint64, size int) InstallSnapshot {
	end := min(offset+uint64(size), uint64(len(s.Data)))
	return InstallSnapshot{
		Index: s.Index, SnapshotTerm: s.Term, Voters: s.Voters.Clone(),
		Total: uint64(len(s.Data)), Offset: offset, Data: s.Data[offset:end],
	}
}

func (n *Node) onInstallSnapshot(m Message, c InstallSnapshot) {
	reply := InstallSnapshotReply{Index: c.Index, Offset: c.Total, Done: true}
	if c.Index <= n.hard.Commit {
		n.sendWhenDurable(n.message(m.From, reply))
		return
	}
	snapshot, done := n.addChunk(m, c)
	if !done {
		n.send(m.From, InstallSnapshotReply{Index: c.Index, Offset: n.incoming.received()})
		return
	}
	n.install(snapshot)
	n.sendWhenDurable(n.message(m.From, reply))
}

// install replaces the applied state by a snapshot from another node, or by the
// initial one. A log that contains the last entry of the snapshot keeps the
// entries after it.
func (n *Node) install(s Snapshot) {
	n.snapshot = &s
	n.storage.snapshotDirty = true
	if n.log.matches(s.Index, s.Term) {
		n.installVoters(s, true)
		n.log.compact(s.Index)
		n.log.unflushed = max(n.log.unflushed, s.Index+1)
		n.log.stable = max(n.log.stable, s.Index)
	} else {
		n.log.reset(s.Index, s.Term)
		n.installVoters(s, false)
	}
	n.hard.Commit = max(n.hard.Commit, s.Index)
	n.applied = s.Index
	n.emit(RestoreSnapshot{Snapshot: s})
}

func (n *Node) onInstallSnapshotReply(p *progress, r InstallSnapshotReply) {
	if p.state != snapshotting || r.Index != p.snapshot.Index {
		return
	}
	if !r.Done {
		if r.Offset <= uint64(len(p.snapshot.Data)) && r.Offset != p.offset {
			p.offset = r.Offset
			n.sendChunk(p)
		}
		return
	}
	p.snapshot = nil
	p.match = max(p.match, r.Index)
	p.next = p.match + 1
	p.inFlight = 0
	p.state = probing
	n.sendAppends(p)
}
