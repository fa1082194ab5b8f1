package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Node is one member of a cluster. It is not safe for concurrent use.
type Node struct {
	opts Options
	now  time.Time // latest time seen; never decreases

	hard     HardState
	role     Role
	leader   Member // zero if unknown
	log      entryLog
	snapshot *Snapshot // latest durable or pending snapshot, nil when empty
	voterLog []indexedVoters
	applied  uint64

	storage storage
	election
	leading  leaderState
	incoming *incomingSnapshot
	joining  joinState
	// elsewhere holds the voters of this node's set that belong to another cluster.
	elsewhere    map[Identity]bool
	otherCluster Identity // reported last

	started bool
	effects []Effect
}

// New returns a node that continues from durable state. The first Step emits
// RestoreSnapshot and Apply for the state known to be committed.
func New(opts Options, state DurableState) (*Node, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	n := &Node{opts: opts.withDefaults(), hard: state.HardState}
	n.storage.emitted = state.HardState
	if err := n.load(state); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) load(state DurableState) error {
	s := state.Snapshot
	if s == nil && state.HardState.Cluster == "" && len(state.Entries) == 0 {
		return nil
	}
	if s == nil || state.HardState.Cluster == "" {
		return errors.Newf("consensus: inconsistent durable state: cluster %q, %d entries, snapshot present: %t",
			state.HardState.Cluster, len(state.Entries), s != nil)
	}
	n.snapshot = s
	n.voterLog = []indexedVoters{{s.Index, s.Voters}}
	n.log = newEntryLog(s.Index, s.Term, state.Entries)
	for i, e := range state.Entries {
		if want := s.Index + 1 + uint64(i); e.Index != want {
			return errors.Newf("consensus: gap in the durable log: entry %d, expected entry %d", e.Index, want)
		}
		n.recordVoters(e)
	}
	n.hard.Commit = max(s.Index, min(n.hard.Commit, n.log.lastIndex()))
	n.applied = s.Index
	return nil
}

// Step advances the node by one event.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	if now.After(n.now) {
		n.now = now
	}
	n.effects = nil
	n.start()
	n.checkLease()
	switch e := ev.(type) {
	case Tick:
		n.tick()
	case MessageReceived:
		n.receive(e.Message)
	case Propose:
		n.propose(e)
	case Persisted:
		n.persisted(e.Seq)
	case PersistFailed:
		n.persistFailed(e.Seq)
	case MembersFound:
		n.membersFound(e)
	case ReadIndex:
		n.readIndex(e)
	case Compact:
		n.compact(e)
	case TransferLeadership:
		n.transferLeadership(e)
	case ChangeVoters:
		n.changeVoters(e)
	}
	n.finishStep()
	return n.effects
}

// finishStep emits the effects that depend on the state after the event. The
// flush comes last so that its Persist covers every change of the step, such as
// the no-op of a leader whose own vote has just become durable.
func (n *Node) finishStep() {
	n.advanceLeader()
	n.applyCommitted()
	n.confirmReads()
	n.flush()
}

// start initializes the node in the first step. A restarted node does not know
// when it last heard from a leader, so it grants no vote for one election
// timeout.
func (n *Node) start() {
	if n.started {
		return
	}
	n.started = true
	n.lastContact = n.now
	n.startElectionTimer()
	if n.snapshot != nil {
		n.emit(RestoreSnapshot{Snapshot: *n.snapshot})
		n.emit(VotersChanged{Index: n.lastVoters().index, Voters: n.voters().Clone()})
	}
	n.emit(RoleChanged{Role: n.role, Term: n.hard.Term, Reason: ReasonStarted})
}

