package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// newVoter returns voter a of three in term 2, with one entry after the initial
// snapshot, and a time one election timeout after its start.
func newVoter(t *testing.T) (*Node, time.Time) {
	set := VoterSet{}
	for _, id := range []Identity{"a", "b", "c"} {
		set.Voters = append(set.Voters, Member{Identity: id, Name: string(id), Address: string(id)})
	}
	n, err := New(Options{Self: set.Voters[0], Rand: rand.New(rand.NewPCG(1, 1))}, DurableState{
		HardState: HardState{Cluster: "a", Term: 2},
		Snapshot:  &Snapshot{Index: 1, Term: 1, Voters: set},
		Entries:   []Entry{{Index: 2, Term: 2}},
	})
	require.NoError(t, err)
	now := time.Unix(1, 0)
	n.Step(now, Tick{})
	return n, now.Add(DefaultElectionTimeout)
}

// deliver delivers a message, reports all changes as durable and returns the body
// of the reply, or nil.
func deliver(n *Node, now time.Time, from Identity, term uint64, body Body) Body {
	effects := n.Step(now, MessageReceived{Message: Message{
		From: Member{Identity: from}, To: "a", Cluster: "a", Term: term, Body: body,
	}})
	effects = append(effects, n.Step(now, Persisted{Seq: n.storage.seq})...)
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.To.Identity == from {
			return s.Message.Body
		}
	}
	return nil
}

// Guards against votes that could elect a leader that lacks committed entries,
// two leaders in one term, or a leader while another one holds a lease.
func TestVoteRules(t *testing.T) {
	granted := VoteReply{Granted: true}
	upToDate := Vote{LastIndex: 2, LastTerm: 2}

	n, now := newVoter(t)
	require.Equal(t, granted, deliver(n, now, "b", 3, upToDate))
	require.Equal(t, granted, deliver(n, now, "b", 3, upToDate), "a repeated request")
	require.Equal(t, VoteReply{}, deliver(n, now, "c", 3, upToDate), "a second candidate")
	require.Equal(t, VoteReply{}, deliver(n, now, "c", 2, upToDate), "an old term")

	n, now = newVoter(t)
	require.Equal(t, VoteReply{}, deliver(n, now, "b", 3, Vote{LastIndex: 1, LastTerm: 1}), "a shorter log")
	require.Equal(t, VoteReply{}, deliver(n, now, "b", 4, Vote{LastIndex: 9, LastTerm: 1}), "an older log")

	n, now = newVoter(t)
	require.Equal(t, HeartbeatReply{Round: 1}, deliver(n, now, "b", 2, Heartbeat{Round: 1}))
	require.Nil(t, deliver(n, now, "c", 3, upToDate), "a leader has been heard")
	require.Equal(t, PreVoteReply{}, deliver(n, now, "c", 3, PreVote{LastIndex: 2, LastTerm: 2}))
	require.Equal(t, uint64(2), n.hard.Term)
	require.Equal(t, granted, deliver(n, now, "c", 3, Vote{LastIndex: 2, LastTerm: 2, Transfer: true}), "a transfer")
}

// Guards against a vote or an acknowledgement that is sent before it is synced.
func TestRepliesWaitForSync(t *testing.T) {
	n, now := newVoter(t)
	for _, m := range []Message{
		{Term: 3, Body: Vote{LastIndex: 2, LastTerm: 2}},
		{Term: 3, Body: Append{PrevIndex: 2, PrevTerm: 2, Entries: []Entry{{Index: 3, Term: 3}}}},
	} {
		m.From, m.To, m.Cluster = Member{Identity: "b"}, "a", "a"
		persists := 0
		for _, e := range n.Step(now, MessageReceived{Message: m}) {
			_, sent := e.(Send)
			require.False(t, sent, "the reply to %T was sent before the sync", m.Body)
			if _, ok := e.(Persist); ok {
				persists++
			}
		}
		require.Equal(t, 1, persists)
		n.Step(now, Persisted{Seq: n.storage.seq})
	}
}

// newLeader returns voter a as leader of term 3, elected by b, with its no-op
// at index 3.
func newLeader(t *testing.T) (*Node, time.Time) {
	n, now := newVoter(t)
	now = now.Add(DefaultElectionTimeout)
	n.Step(now, Tick{})
	deliver(n, now, "b", 3, PreVoteReply{Granted: true})
	deliver(n, now, "b", 3, VoteReply{Granted: true})
	require.Equal(t, Leader, n.role)
	require.Equal(t, uint64(3), n.log.lastIndex())
	return n, now
}

