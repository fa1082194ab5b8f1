package consensus

import (
	"slices"
	"time"
)

// bootstrapTerm is the term of the initial snapshot. It has no leader.
const (
	bootstrapTerm  = 1
	bootstrapIndex = 1
)

// joinState is the state of a node that belongs to no cluster.
type joinState struct {
	nextAt   time.Time
	empty    map[string]Member // initial voters that said they are empty, by name
	contacts []Member          // whom to ask besides the initial voters
}

// membersFound notes whom an empty node can ask to join. What others said of
// another list of initial voters no longer counts.
func (n *Node) membersFound(e MembersFound) {
	n.joining.contacts = e.Contacts
	if !n.empty() {
		return
	}
	if !slices.Equal(initialNames(e.Initial), initialNames(n.opts.Initial)) {
		n.opts.Initial = e.Initial
		n.joining.empty = nil
	}
}

// rejoinAfter is how long a member that hears from no leader waits before it
// asks to join again. It may have been removed while it was down, in which
// case the leader no longer sends to it and takes it back as a learner.
const rejoinAfter = 5 * time.Second

// tickRejoin asks the contacts to be taken back.
func (n *Node) tickRejoin() {
	if n.role == Leader || n.now.Sub(n.lastContact) < rejoinAfter || len(n.joining.contacts) == 0 || !n.joinDue() {
		return
	}
	for _, m := range n.joinContacts() {
		m.Identity = ""
		n.send(m, Join{Member: n.opts.Self})
	}
}

// joinContacts returns the members to send a Join to.
func (n *Node) joinContacts() []Member {
	out := slices.Clone(n.opts.Initial)
	for _, m := range n.joining.contacts {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Name == m.Name }) {
			out = append(out, m)
		}
	}
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == n.opts.Self.Name })
}

// joinDue paces Join messages.
func (n *Node) joinDue() bool {
	if n.now.Before(n.joining.nextAt) {
		return false
	}
	n.joining.nextAt = n.now.Add(n.opts.ElectionTimeout / 2)
	return true
}

// tickJoin looks for a cluster, and founds one if this node is the founder
// and nobody belongs to a cluster.
func (n *Node) tickJoin() {
	if !n.joinDue() || n.storage.full {
		return
	}
	if n.foundCluster() {
		return
	}
	join := Join{Member: n.opts.Self, Names: initialNames(n.opts.Initial)}
	for _, m := range n.joinContacts() {
		m.Identity = ""
		n.send(m, join)
	}
}

// founder reports whether this node may found the cluster.
func (n *Node) founder() bool {
	names := initialNames(n.opts.Initial)
	return len(names) > 0 && names[0] == n.opts.Self.Name
}

func (n *Node) foundCluster() bool {
	if !n.founder() {
		return false
	}
	set := VoterSet{}
	for _, name := range initialNames(n.opts.Initial) {
		m, ok := n.joining.empty[name]
		if name == n.opts.Self.Name {
			m, ok = n.opts.Self, true
		}
		if !ok {
			return false
		}
		set.Voters = append(set.Voters, m)
	}
	n.adopt(n.self(), bootstrapTerm, Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Voters: set})
	n.becomeFollower(bootstrapTerm, Member{}, ReasonStarted)
	return true
}

// adopt enters a cluster with committed state of it.
func (n *Node) adopt(cluster Identity, term uint64, s Snapshot) {
	n.hard = HardState{Cluster: cluster, Term: term}
	n.incoming = nil
	n.joining = joinState{}
	n.install(s)
}