func (n *Node) tick() {
	n.retryPersist()
	if n.empty() {
		n.tickJoin()
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickRejoin()
	n.tickElection()
}

// empty reports whether the node belongs to no cluster.
func (n *Node) empty() bool { return n.hard.Cluster == "" }

func (n *Node) self() Identity { return n.opts.Self.Identity }

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// message returns a Send of body to a member in the current term.
func (n *Node) message(to Member, body Body) Send {
	return n.messageInTerm(to, n.hard.Term, body)
}

func (n *Node) messageInTerm(to Member, term uint64, body Body) Send {
	m := Message{From: n.opts.Self, To: to.Identity, Cluster: n.hard.Cluster, Term: term, Body: body}
	return Send{To: to, Message: m}
}

func (n *Node) send(to Member, body Body) { n.emit(n.message(to, body)) }

// receive dispatches a message. It checks the receiver and cluster first, except
// for Join and JoinReply, whose sender may belong to no cluster.
func (n *Node) receive(m Message) {
	switch b := m.Body.(type) {
	case Join:
		n.onJoin(m, b)
		return
	case JoinReply:
		n.onJoinReply(m, b)
		return
	}
	if m.To != n.self() || m.From.Identity == n.self() || m.Cluster == "" {
		return
	}
	if n.empty() {
		n.receiveAsEmpty(m)
		return
	}
	if m.Cluster != n.hard.Cluster {
		n.receiveFromOtherCluster(m)
		return
	}
	switch b := m.Body.(type) {
	case PreVote:
		n.onPreVote(m, b)
	case Vote:
		n.onVote(m, b)
	case PreVoteReply:
		n.onPreVoteReply(m, b)
	case VoteReply:
		if n.observeTerm(m.Term) {
			n.onVoteReply(m, b)
		}
	case Append, Heartbeat, InstallSnapshot:
		n.receiveFromLeader(m)
	case AppendReply, HeartbeatReply, InstallSnapshotReply:
		n.receiveFromFollower(m)
	case TimeoutNow:
		n.onTimeoutNow(m)
	case SeedReply:
		n.onSeedReply(m, b)
	}
}

// observeTerm makes the node a follower if the term of a message is higher, and
// reports whether that term is now the current one.
func (n *Node) observeTerm(term uint64) bool {
	if term > n.hard.Term {
		n.becomeFollower(term, Member{}, ReasonHigherTerm)
	}
	return term == n.hard.Term
}

func (n *Node) receiveFromLeader(m Message) {
	if m.Term < n.hard.Term {
		n.sendWhenDurable(n.message(m.From, AppendReply{Rejected: true}))
		return
	}
	if m.Term > n.hard.Term || n.role != Leader && n.leader.Identity != m.From.Identity {
		n.becomeFollower(m.Term, m.From, ReasonLeaderFound)
	}
	if n.role == Leader {
		panic(errors.AssertionFailedf("two leaders in term %d: %s and %s", m.Term, n.self(), m.From.Identity))
	}
	n.lastContact, n.lastLeader = n.now, m.From.Identity
	n.resetElectionTimer()
	switch b := m.Body.(type) {
	case Heartbeat:
		n.onHeartbeat(m.From, b)
	case Append:
		if !n.storage.full {
			n.onAppend(m.From, b)
		}
	case InstallSnapshot:
		if !n.storage.full {
			n.onInstallSnapshot(m, b)
		}
	}
}

func (n *Node) receiveFromFollower(m Message) {
	if !n.observeTerm(m.Term) || n.role != Leader {
		return
	}
	p := n.leading.progress[m.From.Identity]
	if p == nil {
		return
	}
	p.active = n.now
	switch b := m.Body.(type) {
	case AppendReply:
		n.onAppendReply(p, b)
	case HeartbeatReply:
		n.onHeartbeatReply(p, b)
	case InstallSnapshotReply:
		n.onInstallSnapshotReply(p, b)
	}
}

// applyCommitted emits the entries from the applied index up to the commit
// index.
func (n *Node) applyCommitted() {
	if n.hard.Commit <= n.applied {
		return
	}
	entries := n.log.between(n.applied, n.hard.Commit)
	n.applied = n.hard.Commit
	n.emit(Apply{Entries: entries})
}
