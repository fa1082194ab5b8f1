package consensus

import (
	"slices"
	"time"
)

// Term and index of the initial snapshot. The term has no leader.
const (
	bootstrapTerm  = 1
	bootstrapIndex = 1
)

// joinState is the state of a node that looks for a cluster to join.
type joinState struct {
	nextAt      time.Time
	emptyVoters map[string]emptyVoter // initial voters that replied that they are empty, by name
	contacts    []Member              // hosts to ask besides the initial voters
}

// emptyVoter is an initial voter that replied that it belongs to no cluster. The reply
// counts for one election timeout: a founder that was paused must ask again, since
// the others may have founded a cluster without it.
type emptyVoter struct {
	member Member
	at     time.Time
}

// membersFound records the hosts that can be asked to join. On an empty node, a
// new list of initial voters discards the replies to the earlier one.
func (n *Node) membersFound(e MembersFound) {
	n.joining.contacts = e.Contacts
	if !n.empty() {
		return
	}
	if !slices.Equal(initialNames(e.Initial), initialNames(n.opts.Initial)) {
		n.opts.Initial = e.Initial
		n.joining.emptyVoters = nil
	}
}

// rejoinAfter is how long a member that hears from no leader waits before it
// asks to join again. It may have been removed while it was down: the leader
// then sends it nothing until it joins again as a learner.
const rejoinAfter = 5 * time.Second

// tickRejoin asks to join the cluster again if this node has not heard from a
// leader for a while.
func (n *Node) tickRejoin() {
	if n.role == Leader || n.now.Sub(n.lastContact) < rejoinAfter || len(n.joining.contacts) == 0 || !n.joinDue() {
		return
	}
	for _, m := range n.joinContacts() {
		m.Identity = ""
		n.send(m, Join{Member: n.opts.Self})
	}
}

// joinContacts returns the initial voters and contacts other than this node.
func (n *Node) joinContacts() []Member {
	out := slices.Clone(n.opts.Initial)
	for _, m := range n.joining.contacts {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Name == m.Name }) {
			out = append(out, m)
		}
	}
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == n.opts.Self.Name })
}

// joinDue reports whether Join messages are due, and schedules the next ones.
func (n *Node) joinDue() bool {
	if n.now.Before(n.joining.nextAt) {
		return false
	}
	n.joining.nextAt = n.now.Add(n.opts.ElectionTimeout / 2)
	return true
}

// tickJoin founds a cluster if this node is the founder and all initial voters
// are empty, and otherwise asks to join one.
func (n *Node) tickJoin() {
	if !n.joinDue() || n.storage.full {
		return
	}
	if n.tryBootstrap() {
		return
	}
	join := Join{Member: n.opts.Self, Names: initialNames(n.opts.Initial)}
	for _, m := range n.joinContacts() {
		m.Identity = ""
		n.send(m, join)
	}
}

// isFounder reports whether this node is the initial voter that may found the
// cluster.
func (n *Node) isFounder() bool {
	names := initialNames(n.opts.Initial)
	return len(names) > 0 && names[0] == n.opts.Self.Name
}

// tryBootstrap founds a cluster if this node may do so, and reports whether it
// did.
func (n *Node) tryBootstrap() bool {
	if !n.isFounder() {
		return false
	}
	set := VoterSet{}
	for _, name := range initialNames(n.opts.Initial) {
		m := n.opts.Self
		if name != m.Name {
			v, ok := n.joining.emptyVoters[name]
			if !ok || n.now.Sub(v.at) > n.opts.ElectionTimeout {
				return false
			}
			m = v.member
		}
		set.Voters = append(set.Voters, m)
	}
	n.adopt(n.self(), bootstrapTerm, Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Voters: set})
	n.becomeFollower(bootstrapTerm, Member{}, ReasonStarted)
	return true
}

// adopt makes this node part of a cluster, starting from a snapshot of its
// committed state.
func (n *Node) adopt(cluster Identity, term uint64, s Snapshot) {
	n.hard = HardState{Cluster: cluster, Term: term}
	n.incoming = nil
	n.joining = joinState{}
	n.elsewhere, n.otherCluster = nil, ""
	n.install(s)
}

// onJoin answers a node that asks to join. A leader adds it as a learner. If no
// leader is known and the sender is a member, it is sent committed state, since
// the cluster may need its vote.
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
		// The member is still empty, so what was sent to it may have been lost.
		if p := n.leading.progress[j.Member.Identity]; p != nil {
			n.resend(p)
		}
		return
	}
	// If the change is refused, the sender repeats its Join.
	n.changeVoters(ChangeVoters{Op: AddLearner, Member: j.Member})
}

