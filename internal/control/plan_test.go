package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// answerFeed answers the latest poll of a core that follows one feed.
func answerFeed(t *testing.T, c *Core, now time.Time, u follow.Update) {
	t.Helper()
	u.From = "feed"
	for _, e := range append(c.Step(now, FollowEvent{follow.FeedsChanged{Feeds: []follow.FeedHost{{Host: "feed"}}}}), c.Step(now, FollowEvent{follow.Tick{}})...) {
		if p, ok := e.(SendPoll); ok {
			u.Seq = p.Poll.Seq
		}
	}
	require.NotZero(t, u.Seq, "the core polls its feed")
	c.Step(now, FollowEvent{follow.UpdateReceived{Update: u}})
}

// Guards against a host that restarts with an old plan on its disk and accepts keys before
// a leader has confirmed that plan, against a confirmation of a plan that the host does not
// have yet, and against traffic that reads an outdated time of confirmation.
func TestPlanConfirmedAt(t *testing.T) {
	c, now := benchCore(0)
	plan := func(v uint64) *routeplan.Document {
		return &routeplan.Document{Version: v, Plan: &routeplan.Plan{Version: v}}
	}
	c.applyPlan(now, plan(7))
	require.True(t, c.Snapshot(now).PlanConfirmedAt.IsZero(), "after a restart nothing is confirmed")

	now = now.Add(time.Second)
	answerFeed(t, c, now, follow.Update{Term: 1, Confirmed: true, ConfirmedPlan: 8, ConfirmedAge: 300 * time.Millisecond})
	require.True(t, c.Snapshot(now).PlanConfirmedAt.IsZero(), "this host lacks plan 8")
	c.applyPlan(now.Add(time.Second), plan(8))
	first := now.Add(-300 * time.Millisecond)
	require.Equal(t, first, c.Snapshot(now.Add(time.Second)).PlanConfirmedAt, "the age counts from the leader")

	now = now.Add(2 * time.Second)
	answerFeed(t, c, now, follow.Update{Term: 2, Confirmed: true, ConfirmedPlan: 8, ConfirmedAge: time.Millisecond})
	require.Equal(t, now.Add(-time.Millisecond), c.Snapshot(now).PlanConfirmedAt, "each confirmation is published")
	answerFeed(t, c, now.Add(time.Second), follow.Update{Term: 2, Confirmed: true, ConfirmedAge: 0})
	require.Equal(t, now.Add(-time.Millisecond), c.Snapshot(now.Add(time.Second)).PlanConfirmedAt, "a leader that names no plan confirms none")
}
