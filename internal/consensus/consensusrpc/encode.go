package consensusrpc

import (
	"fmt"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// Encode converts a message to its wire form. It panics on a body type that it
// does not know; only package consensus can define one.
func Encode(m consensus.Message) *Message {
	out := &Message{From: encodeMember(m.From), To: string(m.To), Cluster: string(m.Cluster), Term: m.Term}
	switch b := m.Body.(type) {
	case consensus.PreVote:
		out.Body = &Message_PreVote{&PreVote{LastIndex: b.LastIndex, LastTerm: b.LastTerm}}
	case consensus.PreVoteReply:
		out.Body = &Message_PreVoteReply{&PreVoteReply{Granted: b.Granted}}
	case consensus.Vote:
		out.Body = &Message_Vote{&Vote{LastIndex: b.LastIndex, LastTerm: b.LastTerm, Transfer: b.Transfer}}
	case consensus.VoteReply:
		out.Body = &Message_VoteReply{&VoteReply{Granted: b.Granted}}
	case consensus.Append:
		out.Body = &Message_Append{encodeAppend(b)}
	case consensus.AppendReply:
		out.Body = &Message_AppendReply{&AppendReply{
			Rejected: b.Rejected, PrevIndex: b.PrevIndex, Match: b.Match, HintIndex: b.HintIndex, HintTerm: b.HintTerm,
		}}
	case consensus.Heartbeat:
		out.Body = &Message_Heartbeat{&Heartbeat{Round: b.Round, Commit: b.Commit}}
	case consensus.HeartbeatReply:
		out.Body = &Message_HeartbeatReply{&HeartbeatReply{Round: b.Round}}
	case consensus.InstallSnapshot:
		out.Body = &Message_InstallSnapshot{encodeChunk(b)}
	case consensus.InstallSnapshotReply:
		out.Body = &Message_InstallSnapshotReply{&InstallSnapshotReply{Index: b.Index, Offset: b.Offset, Done: b.Done}}
	case consensus.TimeoutNow:
		out.Body = &Message_TimeoutNow{&TimeoutNow{}}
	case consensus.Join:
		out.Body = &Message_Join{&Join{Member: encodeMember(b.Member), Names: b.Names}}
	case consensus.JoinReply:
		out.Body = &Message_JoinReply{&JoinReply{Member: encodeMember(b.Member), Empty: b.Empty, Names: b.Names}}
	case consensus.Seed:
		out.Body = &Message_Seed{encodeChunk(consensus.InstallSnapshot(b))}
	case consensus.SeedReply:
		out.Body = &Message_SeedReply{&SeedReply{Index: b.Index, Offset: b.Offset}}
	default:
		panic(fmt.Sprintf("consensusrpc: no encoding for %T", m.Body))
	}
	return out
}

func encodeMember(m consensus.Member) *Member {
	return &Member{Identity: string(m.Identity), Name: m.Name, Address: m.Address}
}

func encodeMembers(members []consensus.Member) []*Member {
	out := make([]*Member, 0, len(members))
	for _, m := range members {
		out = append(out, encodeMember(m))
	}
	return out
}

func encodeVoters(s consensus.VoterSet) *VoterSet {
	return &VoterSet{Voters: encodeMembers(s.Voters), Learners: encodeMembers(s.Learners)}
}

func encodeAppend(a consensus.Append) *Append {
	out := &Append{PrevIndex: a.PrevIndex, PrevTerm: a.PrevTerm, Commit: a.Commit}
	for _, e := range a.Entries {
		out.Entries = append(out.Entries, encodeEntry(e))
	}
	return out
}

func encodeEntry(e consensus.Entry) *Entry {
	out := &Entry{Index: e.Index, Term: e.Term, Data: e.Data}
	switch e.Kind {
	case consensus.EntryNoOp:
		out.Kind = EntryKind_ENTRY_KIND_NO_OP
	case consensus.EntryVoters:
		out.Kind = EntryKind_ENTRY_KIND_VOTERS
		if e.Voters != nil {
			out.Voters = encodeVoters(*e.Voters)
		}
	default:
		out.Kind = EntryKind_ENTRY_KIND_NORMAL
	}
	return out
}

func encodeChunk(c consensus.InstallSnapshot) *SnapshotChunk {
	return &SnapshotChunk{
		Index: c.Index, SnapshotTerm: c.SnapshotTerm, Voters: encodeVoters(c.Voters),
		Total: c.Total, Offset: c.Offset, Data: c.Data,
	}
}
