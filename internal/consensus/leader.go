package consensus

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// leaderState is the state of a leader; it is zero on other nodes.
type leaderState struct {
	since       time.Time
	termStart   uint64 // index of the no-op of this term
	inFlight    int    // bytes of data appended but not committed
	progress    map[Identity]*progress
	heartbeatAt time.Time

	round     uint64
	rounds    []heartbeatRound
	readRound bool // a heartbeat round for reads is in flight
	reads     []pendingRead

	leaseReleased bool // TimeoutNow was sent in this term
	transfer      *transfer

	commitSent uint64 // commit index last sent to the followers
}

func (n *Node) becomeLeader() {
	n.leader = n.opts.Self
	n.votes = nil
	n.leading = leaderState{since: n.now, progress: map[Identity]*progress{}, commitSent: n.hard.Commit}
	for _, e := range n.log.between(n.hard.Commit, n.log.lastIndex()) {
		n.leading.inFlight += len(e.Data)
	}
	n.setRole(Leader, ReasonElected)
	n.updateProgress()
	if p := n.leading.progress[n.lastLeader]; p != nil {
		p.since = n.lastContact
	}
	n.leading.termStart = n.appendEntry(Entry{Kind: EntryNoOp})
	n.broadcastHeartbeat()
}

func (n *Node) stopLeading() {
	n.role = Follower
	n.leader = Member{}
	n.refuseAllReads()
	n.endTransfer(verdict.New(n.leading.transfer.verdict(), CodeNotLeader, "leadership ended during the transfer"))
	n.leading = leaderState{}
}

func (n *Node) tickLeader() {
	if n.now.Sub(n.leading.heartbeatAt) >= n.opts.HeartbeatInterval {
		n.broadcastHeartbeat()
	}
	n.advanceTransfer()
}

// propose appends a proposal to the log and sends it to the followers.
func (n *Node) propose(p Propose) {
	if err := n.proposalError(len(p.Data)); err != nil {
		n.refuse(p.ID, err)
		return
	}
	index := n.appendEntry(Entry{Kind: EntryNormal, Data: p.Data})
	n.reportAppended(p.ID, index)
}

// reportAppended reports where a proposal or voter change was appended. Changes
// made by the node itself have no ID.
func (n *Node) reportAppended(id string, index uint64) {
	if id != "" {
		n.emit(ProposalAppended{ID: id, Index: index, Term: n.hard.Term})
	}
}

// proposalError returns the reason why no entry may be appended now, or nil.
func (n *Node) proposalError(size int) *verdict.Error {
	inFlight := n.log.lastIndex() - n.hard.Commit
	switch {
	case n.role != Leader:
		return n.notLeader()
	case n.leading.transfer != nil:
		return verdict.New(verdict.NotRun, CodeTransferring, "a leadership transfer is in progress")
	case n.storage.full:
		return verdict.New(verdict.NotRun, CodeStorageFull, "the journal of %s refuses writes: its data directory or its queue is full", n.opts.Self.Name)
	case size > n.opts.MaxProposalBytes:
		return verdict.New(verdict.NotRun, CodeProposalTooLarge,
			"proposal of %d bytes exceeds the limit of %d", size, n.opts.MaxProposalBytes)
	case inFlight >= uint64(n.opts.MaxProposalsInFlight):
		return verdict.New(verdict.NotRun, CodeTooManyProposals,
			"%d proposals are in flight", inFlight).WithRetryAfter(n.opts.HeartbeatInterval)
	case n.leading.inFlight > 0 && n.leading.inFlight+size > n.opts.MaxInFlightBytes:
		return verdict.New(verdict.NotRun, CodeTooManyProposals,
			"%d bytes of proposals are in flight", n.leading.inFlight).WithRetryAfter(n.opts.HeartbeatInterval)
	}
	return nil
}

func (n *Node) refuse(id string, err *verdict.Error) {
	if id != "" {
		n.emit(ProposalRefused{ID: id, Err: err, Leader: n.leader})
	}
}

// appendEntry appends an entry in the leader's term, sends it to the followers
// and returns its index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.hard.Term
	n.log.append(e)
	n.leading.inFlight += len(e.Data)
	n.recordVoters(e)
	if e.Kind == EntryVoters {
		n.updateProgress()
	}
	for _, p := range n.followers() {
		n.sendAppends(p)
	}
	return e.Index
}

// advanceLeader commits the entries that a majority holds, advances a leadership
// transfer, and sends a new commit index to the followers.
func (n *Node) advanceLeader() {
	if n.role != Leader {
		return
	}
	n.advanceCommit()
	n.advanceTransfer()
	if n.hard.Commit == n.leading.commitSent {
		return
	}
	n.leading.commitSent = n.hard.Commit
	for _, p := range n.followers() {
		n.sendCommit(p)
	}
}
