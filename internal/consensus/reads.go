package consensus

import (
	"cmp"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// pendingRead is a read that waits until index, which is not before the no-op of
// the leader's term, is applied, and until a heartbeat round that started after it
// is confirmed. No clock takes part: the lease of a leader whose clock stood still
// outlasts the election of the next one.
type pendingRead struct {
	id    string
	index uint64
	round uint64
}

func (n *Node) readIndex(r ReadIndex) {
	if n.role != Leader {
		n.refuseRead(r.ID, n.notLeader())
		return
	}
	l := &n.leading
	if len(l.reads) >= n.opts.MaxReadsInFlight {
		n.refuseRead(r.ID, verdict.New(verdict.NotRun, CodeTooManyReads, "%d reads are waiting", len(l.reads)))
		return
	}
	l.reads = append(l.reads, pendingRead{id: r.ID, index: max(n.hard.Commit, l.termStart), round: l.round + 1})
	if !l.readRound {
		n.startReadRound()
	}
}

// startReadRound starts a heartbeat round for the reads that wait for one. Only
// one such round is in flight at a time, so reads share rounds under load.
func (n *Node) startReadRound() {
	n.leading.readRound = true
	n.broadcastHeartbeat()
}

func (n *Node) refuseRead(id string, err *verdict.Error) {
	n.emit(ReadRefused{ID: id, Err: err, Leader: n.leader})
}

// confirmReads emits ReadReady for the reads whose round is confirmed and whose
// index is applied.
func (n *Node) confirmReads() {
	l := &n.leading
	if n.role != Leader || len(l.reads) == 0 {
		return
	}
	confirmed := quorumValue(n, l.round, func(p *progress) uint64 { return p.round }, cmp.Compare[uint64])
	waiting := l.reads[:0]
	next := false
	for _, r := range l.reads {
		if r.round <= confirmed && r.index <= n.applied {
			n.emit(ReadReady{ID: r.id, Index: r.index})
			continue
		}
		next = next || r.round > l.round
		waiting = append(waiting, r)
	}
	l.reads = waiting
	if confirmed >= l.round {
		l.readRound = false
	}
	if next && !l.readRound {
		n.startReadRound()
		n.confirmReadsOfSingleVoter()
	}
}

// confirmReadsOfSingleVoter confirms reads at once if this node is the only
// voter, since no heartbeat replies will follow.
func (n *Node) confirmReadsOfSingleVoter() {
	if n.voters().Quorum() == 1 && n.voters().IsVoter(n.self()) {
		n.confirmReads()
	}
}

func (n *Node) refuseAllReads() {
	for _, r := range n.leading.reads {
		n.refuseRead(r.id, n.notLeader())
	}
	n.leading.reads = nil
}

func (n *Node) notLeader() *verdict.Error {
	return verdict.New(verdict.NotRun, CodeNotLeader, "host %s is not the leader", n.opts.Self.Name)
}
