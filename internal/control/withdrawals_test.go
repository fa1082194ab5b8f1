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

// Guards against an older set that replaces a newer one, and against a host that decides an
// order by a set that its log has not reached, so that its result differs from the others'.
func TestFollowedWithdrawalsDoNotDecideOrders(t *testing.T) {
	c, now := benchCore(0)
	c.applyWithdrawals(now.Add(time.Second), withdrawn(t, 5, "a"))
	result, effects := c.applyOrder(now, withdrawal.Order{FailureDomain: "a", Withdraw: true})
	require.Equal(t, withdrawal.Result{Revision: 1, Outcome: withdrawal.Applied}, result)
	require.Empty(t, effects, "the set in force is newer")
	require.Equal(t, uint64(5), c.withdrawals.inForce.Revision())
}
