package daemon

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
)

func votersNamed(n *node, host string, learner bool) []control.Voter {
	return slices.DeleteFunc(slices.Clone(n.loop.Snapshot().Voters), func(v control.Voter) bool {
		return v.Host != host || v.Learner != learner
	})
}

func changeVoters(t *testing.T, n *node, op consensus.VoterOp, id consensus.Identity) {
	t.Helper()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return n.ChangeVoters(ctx, op, id) == nil
	}, waitTimeout, 100*time.Millisecond)
}

// Guards against a host that never gets its vote back after it lost its disk, and
// against changes lost by a second failure right after the repair.
func TestLostDiskIsReplacedByALearner(t *testing.T) {
	nodes := startCluster(t, 3, 3)
	first := leader(t, nodes)
	push(t, first, groupChange("before", 0))
	lost := nodes[(slices.Index(nodes, first)+1)%3]
	other := nodes[(slices.Index(nodes, first)+2)%3]
	host := lost.settings.Host
	old := votersNamed(first, host, false)[0].Identity
	lost.crash()
	lost.settings.DataDir = t.TempDir()
	lost.restart()

	// The leader removes the lost identity and promotes the new one by itself.
	require.Eventually(t, func() bool {
		voters := votersNamed(first, host, false)
		return len(voters) == 1 && voters[0].Identity != old
	}, waitTimeout, 50*time.Millisecond)
	push(t, first, groupChange("after", 1))
	other.crash()
	push(t, first, groupChange("second-failure", 2))
	require.Eventually(t, func() bool { return len(lost.loop.Snapshot().Table.GroupNames()) == 3 }, waitTimeout, 50*time.Millisecond)
}

// Guards against a voter set that an operator can't change from a host that
// does not lead, as when a voter moves to a host of another name.
func TestVoterIsRemovedThroughAnyHost(t *testing.T) {
	nodes := startCluster(t, 3, 3)
	first := leader(t, nodes)
	gone := nodes[(slices.Index(nodes, first)+1)%3]
	other := nodes[(slices.Index(nodes, first)+2)%3]
	identity := votersNamed(first, gone.settings.Host, false)[0].Identity
	gone.crash()
	changeVoters(t, other, consensus.Remove, identity)
	require.Eventually(t, func() bool { return len(first.loop.Snapshot().Voters) == 2 }, waitTimeout, 20*time.Millisecond)
	push(t, other, groupChange("after", 0))
}
