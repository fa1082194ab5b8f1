package consensus

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// transfer is a leadership transfer in progress. During it the leader accepts no
// proposals.
type transfer struct {
	id       string
	to       Identity
	deadline time.Time
	sent     bool // TimeoutNow was sent
}

// verdict returns whether the transferee may have been told to take over.
func (t *transfer) verdict() verdict.Verdict {
	if t != nil && t.sent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (n *Node) transferLeadership(t TransferLeadership) {
	switch {
	case n.role != Leader:
		n.refuse(t.ID, n.notLeader())
	case n.leading.transfer != nil:
		n.refuse(t.ID, verdict.New(verdict.NotRun, CodeTransferring, "a leadership transfer is in progress"))
	case !n.startTransfer(t.ID, t.To):
		n.refuse(t.ID, verdict.New(verdict.NotRun, CodeInvalidVoterChange, "no voter can take over leadership"))
	}
}

// startTransfer starts a transfer to the given voter or, if to is empty, to the
// voter with the highest match index. Only recently active voters qualify. It
// reports whether a transfer was started.
func (n *Node) startTransfer(id string, to Identity) bool {
	if n.leading.transfer != nil {
		return false
	}
	var transferee *progress
	for _, m := range n.otherVoters() {
		p := n.leading.progress[m.Identity]
		if !n.recentlyActive(m.Identity) || to != "" && to != m.Identity {
			continue
		}
		if transferee == nil || p.match > transferee.match {
			transferee = p
		}
	}
	if transferee == nil {
		return false
	}
	n.leading.transfer = &transfer{id: id, to: transferee.member.Identity, deadline: n.now.Add(n.opts.ElectionTimeout)}
	n.advanceTransfer()
	return true
}

// advanceTransfer sends TimeoutNow once the transferee holds the whole log, and
// ends the transfer after one election timeout.
func (n *Node) advanceTransfer() {
	t := n.leading.transfer
	if t == nil {
		return
	}
	p := n.leading.progress[t.to]
	if p == nil || !n.now.Before(t.deadline) {
		n.endTransfer(verdict.New(t.verdict(), verdict.CodeDeadlineExceeded, "leadership transfer to %s timed out", t.to))
		return
	}
	if p.match == n.log.lastIndex() && !t.sent {
		t.sent = true
		n.leading.leaseReleased = true
		n.send(p.member, TimeoutNow{})
	}
}

func (n *Node) endTransfer(err *verdict.Error) {
	t := n.leading.transfer
	n.leading.transfer = nil
	if t != nil && t.id != "" {
		n.emit(TransferEnded{ID: t.id, Err: err})
	}
}

func (n *Node) onTimeoutNow(m Message) {
	if m.Term != n.hard.Term || m.From.Identity != n.leader.Identity || n.role == Leader || !n.mayCampaign() {
		return
	}
	n.campaign(true)
}
