package consensus

import "github.com/hawthornlock/hawthornlock/internal/verdict"

// Event is an input of Node.Step.
type Event interface{ isEvent() }

// Tick tells the node the time. It is due at least once per heartbeat
// interval.
type Tick struct{}

// MessageReceived carries a message of another node.
type MessageReceived struct{ Message Message }

// Propose asks the leader to replicate Data. With an empty ID no outcome is
// reported.
type Propose struct {
	ID   string
	Data []byte
}

// Persisted reports that the Persist effects up to Seq are durable.
type Persisted struct{ Seq uint64 }

// PersistFailed reports that the Persist effects from Seq on were refused, for
// lack of space or of room in the queue. Nothing of them was written.
type PersistFailed struct{ Seq uint64 }

// MembersFound tells a node that belongs to no cluster whom to ask to join.
// Initial replaces Options.Initial where the settings name no voters; it stays
// empty on a node that must not take part in founding a cluster. A member that
// a leader no longer knows asks the contacts to be taken back.
type MembersFound struct {
	Contacts []Member // hosts that may belong to a cluster, by name and address
	Initial  []Member // initial voters: none, or 1, 3 or 5
}

// ReadIndex asks for an index that a linearizable read must wait for.
// AllowLease permits an answer from the lease without a round of messages.
type ReadIndex struct {
	ID         string
	AllowLease bool
}

// Compact replaces the log up to Index, which must have been applied, with a
// snapshot of the state at that index. It is ignored if the entries are not
// yet synced; the caller repeats it later.
type Compact struct {
	Index uint64
	Data  []byte
}

// TransferLeadership asks the leader to hand over to a voter. An empty To
// lets the leader choose.
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

// Send asks for a message to be sent. It may be lost, delayed or repeated.
type Send struct {
	To      Member // Identity is empty in Join
	Message Message
}

// Persist asks for a durable change. Snapshot comes first: a log that holds
// the entry (Snapshot.Index, Snapshot.Term) keeps what follows it, any other
// log is replaced. Entries then replace the log from Entries[0].Index on.
type Persist struct {
	Seq       uint64
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Apply carries committed entries, in order and without gaps after the last
// Apply or RestoreSnapshot.
type Apply struct{ Entries []Entry }

// RestoreSnapshot replaces the whole applied state.
type RestoreSnapshot struct{ Snapshot Snapshot }

// ProposalAppended says where a proposal or voter change stands in the
// leader's log. It succeeded if Apply later delivers an entry with this index
// and term, and it failed for good if Apply delivers another term there.
type ProposalAppended struct {
	ID          string
	Index, Term uint64
}

// ProposalRefused says that a proposal, voter change or transfer was not
// accepted. The error's verdict is verdict.NotRun.
type ProposalRefused struct {
	ID     string
	Err    *verdict.Error
	Leader Member // zero if unknown
}

// TransferEnded says that a leadership transfer ended. Err carries
// verdict.MayHaveRun once the target was told to campaign; RoleChanged shows
// the outcome.
type TransferEnded struct {
	ID  string
	Err *verdict.Error
}

// ReadReady says that a read may be served from the applied state, which has
// reached Index.
type ReadReady struct {
	ID    string
	Index uint64
	Lease bool // answered from the lease
}

// ReadRefused says that a read was not confirmed.
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

// VotersChanged reports the voter set in force. It may be taken back when the
// entry that carries it is replaced.
type VotersChanged struct {
	Index  uint64
	Voters VoterSet
}

// InitialVotersDiffer reports that another empty host has a different list of
// initial voters, which keeps the cluster from being founded.
type InitialVotersDiffer struct{ Member Member }

// StorageFull reports that the journal began or ceased to refuse writes.
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
func (StorageFull) isEffect()         {}

// Role is the part a node plays in its term.
type Role uint8

// The roles of a node.
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

// Reason says why the role changed.
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
