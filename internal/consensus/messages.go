package consensus

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// EntryNormal carries a proposal.
	EntryNormal EntryKind = iota
	// EntryNoOp is the first entry of a leader's term.
	EntryNoOp
	// EntryVoters changes the voter set. It takes effect as soon as it is appended.
	EntryVoters
)

// Entry is one record of the replicated log.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte    // EntryNormal only, opaque
	Voters *VoterSet // EntryVoters only
}

// HardState is the part of a node's state that must survive a restart.
type HardState struct {
	Cluster Identity // empty until the node belongs to a cluster
	Term    uint64
	Vote    Identity
	Commit  uint64 // lower bound: a new commit index alone is not persisted
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Voters VoterSet
	Data   []byte
}

// DurableState is the recovered state that a node starts with. Entries follow
// the snapshot without a gap.
type DurableState struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Message is a message between two nodes. To is empty only in Join, whose
// sender does not know the receiver's identity.
type Message struct {
	From    Member
	To      Identity
	Cluster Identity
	Term    uint64
	Body    Body
}

// Body is the typed part of a message.
type Body interface{ isBody() }

// PreVote asks whether the receiver would vote for the sender in Message.Term.
type PreVote struct{ LastIndex, LastTerm uint64 }

// PreVoteReply answers a PreVote. A grant has the term of the request, a
// refusal the current term of the voter.
type PreVoteReply struct{ Granted bool }

// Vote requests a vote. Transfer is set if the election is part of a leadership
// transfer.
type Vote struct {
	LastIndex, LastTerm uint64
	Transfer            bool
}

// VoteReply answers a Vote.
type VoteReply struct{ Granted bool }

// Append carries the entries after (PrevIndex, PrevTerm), possibly none.
type Append struct {
	PrevIndex, PrevTerm uint64
	Commit              uint64
	Entries             []Entry
}

// AppendReply acknowledges the log up to Match. When Rejected is set,
// HintIndex and HintTerm name an entry of the follower at or before which the
// logs may agree.
type AppendReply struct {
	Rejected            bool
	PrevIndex           uint64
	Match               uint64
	HintIndex, HintTerm uint64
}

// Heartbeat asserts leadership. Round numbers the broadcasts of a leader.
type Heartbeat struct{ Round, Commit uint64 }

// HeartbeatReply acknowledges a heartbeat round.
type HeartbeatReply struct{ Round uint64 }

// InstallSnapshot carries one chunk of a snapshot.
type InstallSnapshot struct {
	Index, SnapshotTerm uint64
	Voters              VoterSet
	Total, Offset       uint64
	Data                []byte
}

// InstallSnapshotReply carries the next offset that the follower expects. Done
// reports that the follower durably holds the state up to Index.
type InstallSnapshotReply struct {
	Index, Offset uint64
	Done          bool
}

// TimeoutNow tells a follower to campaign at once.
type TimeoutNow struct{}

// Join asks to be added to a cluster. It is sent by an empty node, which belongs to
// no cluster, and by a member that has not heard from a leader for a while.
type Join struct {
	Member Member
	Names  []string // the sender's initial voter names, sorted
}

// JoinReply answers a Join. Empty reports that its sender belongs to no cluster.
type JoinReply struct {
	Member Member
	Empty  bool
	Names  []string
}

// Seed carries one chunk of a snapshot from any node of a cluster to an empty
// node. Unlike InstallSnapshot, it does not imply that the sender leads.
type Seed InstallSnapshot

// SeedReply carries the next offset that the empty node expects.
type SeedReply struct{ Index, Offset uint64 }

func (PreVote) isBody()              {}
func (PreVoteReply) isBody()         {}
func (Vote) isBody()                 {}
func (VoteReply) isBody()            {}
func (Append) isBody()               {}
func (AppendReply) isBody()          {}
func (Heartbeat) isBody()            {}
func (HeartbeatReply) isBody()       {}
func (InstallSnapshot) isBody()      {}
func (InstallSnapshotReply) isBody() {}
func (TimeoutNow) isBody()           {}
func (Join) isBody()                 {}
func (JoinReply) isBody()            {}
func (Seed) isBody()                 {}
func (SeedReply) isBody()            {}