// onJoin answers an empty node. A leader makes it a learner. Where no leader is
// known, a member of the cluster gets committed state, since the cluster may
// need its vote.
func (n *Node) onJoin(m Message, j Join) {
	if j.Member.Identity == "" || j.Member.Identity == n.self() {
		return
	}
	reply := JoinReply{Member: n.opts.Self, Empty: n.empty(), Names: initialNames(n.opts.Initial)}
	n.send(j.Member, reply)
	_, known := n.voters().member(j.Member.Identity)
	if known && n.leader.Identity == "" {
		n.sendSeed(j.Member, 0)
	}
	if n.role != Leader {
		return
	}
	if known {
		// It is still empty, so what was sent to it may be lost. An empty node
		// answers no heartbeats, whose answers make a leader send again.
		if p := n.leading.progress[j.Member.Identity]; p != nil {
			n.resend(p)
		}
		return
	}
	// A refused Join is repeated by its sender.
	n.changeVoters(ChangeVoters{Op: AddLearner, Member: j.Member})
}

func (n *Node) onJoinReply(m Message, r JoinReply) {
	if !n.empty() || m.To != n.self() {
		return
	}
	if r.Empty && !slices.Contains(initialNames(n.opts.Initial), r.Member.Name) {
		return // only an initial voter's word counts
	}
	same := slices.Equal(r.Names, initialNames(n.opts.Initial))
	if r.Empty && !same {
		n.emit(InitialVotersDiffer{Member: r.Member})
	}
	if !r.Empty || !same {
		n.joining.empty = nil
		return
	}
	if n.joining.empty == nil {
		n.joining.empty = map[string]Member{}
	}
	n.joining.empty[r.Member.Name] = r.Member
}

// receiveEmpty handles the messages that reach a node without a cluster. A
// leader's append is refused, which makes the leader send its snapshot.
func (n *Node) receiveEmpty(m Message) {
	if n.storage.full {
		return
	}
	switch b := m.Body.(type) {
	case Seed:
		n.onSeed(m, b)
	case Append:
		n.replyEmpty(m, AppendReply{Rejected: true, PrevIndex: b.PrevIndex})
	case Heartbeat:
		// Round 0 confirms nothing, but makes the leader repeat a lost append.
		n.replyEmpty(m, HeartbeatReply{})
	case InstallSnapshot:
		n.joinBySnapshot(m, b)
	}
}

// replyEmpty answers in the cluster and term of the sender, since this node
// has none.
func (n *Node) replyEmpty(m Message, body Body) {
	send := n.messageInTerm(m.From, m.Term, body)
	send.Message.Cluster = m.Cluster
	n.emit(send)
}

// joinBySnapshot enters a cluster once a whole snapshot has arrived from its
// leader.
func (n *Node) joinBySnapshot(m Message, c InstallSnapshot) {
	snapshot, done := n.collect(m, c)
	if !done {
		n.replyEmpty(m, InstallSnapshotReply{Index: c.Index, Offset: n.incoming.received()})
		return
	}
	n.adopt(m.Cluster, m.Term, snapshot)
	n.lastContact = n.now
	n.becomeFollower(m.Term, m.From, ReasonLeaderFound)
	n.hold(n.message(m.From, InstallSnapshotReply{Index: c.Index, Offset: c.Total, Done: true}))
}

// sendSeed sends a chunk of the present snapshot. The empty node asks for the
// next one.
func (n *Node) sendSeed(to Member, offset uint64) {
	s := n.snapshot
	if s == nil || offset > uint64(len(s.Data)) {
		return
	}
	n.send(to, Seed(chunk(s, offset, n.opts.SnapshotChunkBytes)))
}

// onSeed enters a cluster once a whole snapshot has arrived from any of its
// members. Several members may send one; the first is kept while it advances.
func (n *Node) onSeed(m Message, c Seed) {
	if in := n.incoming; in != nil && in.from != m.From.Identity && n.now.Sub(in.at) < n.opts.ElectionTimeout {
		return
	}
	snapshot, done := n.collect(m, InstallSnapshot(c))
	if !done {
		n.replyEmpty(m, SeedReply{Index: c.Index, Offset: n.incoming.received()})
		return
	}
	n.adopt(m.Cluster, snapshot.Term, snapshot)
	n.becomeFollower(snapshot.Term, Member{}, ReasonStarted)
}

func (n *Node) onSeedReply(m Message, r SeedReply) {
	if n.snapshot.Index == r.Index {
		n.sendSeed(m.From, r.Offset)
	}
}
