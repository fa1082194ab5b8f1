package consensusrpc

import (
	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// Limits on one message. They bound the memory that a faulty peer can make a
// node use.
const (
	MaxMembers       = 64
	MaxEntries       = 65536
	MaxNameBytes     = 256
	MaxSnapshotBytes = 1 << 30
)

// Decode converts a message and checks everything that a node relies on: sender
// and receiver, the limits, that entries are consecutive with non-decreasing
// terms, and that a chunk lies within its snapshot.
func Decode(m *Message) (consensus.Message, error) {
	from, err := decodeMember(m.GetFrom())
	if err != nil {
		return consensus.Message{}, err
	}
	if len(m.GetTo()) > MaxNameBytes || len(m.GetCluster()) > MaxNameBytes {
		return consensus.Message{}, errors.New("consensusrpc: an identity is too long")
	}
	out := consensus.Message{
		From: from, To: consensus.Identity(m.GetTo()), Cluster: consensus.Identity(m.GetCluster()), Term: m.GetTerm(),
	}
	out.Body, err = decodeBody(m)
	if err != nil {
		return consensus.Message{}, err
	}
	if _, join := out.Body.(consensus.Join); out.To == "" && !join {
		return consensus.Message{}, errors.Newf("consensusrpc: %T has no receiver", out.Body)
	}
	return out, nil
}

func decodeBody(m *Message) (consensus.Body, error) {
	switch b := m.GetBody().(type) {
	case *Message_PreVote:
		return consensus.PreVote{LastIndex: b.PreVote.GetLastIndex(), LastTerm: b.PreVote.GetLastTerm()}, nil
	case *Message_PreVoteReply:
		return consensus.PreVoteReply{Granted: b.PreVoteReply.GetGranted()}, nil
	case *Message_Vote:
		return consensus.Vote{
			LastIndex: b.Vote.GetLastIndex(), LastTerm: b.Vote.GetLastTerm(), Transfer: b.Vote.GetTransfer(),
		}, nil
	case *Message_VoteReply:
		return consensus.VoteReply{Granted: b.VoteReply.GetGranted()}, nil
	case *Message_Append:
		return decodeAppend(b.Append)
	case *Message_AppendReply:
		r := b.AppendReply
		return consensus.AppendReply{
			Rejected: r.GetRejected(), PrevIndex: r.GetPrevIndex(), Match: r.GetMatch(),
			HintIndex: r.GetHintIndex(), HintTerm: r.GetHintTerm(),
		}, nil
	case *Message_Heartbeat:
		return consensus.Heartbeat{Round: b.Heartbeat.GetRound(), Commit: b.Heartbeat.GetCommit()}, nil
	case *Message_HeartbeatReply:
		return consensus.HeartbeatReply{Round: b.HeartbeatReply.GetRound()}, nil
	case *Message_InstallSnapshot:
		return decodeChunk(b.InstallSnapshot)
	case *Message_InstallSnapshotReply:
		r := b.InstallSnapshotReply
		return consensus.InstallSnapshotReply{Index: r.GetIndex(), Offset: r.GetOffset(), Done: r.GetDone()}, nil
	case *Message_TimeoutNow:
		return consensus.TimeoutNow{}, nil
	case *Message_Join:
		member, names, err := decodeJoin(b.Join.GetMember(), b.Join.GetNames())
		return consensus.Join{Member: member, Names: names}, err
	case *Message_JoinReply:
		member, names, err := decodeJoin(b.JoinReply.GetMember(), b.JoinReply.GetNames())
		return consensus.JoinReply{Member: member, Empty: b.JoinReply.GetEmpty(), Names: names}, err
	case *Message_Seed:
		c, err := decodeChunk(b.Seed)
		return consensus.Seed(c), err
	case *Message_SeedReply:
		return consensus.SeedReply{Index: b.SeedReply.GetIndex(), Offset: b.SeedReply.GetOffset()}, nil
	default:
		return nil, errors.New("consensusrpc: message has no known body")
	}
}

func decodeMember(m *Member) (consensus.Member, error) {
	if m.GetIdentity() == "" {
		return consensus.Member{}, errors.New("consensusrpc: member has no identity")
	}
	if len(m.GetIdentity()) > MaxNameBytes || len(m.GetName()) > MaxNameBytes || len(m.GetAddress()) > MaxNameBytes {
		return consensus.Member{}, errors.New("consensusrpc: identity, name or address of a member is too long")
	}
	return consensus.Member{
		Identity: consensus.Identity(m.GetIdentity()), Name: m.GetName(), Address: m.GetAddress(),
	}, nil
}

func decodeMembers(members []*Member) ([]consensus.Member, error) {
	if len(members) > MaxMembers {
		return nil, errors.Newf("consensusrpc: too many members: %d", len(members))
	}
	var out []consensus.Member
	for _, m := range members {
		member, err := decodeMember(m)
		if err != nil {
			return nil, err
		}
		out = append(out, member)
	}
	return out, nil
}

func decodeVoters(s *VoterSet) (consensus.VoterSet, error) {
	voters, err := decodeMembers(s.GetVoters())
	if err != nil {
		return consensus.VoterSet{}, err
	}
	if len(voters) == 0 {
		return consensus.VoterSet{}, errors.New("consensusrpc: voter set has no voters")
	}
	learners, err := decodeMembers(s.GetLearners())
	return consensus.VoterSet{Voters: voters, Learners: learners}, err
}

func decodeAppend(a *Append) (consensus.Body, error) {
	if len(a.GetEntries()) > MaxEntries {
		return nil, errors.Newf("consensusrpc: too many entries in one message: %d", len(a.GetEntries()))
	}
	out := consensus.Append{PrevIndex: a.GetPrevIndex(), PrevTerm: a.GetPrevTerm(), Commit: a.GetCommit()}
	term := out.PrevTerm
	for i, e := range a.GetEntries() {
		if e.GetIndex() != out.PrevIndex+1+uint64(i) || e.GetTerm() < term {
			return nil, errors.Newf("consensusrpc: entry %d of term %d is out of order", e.GetIndex(), e.GetTerm())
		}
		term = e.GetTerm()
		entry, err := decodeEntry(e)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

func decodeEntry(e *Entry) (consensus.Entry, error) {
	out := consensus.Entry{Index: e.GetIndex(), Term: e.GetTerm()}
	switch e.GetKind() {
	case EntryKind_ENTRY_KIND_NORMAL:
		if len(e.GetData()) > 0 {
			out.Data = e.GetData()
		}
	case EntryKind_ENTRY_KIND_NO_OP:
		out.Kind = consensus.EntryNoOp
	case EntryKind_ENTRY_KIND_VOTERS:
		voters, err := decodeVoters(e.GetVoters())
		if err != nil {
			return out, err
		}
		out.Kind = consensus.EntryVoters
		out.Voters = &voters
	default:
		return out, errors.Newf("consensusrpc: unknown entry kind %d", e.GetKind())
	}
	return out, nil
}

func decodeChunk(c *SnapshotChunk) (consensus.InstallSnapshot, error) {
	voters, err := decodeVoters(c.GetVoters())
	if err != nil {
		return consensus.InstallSnapshot{}, err
	}
	size := uint64(len(c.GetData()))
	if c.GetTotal() > MaxSnapshotBytes || c.GetOffset() > c.GetTotal() || size > c.GetTotal()-c.GetOffset() {
		return consensus.InstallSnapshot{}, errors.Newf(
			"consensusrpc: invalid chunk: %d bytes at offset %d of a snapshot of %d bytes", size, c.GetOffset(), c.GetTotal())
	}
	return consensus.InstallSnapshot{
		Index: c.GetIndex(), SnapshotTerm: c.GetSnapshotTerm(), Voters: voters,
		Total: c.GetTotal(), Offset: c.GetOffset(), Data: c.GetData(),
	}, nil
}

func decodeJoin(m *Member, names []string) (consensus.Member, []string, error) {
	member, err := decodeMember(m)
	if err != nil {
		return member, nil, err
	}
	if len(names) > MaxMembers {
		return member, nil, errors.Newf("consensusrpc: too many initial voters: %d", len(names))
	}
	for _, name := range names {
		if len(name) > MaxNameBytes {
			return member, nil, errors.New("consensusrpc: a host name is too long")
		}
	}
	return member, names, nil
}
