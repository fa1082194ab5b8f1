package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Guards against hosts of a large fleet that update the state of their traffic with each
// change of a target, for which they look at all targets and hosts.
func TestManyChangesAreAppliedTogether(t *testing.T) {
	updates := func(s *control.Snapshot) (n int) {
		a := &applied{plan: s.Plan, withdrawalsKnown: s.WithdrawalsKnown}
		start := time.Unix(1000, 0)
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
			if a.wait(now, s) <= 0 { // a change every millisecond
				a.at = now
				n++
			}
		}
		return n
	}
	large := fleetSnapshot(t, 300)
	require.LessOrEqual(t, updates(large), 20)
	require.GreaterOrEqual(t, updates(large), 5)
	small := *large
	small.Hosts, small.Targets = large.Hosts[:11], fleetSnapshot(t, 1, "fd0", "fd1", "fd2").Targets
	require.Greater(t, updates(&small), 100)
	huge := *large
	huge.Hosts = make([]control.Host, 100_000)
	require.GreaterOrEqual(t, updates(&huge), 2, "searchers that leave are known in time")
	newer := *large
	newer.Plan = routeplan.NewTable(&routeplan.Plan{Version: 10})
	a := &applied{plan: large.Plan, withdrawalsKnown: true, at: time.Unix(1000, 0)}
	require.Positive(t, a.wait(a.at, large))
	require.Zero(t, a.wait(a.at, &newer), "a new plan is applied at once")
	a.withdrawalsKnown = false
	require.Zero(t, a.wait(a.at, large), "the first withdrawals that are known are applied at once")
}