// Guards against committing an entry of an earlier term by counting replicas,
// since a later leader could still replace it (figure 8 of the Raft paper).
func TestEarlierTermEntriesCommitWithCurrentTerm(t *testing.T) {
	n, now := newLeader(t)
	deliver(n, now, "b", 3, AppendReply{PrevIndex: 2, Match: 2})
	require.Equal(t, uint64(1), n.hard.Commit)
	deliver(n, now, "b", 3, AppendReply{PrevIndex: 2, Match: 3})
	require.Equal(t, uint64(3), n.hard.Commit)
}

// Guards against a read at a new leader that does not know yet which entries its
// predecessor committed.
func TestReadWaitsForCommitInCurrentTerm(t *testing.T) {
	n, now := newLeader(t)
	for _, id := range []string{"first", "with a held lease"} {
		n.Step(now, ReadIndex{ID: id})
		deliver(n, now, "b", 3, HeartbeatReply{Round: n.leading.round})
		require.True(t, n.leaseHeld())
	}
	require.Len(t, n.leading.reads, 2)
	deliver(n, now, "b", 3, AppendReply{PrevIndex: 2, Match: 3})
	require.Empty(t, n.leading.reads)
}

// Guards against a heartbeat that makes a follower commit entries that differ
// from the leader's.
func TestHeartbeatCommitsOnlyWhatMatches(t *testing.T) {
	n, now := newLeader(t)
	deliver(n, now, "b", 3, AppendReply{PrevIndex: 2, Match: 3})
	commits := map[Identity]uint64{}
	for _, e := range n.Step(now.Add(DefaultHeartbeatInterval), Tick{}) {
		if s, ok := e.(Send); ok {
			if h, ok := s.Message.Body.(Heartbeat); ok {
				commits[s.To.Identity] = h.Commit
			}
		}
	}
	require.Equal(t, map[Identity]uint64{"b": 3, "c": 0}, commits)
}

// Guards against two uncommitted voter changes at a time: the majorities of the
// voter sets might not intersect.
func TestVotersChangeOneAtATime(t *testing.T) {
	n, now := newLeader(t)
	add := func(id Identity) Effect {
		change := ChangeVoters{ID: "c", Op: AddLearner, Member: Member{Identity: id, Name: string(id)}}
		effects := n.Step(now, change)
		for _, e := range effects {
			switch e.(type) {
			case ProposalAppended, ProposalRefused:
				return e
			}
		}
		return nil
	}
	require.IsType(t, ProposalRefused{}, add("d"), "before the first commit of the term")
	deliver(n, now, "b", 3, AppendReply{PrevIndex: 2, Match: 3})
	require.IsType(t, ProposalAppended{}, add("d"))
	require.IsType(t, ProposalRefused{}, add("e"), "while another change is uncommitted")
	n.Step(now, Persisted{Seq: n.storage.seq})
	deliver(n, now, "b", 3, AppendReply{PrevIndex: 3, Match: 4})
	require.IsType(t, ProposalAppended{}, add("e"))
}

// Guards against "may have run" for a leadership transfer of which the transferee
// was not told, and against "not run" for one that it may carry out.
func TestTransferThatEndsWithLeadershipHasATrueVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		upToDate bool
		want     verdict.Verdict
	}{"transferee behind": {false, verdict.NotRun}, "transferee told": {true, verdict.MayHaveRun}} {
		t.Run(name, func(t *testing.T) {
			n, now := newVoter(t)
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				n.Step(now, Tick{})
				n.Step(now, Persisted{Seq: n.storage.seq})
				if n.role == Leader {
					break
				}
				deliver(n, now, "b", n.hard.Term+1, PreVoteReply{Granted: true})
				deliver(n, now, "b", n.hard.Term, VoteReply{Granted: true})
			}
			require.Equal(t, Leader, n.role)
			p := n.leading.progress["b"]
			p.match = 0
			if c.upToDate {
				p.match = n.log.lastIndex()
			}
			n.leading.transfer = &transfer{id: "x", to: "b", deadline: now.Add(time.Hour)}
			n.advanceTransfer()
			n.effects = nil
			n.stopLeading()
			var ended []TransferEnded
			for _, e := range n.effects {
				if e, ok := e.(TransferEnded); ok {
					ended = append(ended, e)
				}
			}
			require.Len(t, ended, 1)
			require.Equal(t, c.want, ended[0].Err.Verdict)
		})
	}
}
