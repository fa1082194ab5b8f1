package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Guards against a gate that looks at all targets with each changed view although no service
// states a bound, and that overlooks a bound that a later plan states, or a restore before it.
func TestGateSkipsTargetsWithoutABound(t *testing.T) {
	s := fleetSnapshot(t, 300)
	g := newSearcherGate(&Daemon{settings: &settings.Settings{Host: "h000"}})
	now := time.Unix(1000, 0)
	g.update(now, s)
	require.Nil(t, g.targets, "it did not look at the targets")

	store := withdrawal.NewStore(nil)
	store.Apply(withdrawal.Order{FailureDomain: "fd1", Withdraw: true})
	store.Apply(withdrawal.Order{FailureDomain: "fd1", Base: 1})
	restored := *s
	restored.Withdrawals = store.Set()
	g.update(now, &restored)
	require.False(t, g.bounded.Load())
	bounded := restored
	bounded.Plan = routeplan.NewTable(&routeplan.Plan{Version: 10, Services: []routeplan.Service{{Name: "desk", WarmupRate: 5, Warmup: time.Minute}}})
	now = now.Add(time.Second)
	g.update(now, &bounded)
	require.True(t, g.bounded.Load())
	require.True(t, g.table.Cold(now, "desk-1"))
	require.False(t, g.table.Cold(now, "desk-2"))
	require.False(t, g.table.Cold(now.Add(time.Minute-time.Second), "desk-1"), "the time counts from the restore")
	g.update(now, &restored)
	require.False(t, g.bounded.Load(), "the bound is gone")
}
