package consensus

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// transfer is a leadership transfer in progress. The leader accepts no
// proposals meanwhile.
type transfer struct {
	id       string
	to       Identity
	deadline time.Time
	sent     bool
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

// startTransfer begins a transfer to the given voter, or to the reachable one
// with the longest log. It reports whether there is such a voter.
func (n *Node) startTransfer(id string, to Identity) bool {
	if n.leading.transfer != nil {
		return false
	}
	var target *progress
	for _, m := range n.otherVoters() {
		p := n.leading.progress[m.Identity]
		if !n.recentlyActive(m.Identity) || to != "" && to != m.Identity {
			continue
		}
		if target == nil || p.match > target.match {
			target = p
		}
	}
	if target == nil {
		return false
	}
	n.leading.transfer = &transfer{id: id, to: target.member.Identity, deadline: n.now.Add(n.opts.ElectionTimeout)}
	n.advanceTransfer()
	return true
}

// advanceTransfer sends TimeoutNow once the target holds the whole log, and
// gives up after one election timeout.
func (n *Node) advanceTransfer() {
	t := n.leading.transfer
	if t == nil {
		return
	}
	p := n.leading.progress[t.to]
	if p == nil || !n.now.Before(t.deadline) {
		v := verdict.NotRun
		if t.sent {
			v = verdict.MayHaveRun
		}
		n.endTransfer(verdict.New(v, verdict.CodeDeadlineExceeded, "leadership transfer to %s timed out", t.to))
		return
	}
	if p.match == n.log.lastIndex() && !t.sent {
		t.sent = true
		n.leading.leaseGiven = true
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
