package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

func withdrawn(t *testing.T, revision uint64, domains ...string) *withdrawal.Set {
	t.Helper()
	var records []withdrawal.Domain
	for _, d := range domains {
		records = append(records, withdrawal.Domain{Name: d, Withdrawn: true, Revision: revision})
	}
	s, err := withdrawal.NewSet(revision, records)
	require.NoError(t, err)
	return s
}

// Guards against a host that starts while a failure domain is withdrawn, and serves the
// targets there because it has the route plan already.
func TestStartingHostWaitsForTheConfirmedWithdrawals(t *testing.T) {
	c, now := benchCore(0)
	c.startedAt = now
	c.plans.Apply(&routeplan.Document{Version: 3, Plan: &routeplan.Plan{}})
	c.confirm(now, follow.Confirmed{Term: 1, Plan: 3, Withdrawals: 2, At: now})
	require.False(t, c.canServePlan(now))
	c.applyWithdrawals(now, withdrawn(t, 1, "a"))
	require.False(t, c.canServePlan(now), "a later order is missing")
	c.applyWithdrawals(now, withdrawn(t, 2, "b"))
	require.True(t, c.canServePlan(now))
	require.Equal(t, []string{"b"}, c.Snapshot(now).Withdrawals.Names())
}

// Guards against a host that has just started and sends handed-over requests, which don't
// wait until it is ready, to a failure domain that was withdrawn meanwhile; against one that
// never sends anything without a leader; and against one that stops sending because of a
// later confirmation that arrives before its set.
func TestSnapshotTellsWhetherTheWithdrawalsAreKnown(t *testing.T) {
	c, now := benchCore(0)
	c.startedAt = now
	require.False(t, c.Snapshot(now).WithdrawalsKnown)
	c.confirm(now, follow.Confirmed{Term: 1, Withdrawals: 1, At: now})
	require.False(t, c.Snapshot(now).WithdrawalsKnown)
	c.applyWithdrawals(now, withdrawn(t, 1, "a"))
	require.True(t, c.Snapshot(now).WithdrawalsKnown)
	c.confirm(now, follow.Confirmed{Term: 1, Withdrawals: 2, At: now})
	c.dirty.snapshot = true
	require.True(t, c.Snapshot(now).WithdrawalsKnown)

	alone, now := benchCore(0)
	alone.startedAt = now
	require.False(t, alone.Snapshot(now.Add(planConfirmWait-1)).WithdrawalsKnown)
	require.True(t, alone.Snapshot(now.Add(planConfirmWait)).WithdrawalsKnown)

	without, now := benchCore(0)
	without.startedAt = now
	without.confirm(now, follow.Confirmed{Term: 1, At: now})
	require.True(t, without.Snapshot(now).WithdrawalsKnown, "no order was ever given")
}

// Guards against an older set that replaces a newer one, and against a host that decides an
// order by a set that its log has not reached, so that its result differs from the others'.
func TestFollowedWithdrawalsDoNotDecideOrders(t *testing.T) {
	c, now := benchCore(0)
	c.applyWithdrawals(now.Add(time.Second), withdrawn(t, 5, "a"))
	result, effects := c.applyWithdrawalOrder(now, withdrawal.Order{FailureDomain: "a", Withdraw: true})
	require.Equal(t, withdrawal.Result{Revision: 1, Outcome: withdrawal.Applied}, result)
	require.Empty(t, effects, "the set in force is newer")
	require.Equal(t, uint64(5), c.withdrawals.inForce.Revision())
}
