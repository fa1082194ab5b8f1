package consensus

import "github.com/hawthornlock/hawthornlock/internal/verdict"

// Event is an input of Node.Step.
type Event interface{ isEvent() }

// Tick advances the node's timers. It is needed at least once per heartbeat
// interval.
type Tick struct{}

// MessageReceived delivers a message from another node.
type MessageReceived struct{ Message Message }

// Propose asks the leader to replicate Data. With an empty ID no outcome is
// reported.
type Propose struct {
	ID   string
	Data []byte
}

// Persisted reports that the Persist effects up to Seq are durable.
type Persisted struct{ Seq uint64 }

// PersistFailed reports that the journal refused the Persist effects from Seq
// on, for lack of disk space or because its queue was full. It wrote no part of
// them.
type PersistFailed struct{ Seq uint64 }

// MembersFound supplies hosts that a node may ask to join a cluster, while it
// belongs to none or hears from no leader. On an empty node, Initial replaces
// Options.Initial; this is for settings that name no voters. It is empty on a
// node that must not take part in founding a cluster.
type MembersFound struct {
	Contacts []Member // hosts that may belong to a cluster, by name and address
	Initial  []Member // initial voters, any number
}

// ReadIndex asks for the index that a linearizable read must wait for.
type ReadIndex struct{ ID string }

// Compact replaces the log up to Index, which must have been applied, with a
// snapshot of the state at that index. It is ignored while those entries are
// not synced; it has to be repeated later.
type Compact struct {
	Index uint64
	Data  []byte
}

// TransferLeadership asks the leader to transfer leadership to a voter. If To is
// empty, the leader chooses one.
type TransferLeadership struct {
	ID string
	To Identity
}

// VoterOp is the kind of a voter change.
type VoterOp uint8

const (
	// AddLearner adds a member without a vote.
	AddLearner VoterOp = iota
	// Promote makes a caught-up learner a voter.
	Promote
	// Remove removes a voter or learner.
	Remove
)

// ChangeVoters asks the leader for one change of the voter set. Promote and
// Remove use only Member.Identity.
type ChangeVoters struct {
	ID     string
	Op     VoterOp
	Member Member
}

func (Tick) isEvent()               {}
func (MessageReceived) isEvent()    {}
func (Propose) isEvent()            {}
func (Persisted) isEvent()          {}
func (PersistFailed) isEvent()      {}
func (MembersFound) isEvent()       {}
func (ReadIndex) isEvent()          {}
func (Compact) isEvent()            {}
func (TransferLeadership) isEvent() {}
func (ChangeVoters) isEvent()       {}

// Effect is an output of Node.Step. The effects of one step are in order.
type Effect interface{ isEffect() }

// Send sends a message, which may be lost, delayed or duplicated.
type Send struct {
	To      Member // Identity is empty in Join
	Message Message
}

// Persist makes a change durable. Snapshot is written first: a log that holds
// the entry (Snapshot.Index, Snapshot.Term) keeps the entries after it, any
// other log is discarded. Entries then replace the log from Entries[0].Index on.
type Persist struct {
	Seq       uint64
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Apply carries committed entries, in order and without a gap after the previous
// Apply or RestoreSnapshot.
type Apply struct{ Entries []Entry }

// RestoreSnapshot replaces the whole applied state by a snapshot.
type RestoreSnapshot struct{ Snapshot Snapshot }

// ProposalAppended reports the index and term of a proposal or voter change in
// the leader's log. It succeeded if Apply later delivers an entry with this
// index and term, and failed permanently if that entry has another term.
type ProposalAppended struct {
	ID          string
	Index, Term uint64
}

// ProposalRefused reports that a proposal, voter change or leadership transfer
// was refused. The error's verdict is verdict.NotRun.
type ProposalRefused struct {
	ID     string
	Err    *verdict.Error
	Leader Member // zero if unknown
}

// TransferEnded reports that a leadership transfer ended. The error's verdict is
// verdict.NotRun if it timed out before TimeoutNow was sent, else
// verdict.MayHaveRun; RoleChanged then shows the outcome.
type TransferEnded struct {
	ID  string
	Err *verdict.Error
}

// ReadReady reports that a read may be served from the applied state, which has
// reached Index.
type ReadReady struct {
	ID    string
	Index uint64
}

// ReadRefused reports that a read was not confirmed.
type ReadRefused struct {
	ID     string
	Err    *verdict.Error
	Leader Member // zero if unknown
}

// RoleChanged reports a new role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader Member // zero if unknown
	Reason Reason
}

// VotersChanged reports the current voter set, which may be uncommitted. A later
// VotersChanged reverts it if its entry is replaced.
type VotersChanged struct {
	Index  uint64
	Voters VoterSet
}

// InitialVotersDiffer reports that another empty host has a different list of
// initial voters, which prevents the cluster from being founded.
type InitialVotersDiffer struct{ Member Member }

// OtherClusterFound reports a host that belongs to another cluster. If it is not a host
// of another system, the log was founded twice.
type OtherClusterFound struct {
	Member  Member
	Cluster Identity
}

// StorageFull reports that the journal started or stopped refusing writes.
type StorageFull struct{ Full bool }

func (Send) isEffect()                {}
func (Persist) isEffect()             {}
func (Apply) isEffect()               {}
func (RestoreSnapshot) isEffect()     {}
func (ProposalAppended) isEffect()    {}
func (ProposalRefused) isEffect()     {}
func (TransferEnded) isEffect()       {}
func (ReadReady) isEffect()           {}
func (ReadRefused) isEffect()         {}
func (RoleChanged) isEffect()         {}
func (VotersChanged) isEffect()       {}
func (InitialVotersDiffer) isEffect() {}
func (OtherClusterFound) isEffect()   {}
func (StorageFull) isEffect()         {}

// Role is the Raft role of a node.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "follower"
	}
}

// Reason is the cause of a RoleChanged effect.
type Reason string

// Reasons of RoleChanged.
const (
	ReasonStarted      Reason = "started"
	ReasonTimeout      Reason = "election timeout"
	ReasonTransfer     Reason = "leadership transfer"
	ReasonElected      Reason = "elected"
	ReasonHigherTerm   Reason = "higher term seen"
	ReasonLeaderFound  Reason = "leader found"
	ReasonLeaseExpired Reason = "lease expired"
)

// Codes of refusals.
const (
	CodeNotLeader          verdict.Code = "not_leader"
	CodeTooManyProposals   verdict.Code = "too_many_proposals"
	CodeTooManyReads       verdict.Code = "too_many_reads"
	CodeProposalTooLarge   verdict.Code = "proposal_too_large"
	CodeTransferring       verdict.Code = "leadership_transfer"
	CodeStorageFull        verdict.Code = "storage_full"
	CodeChangeInProgress   verdict.Code = "voter_change_in_progress"
	CodeInvalidVoterChange verdict.Code = "invalid_voter_change"
)