func (n *Node) onJoinReply(m Message, r JoinReply) {
	if m.To != n.self() {
		return
	}
	if !n.empty() {
		n.noteOtherCluster(m)
		return
	}
	if r.Empty && !slices.Contains(initialNames(n.opts.Initial), r.Member.Name) {
		return // only replies of initial voters count
	}
	same := slices.Equal(r.Names, initialNames(n.opts.Initial))
	if r.Empty && !same {
		n.emit(InitialVotersDiffer{Member: r.Member})
	}
	if !r.Empty || !same {
		n.joining.emptyVoters = nil
		return
	}
	if n.joining.emptyVoters == nil {
		n.joining.emptyVoters = map[string]emptyVoter{}
	}
	n.joining.emptyVoters[r.Member.Name] = emptyVoter{member: r.Member, at: n.now}
}

// receiveAsEmpty handles messages to a node without a cluster. It rejects a
// leader's append, which makes the leader send its snapshot.
func (n *Node) receiveAsEmpty(m Message) {
	if n.storage.full {
		return
	}
	switch b := m.Body.(type) {
	case Seed:
		n.onSeed(m, b)
	case Append:
		n.replyAsEmpty(m, AppendReply{Rejected: true, PrevIndex: b.PrevIndex})
	case Heartbeat:
		// Round 0 confirms no round, but makes the leader repeat a lost append.
		n.replyAsEmpty(m, HeartbeatReply{})
	case InstallSnapshot:
		n.joinBySnapshot(m, b)
	}
}

// replyAsEmpty replies in the cluster and term of the sender, since this node
// has none.
func (n *Node) replyAsEmpty(m Message, body Body) {
	send := n.messageInTerm(m.From, m.Term, body)
	send.Message.Cluster = m.Cluster
	n.emit(send)
}

// joinBySnapshot joins a cluster once the whole snapshot has arrived from its
// leader.
func (n *Node) joinBySnapshot(m Message, c InstallSnapshot) {
	snapshot, done := n.addChunk(m, c)
	if !done {
		n.replyAsEmpty(m, InstallSnapshotReply{Index: c.Index, Offset: n.incoming.received()})
		return
	}
	n.adopt(m.Cluster, m.Term, snapshot)
	n.lastContact = n.now
	n.becomeFollower(m.Term, m.From, ReasonLeaderFound)
	n.sendWhenDurable(n.message(m.From, InstallSnapshotReply{Index: c.Index, Offset: c.Total, Done: true}))
}

// sendSeed sends a chunk of the latest snapshot. The empty node replies with the
// offset of the next one.
func (n *Node) sendSeed(to Member, offset uint64) {
	s := n.snapshot
	if s == nil || offset > uint64(len(s.Data)) {
		return
	}
	n.send(to, Seed(chunk(s, offset, n.opts.SnapshotChunkBytes)))
}

// onSeed joins a cluster once the whole snapshot has arrived from one of its
// members. If several members send one, chunks of the others are ignored while
// the first transfer progresses.
func (n *Node) onSeed(m Message, c Seed) {
	if in := n.incoming; in != nil && in.from != m.From.Identity && n.now.Sub(in.lastChunkAt) < n.opts.ElectionTimeout {
		return
	}
	snapshot, done := n.addChunk(m, InstallSnapshot(c))
	if !done {
		n.replyAsEmpty(m, SeedReply{Index: c.Index, Offset: n.incoming.received()})
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

// receiveFromOtherCluster handles messages of another cluster. This node joins it if its
// own cluster was founded but never came to have a majority.
func (n *Node) receiveFromOtherCluster(m Message) {
	n.noteOtherCluster(m)
	if n.foundedInVain() && m.Term >= n.hard.Term {
		n.receiveAsEmpty(m)
	}
}

// noteOtherCluster records that the sender belongs to another cluster.
func (n *Node) noteOtherCluster(m Message) {
	id := m.From.Identity
	if m.Cluster == "" || m.Cluster == n.hard.Cluster || n.elsewhere[id] {
		return
	}
	if !n.voters().IsVoter(id) && m.Cluster == n.otherCluster {
		return // one report for each cluster is enough
	}
	n.otherCluster = m.Cluster
	if n.voters().IsVoter(id) {
		if n.elsewhere == nil {
			n.elsewhere = map[Identity]bool{}
		}
		n.elsewhere[id] = true
	}
	n.emit(OtherClusterFound{Member: m.From, Cluster: m.Cluster})
}

// foundedInVain reports whether this node holds nothing but the initial snapshot of a
// cluster of which no majority was ever formed: too many of its initial voters belong to
// another cluster, and a node belongs to one cluster only. Nothing can have been
// acknowledged in it.
func (n *Node) foundedInVain() bool {
	set := n.lastVoters()
	return n.log.lastIndex() == bootstrapIndex && set.index == bootstrapIndex &&
		len(set.voters.Voters)-len(n.elsewhere) < set.voters.Quorum()
}
