package consensus

import "time"

// election is the election state of a node.
type election struct {
	lastContact      time.Time // last message from a current leader, or the start
	lastLeader       Identity  // sender of that message, empty if there was none
	electionDeadline time.Time
	votes            map[Identity]bool // granted votes or pre-votes
}

func (n *Node) resetElectionTimer() { n.setElectionTimer(n.opts.ElectionTimeout) }

// startJitterFraction is the fraction of the election timeout used as jitter for
// the first election after a start. Hosts that start together already do so some
// milliseconds apart, and after a stop of all hosts nothing is served until a
// leader is elected.
const startJitterFraction = 0.25

// startElectionTimer sets the election timer of a node that has just started.
func (n *Node) startElectionTimer() {
	n.setElectionTimer(time.Duration(startJitterFraction * float64(n.opts.ElectionTimeout)))
}

// setElectionTimer sets the election deadline to one election timeout plus a
// random part of spread from now.
func (n *Node) setElectionTimer(spread time.Duration) {
	jitter := time.Duration(n.opts.Rand.Int64N(int64(spread)))
	n.electionDeadline = n.now.Add(n.opts.ElectionTimeout + jitter)
}

// heardFromLeader reports whether the node leads, or heard from a leader or
// started less than one election timeout ago. Leases rely on such a node to
// grant no vote outside a leadership transfer.
func (n *Node) heardFromLeader() bool {
	return n.role == Leader || n.now.Before(n.lastContact.Add(n.opts.ElectionTimeout))
}

// mayCampaign reports whether this node may start an election.
func (n *Node) mayCampaign() bool {
	return n.voters().IsVoter(n.self()) && !n.storage.full
}

// mayVote reports whether this node answers vote requests. It need not be a
// voter of its own voter set: requests are addressed by identity to the voters
// of the candidate's set, which may contain a promotion that this learner has
// not received. Otherwise the loss of a leader during a promotion could leave no
// voter set with a majority.
func (n *Node) mayVote() bool { return !n.storage.full }

func (n *Node) tickElection() {
	if n.now.Before(n.electionDeadline) {
		return
	}
	n.resetElectionTimer()
	if !n.mayCampaign() {
		return
	}
	n.leader = Member{}
	n.setRole(PreCandidate, ReasonTimeout)
	n.votes = map[Identity]bool{n.self(): true}
	if n.hasVotes() {
		n.campaign(false)
		return
	}
	request := PreVote{LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm()}
	for _, m := range n.otherVoters() {
		n.emit(n.messageInTerm(m, n.hard.Term+1, request))
	}
}

// campaign starts an election. The vote requests are sent once the new term and
// the vote for itself are durable.
func (n *Node) campaign(transfer bool) {
	n.hard.Term++
	n.hard.Vote = n.self()
	n.leader = Member{}
	n.votes = map[Identity]bool{}
	reason := ReasonTimeout
	if transfer {
		reason = ReasonTransfer
	}
	n.setRole(Candidate, reason)
	n.resetElectionTimer()
	n.countSelfVoteWhenDurable()
	request := Vote{LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), Transfer: transfer}
	for _, m := range n.otherVoters() {
		n.sendWhenDurable(n.message(m, request))
	}
}

func (n *Node) hasVotes() bool {
	granted := 0
	for _, m := range n.voters().Voters {
		if n.votes[m.Identity] {
			granted++
		}
	}
	return granted >= n.voters().Quorum()
}

func (n *Node) onPreVote(m Message, v PreVote) {
	if !n.mayVote() {
		return
	}
	if n.heardFromLeader() || m.Term <= n.hard.Term || !n.log.upToDate(v.LastIndex, v.LastTerm) {
		n.send(m.From, PreVoteReply{})
		return
	}
	n.emit(n.messageInTerm(m.From, m.Term, PreVoteReply{Granted: true}))
}

func (n *Node) onPreVoteReply(m Message, r PreVoteReply) {
	if !r.Granted {
		n.observeTerm(m.Term)
		return
	}
	if n.role != PreCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From.Identity] = true
	if n.hasVotes() {
		n.campaign(false)
	}
}

func (n *Node) onVote(m Message, v Vote) {
	if !n.mayVote() || n.heardFromLeader() && !v.Transfer {
		return
	}
	if !n.observeTerm(m.Term) {
		n.sendWhenDurable(n.message(m.From, VoteReply{}))
		return
	}
	free := n.hard.Vote == "" || n.hard.Vote == m.From.Identity
	granted := free && n.role != Leader && n.log.upToDate(v.LastIndex, v.LastTerm)
	if granted {
		n.hard.Vote = m.From.Identity
		n.resetElectionTimer()
	}
	n.sendWhenDurable(n.message(m.From, VoteReply{Granted: granted}))
}

func (n *Node) onVoteReply(m Message, r VoteReply) {
	if r.Granted && n.role == Candidate {
		n.countVote(m.From.Identity)
	}
}

func (n *Node) countVote(from Identity) {
	n.votes[from] = true
	if n.votes[n.self()] && n.hasVotes() {
		n.becomeLeader()
	}
}

// setRole changes the role and emits RoleChanged.
func (n *Node) setRole(role Role, reason Reason) {
	n.role = role
	n.emit(RoleChanged{Role: role, Term: n.hard.Term, Leader: n.leader, Reason: reason})
}

// becomeFollower enters the given term, which is at least the current one.
func (n *Node) becomeFollower(term uint64, leader Member, reason Reason) {
	if n.role == Leader {
		n.stopLeading()
	}
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = ""
		n.incoming = nil
	}
	n.leader = leader
	n.votes = nil
	n.resetElectionTimer()
	n.setRole(Follower, reason)
}
