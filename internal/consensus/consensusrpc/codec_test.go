package consensusrpc

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

var (
	testMember = consensus.Member{Identity: "id", Name: "a", Address: "127.0.0.1:1"}
	testVoters = consensus.VoterSet{Voters: []consensus.Member{testMember}}
)

func testMessages() []consensus.Message {
	chunk := consensus.InstallSnapshot{Index: 4, SnapshotTerm: 2, Voters: testVoters, Total: 9, Offset: 3, Data: []byte("abc")}
	bodies := []consensus.Body{
		consensus.PreVote{LastIndex: 3, LastTerm: 2},
		consensus.PreVoteReply{Granted: true},
		consensus.Vote{LastIndex: 3, LastTerm: 2, Transfer: true},
		consensus.VoteReply{Granted: true},
		consensus.Append{PrevIndex: 3, PrevTerm: 2, Commit: 1, Entries: []consensus.Entry{
			{Index: 4, Term: 2, Data: []byte("x")},
			{Index: 5, Term: 3, Kind: consensus.EntryNoOp},
			{Index: 6, Term: 3, Kind: consensus.EntryVoters, Voters: &testVoters},
		}},
		consensus.AppendReply{Rejected: true, PrevIndex: 1, Match: 2, HintIndex: 3, HintTerm: 4},
		consensus.Heartbeat{Round: 1, Commit: 2},
		consensus.HeartbeatReply{Round: 1},
		chunk,
		consensus.InstallSnapshotReply{Index: 4, Offset: 6, Done: true},
		consensus.TimeoutNow{},
		consensus.Join{Member: testMember, Names: []string{"a", "b"}},
		consensus.JoinReply{Member: testMember, Empty: true, Names: []string{"a"}},
		consensus.Seed(chunk),
		consensus.SeedReply{Index: 4, Offset: 6},
	}
	var messages []consensus.Message
	for _, b := range bodies {
		messages = append(messages, consensus.Message{From: testMember, To: "to", Cluster: "c", Term: 5, Body: b})
	}
	return messages
}

// Guards against fields that are not encoded or decoded.
func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range testMessages() {
		decoded, err := Decode(Encode(m))
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	}
}

// Guards against messages that would corrupt the log of the receiver.
func TestMalformedMessagesAreRefused(t *testing.T) {
	entry := func(index, term uint64) *Entry {
		return &Entry{Index: index, Term: term, Kind: EntryKind_ENTRY_KIND_NORMAL}
	}
	from := encodeMember(testMember)
	voters := encodeVoters(testVoters)
	for name, m := range map[string]*Message{
		"no body":     {From: from, To: "to"},
		"no sender":   {To: "to", Body: &Message_TimeoutNow{&TimeoutNow{}}},
		"no receiver": {From: from, Body: &Message_TimeoutNow{&TimeoutNow{}}},
		"gap":         {From: from, To: "to", Body: &Message_Append{&Append{PrevIndex: 1, Entries: []*Entry{entry(3, 1)}}}},
		"falling term": {From: from, To: "to", Body: &Message_Append{&Append{
			PrevIndex: 1, PrevTerm: 2, Entries: []*Entry{entry(2, 1)},
		}}},
		"no kind":   {From: from, To: "to", Body: &Message_Append{&Append{Entries: []*Entry{{Index: 1}}}}},
		"no voters": {From: from, To: "to", Body: &Message_Seed{&SnapshotChunk{Index: 1}}},
		"chunk beyond the end": {From: from, To: "to", Body: &Message_Seed{&SnapshotChunk{
			Index: 1, Voters: voters, Total: 2, Offset: 1, Data: []byte("ab"),
		}}},
		"offset overflow": {From: from, To: "to", Body: &Message_Seed{&SnapshotChunk{
			Index: 1, Voters: voters, Total: 2, Offset: 1<<64 - 1, Data: []byte("ab"),
		}}},
	} {
		_, err := Decode(m)
		require.Error(t, err, name)
	}
}

// Guards against a decoder that panics on arbitrary input, and against decoded
// messages that change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range testMessages() {
		b, err := proto.Marshal(Encode(m))
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		decoded, err := Decode(&m)
		if err != nil {
			return
		}
		wire, err := proto.Marshal(Encode(decoded))
		require.NoError(t, err)
		var again Message
		require.NoError(t, proto.Unmarshal(wire, &again))
		decodedAgain, err := Decode(&again)
		require.NoError(t, err)
		require.Equal(t, decoded, decodedAgain)
	})
}

type fakeBackend struct{ messages []consensus.Message }

func (b *fakeBackend) Deliver(_ context.Context, m []consensus.Message) {
	b.messages = append(b.messages, m...)
}

// Guards against messages that change between client and backend, and against an
// undelivered request that is reported as delivered.
func TestServiceDeliversMessages(t *testing.T) {
	backend := &fakeBackend{}
	server := httptest.NewServer(NewHandler(backend))
	client := NewClient(server.Client(), server.Listener.Addr().(*net.TCPAddr).String())
	require.NoError(t, client.Deliver(t.Context(), testMessages()))
	require.Equal(t, testMessages(), backend.messages)
	server.Close()
	require.Error(t, client.Deliver(t.Context(), testMessages()))
}
