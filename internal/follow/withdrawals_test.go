package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

func setAt(t *testing.T, revision uint64) *withdrawal.Set {
	t.Helper()
	s, err := withdrawal.NewSet(revision, []withdrawal.Domain{{Name: "a", Withdrawn: true, Revision: revision}})
	require.NoError(t, err)
	return s
}

// Guards against a host that lacks the newest withdrawals because it has the newest plan,
// and against a feed that sends them again and again.
func TestFeedSendsWithdrawalsToHostsThatLackThem(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFeed("feed")
	poll := func(p Poll) Update {
		p.From = "h"
		return f.Answer(now, p, Confirmation{Withdrawals: 3, At: now}, 0, func() config.State { return config.State{} })
	}
	require.Nil(t, poll(Poll{}).Withdrawals)
	pushes := f.WithdrawalsApplied(now, 1, setAt(t, 3))
	require.Len(t, pushes, 1)
	require.Equal(t, setAt(t, 3), pushes[0].Update.Withdrawals)
	require.Empty(t, f.WithdrawalsApplied(now, 1, setAt(t, 3)))
	u := poll(Poll{Plan: 9, Withdrawals: 2})
	require.Equal(t, setAt(t, 3), u.Withdrawals, "the push was lost")
	require.Equal(t, uint64(3), u.ConfirmedWithdrawals)
	require.Nil(t, poll(Poll{Withdrawals: 3}).Withdrawals)
}

// Guards against an older set that replaces a newer one, a plan that is applied before the
// withdrawals of the same update, and a confirmation that does not name them.
func TestFollowerAppliesNewerWithdrawalsBeforeThePlan(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFollower("h", true) // also on a host with a log
	f.Step(now, FeedsChanged{Feeds: []FeedHost{{"feed", "a"}}})
	plan := &routeplan.Document{Version: 2}
	require.Equal(t, []Effect{ApplyWithdrawals{Set: setAt(t, 4)}, ApplyPlan{Document: plan}},
		f.Step(now, UpdateReceived{Update{From: "x", Plan: plan, Withdrawals: setAt(t, 4)}}))
	require.Empty(t, f.Step(now, UpdateReceived{Update{From: "x", Withdrawals: setAt(t, 3)}}))
	f.SetWithdrawals(6)
	require.Empty(t, f.Step(now, UpdateReceived{Update{From: "x", Withdrawals: setAt(t, 6)}}))
	now = now.Add(PollInterval)
	for _, e := range f.Step(now, Tick{}) {
		if p, ok := e.(SendPoll); ok {
			require.Equal(t, uint64(6), p.Poll.Withdrawals)
			require.Contains(t, f.Step(now, UpdateReceived{Update{From: "feed", Seq: p.Poll.Seq, Term: 1, Confirmed: true, ConfirmedWithdrawals: 7}}),
				Effect(Confirmed{Term: 1, Withdrawals: 7, At: now}))
		}
	}
}
