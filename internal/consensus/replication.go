package consensus

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"
)

// progressState is how a leader sends entries to a follower.
type progressState uint8

const (
	probing     progressState = iota // one append at a time until the logs match
	replicating                      // several appends in flight
	snapshotting
)

// progress is the leader's view of one follower.
type progress struct {
	member Member
	state  progressState
	match  uint64
	next   uint64
	// inFlight counts the unacknowledged appends. It is reset when all sent
	// entries are acknowledged and when sending restarts.
	inFlight int
	sentAt   time.Time // last append or chunk that needs a reply

	active    time.Time // last message received
	since     time.Time // from when on silence counts while no message was received
	round     uint64    // last heartbeat round acknowledged
	leaseFrom time.Time // when that round was sent

	snapshot *Snapshot // being sent
	offset   uint64
}

// silentSince returns the last time at which the follower may have been alive as far as
// this leader knows.
func (p *progress) silentSince() time.Time {
	if p.active.IsZero() {
		return p.since
	}
	return p.active
}

// sendAppends sends as many appends as the follower's progress permits, or starts
// to send a snapshot if the log lacks the entries.
func (n *Node) sendAppends(p *progress) {
	for n.maySend(p) {
		prev := p.next - 1
		prevTerm, ok := n.log.term(prev)
		if !ok {
			n.startSnapshot(p)
			return
		}
		entries := n.log.from(p.next, n.opts.MaxAppendEntries, n.opts.MaxAppendBytes)
		p.inFlight++
		p.sentAt = n.now
		n.send(p.member, Append{PrevIndex: prev, PrevTerm: prevTerm, Commit: n.hard.Commit, Entries: entries})
		if p.state == replicating {
			p.next += uint64(len(entries))
		}
	}
}

func (n *Node) maySend(p *progress) bool {
	switch p.state {
	case probing:
		return p.inFlight == 0
	case replicating:
		return p.next <= n.log.lastIndex() && p.inFlight < n.opts.MaxAppendsInFlight
	default:
		return false
	}
}

// sendCommit sends the commit index to a replicating follower in an append
// without entries.
func (n *Node) sendCommit(p *progress) {
	if p.state != replicating {
		return
	}
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if ok {
		n.send(p.member, Append{PrevIndex: prev, PrevTerm: prevTerm, Commit: n.hard.Commit})
	}
}

// resend sends again to a lagging follower if an append or chunk seems lost: none
// was sent for two heartbeat intervals.
func (n *Node) resend(p *progress) {
	behind := p.match < n.log.lastIndex()
	if !behind || n.now.Sub(p.sentAt) < 2*n.opts.HeartbeatInterval {
		return
	}
	if p.state == snapshotting {
		n.sendChunk(p)
		return
	}
	p.state = probing
	p.next = p.match + 1
	p.inFlight = 0
	n.sendAppends(p)
}

// onAppend appends entries if this log has the entry before them, and otherwise
// rejects them.
func (n *Node) onAppend(from Member, a Append) {
	if a.PrevIndex < n.hard.Commit {
		n.appendAfterCommit(from, a)
		return
	}
	if !n.log.matches(a.PrevIndex, a.PrevTerm) {
		index, term := n.log.lastAtOrBelow(a.PrevIndex, a.PrevTerm)
		n.sendWhenDurable(n.message(from, AppendReply{
			Rejected: true, PrevIndex: a.PrevIndex, HintIndex: index, HintTerm: term,
		}))
		return
	}
	n.appendMatching(from, a)
}

// appendAfterCommit skips the entries of an append that are already committed
// and so known to match.
func (n *Node) appendAfterCommit(from Member, a Append) {
	skip := n.hard.Commit - a.PrevIndex
	if skip >= uint64(len(a.Entries)) {
		n.sendWhenDurable(n.message(from, AppendReply{PrevIndex: a.PrevIndex, Match: n.hard.Commit}))
		return
	}
	a.PrevIndex = n.hard.Commit
	a.Entries = a.Entries[skip:]
	n.appendMatching(from, a)
}

func (n *Node) appendMatching(from Member, a Append) {
	for _, e := range a.Entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.truncateFrom(e.Index)
		}
		n.log.append(e)
		n.recordVoters(e)
	}
	match := a.PrevIndex + uint64(len(a.Entries))
	n.commitTo(min(a.Commit, match))
	n.sendWhenDurable(n.message(from, AppendReply{PrevIndex: a.PrevIndex, Match: match}))
}

func (n *Node) truncateFrom(i uint64) {
	if i <= n.hard.Commit {
		panic(errors.AssertionFailedf("entry %d conflicts with a log committed up to %d", i, n.hard.Commit))
	}
	n.log.truncateFrom(i)
	n.truncateVotersFrom(i)
}

// commitTo advances the commit index. Callers pass no index beyond the part of
// this log that is known to match the leader's.
func (n *Node) commitTo(commit uint64) {
	n.hard.Commit = max(n.hard.Commit, min(commit, n.log.lastIndex()))
}

func (n *Node) onAppendReply(p *progress, r AppendReply) {
	if r.Rejected {
		n.onAppendRejected(p, r)
		return
	}
	if r.Match > n.log.lastIndex() {
		return
	}
	if r.Match < p.match || p.state == snapshotting {
		return
	}
	if r.Match > p.match {
		p.inFlight = max(p.inFlight-1, 0)
	}
	p.match = r.Match
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.match+1 == p.next {
		p.inFlight = 0
	}
	p.state = replicating
	n.sendAppends(p)
}

func (n *Node) onAppendRejected(p *progress, r AppendReply) {
	if p.state == snapshotting || r.PrevIndex <= p.match {
		return
	}
	if p.state == probing && r.PrevIndex != p.next-1 {
		return
	}
	index, _ := n.log.lastAtOrBelow(r.HintIndex, r.HintTerm)
	if r.HintIndex < n.log.base {
		index = r.HintIndex
	}
	p.state = probing
	p.next = max(p.match, min(index, r.PrevIndex-1)) + 1
	p.inFlight = 0
	n.sendAppends(p)
}

// advanceCommit advances the commit index to the greatest index that a majority
// holds durably, if its entry is of the current term.
func (n *Node) advanceCommit() {
	index := quorumValue(n, n.log.stable, func(p *progress) uint64 { return p.match }, cmp.Compare[uint64])
	if index <= n.hard.Commit || index < n.leading.termStart {
		return
	}
	for _, e := range n.log.between(n.hard.Commit, index) {
		n.leading.inFlight -= len(e.Data)
	}
	n.hard.Commit = index
}
