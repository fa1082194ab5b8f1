package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// Guards against voters that follow each other after a start of all hosts. None
// of them would learn of the leader's confirmation, and each would wait for
// planConfirmWait before it serves.
func TestVoterThatServesRoutesFollowsTheLeader(t *testing.T) {
	c, _ := benchCore(0)
	c.node, c.opts.ServePlan = &consensus.Node{}, true
	c.opts.Voters = []follow.FeedHost{{Host: "v1"}, {Host: "v2"}, {Host: "v3"}}
	require.Equal(t, c.opts.Voters, c.feeds(), "without a leader it follows like other hosts")
	c.leader = consensus.Member{Name: "v3"}
	require.Equal(t, []follow.FeedHost{{Host: "v3"}}, c.feeds())
	c.leader = consensus.Member{Name: c.opts.Self}
	require.Equal(t, c.opts.Voters, c.feeds(), "a leader follows like other hosts")
}

// Guards against a configuration that all hosts fetch from the same two voters, and
// over links between failure domains although a voter is near.
func TestHostsFollowNearVotersAndShareTheOthers(t *testing.T) {
	var voters []follow.FeedHost
	for i := range 6 {
		voters = append(voters, follow.FeedHost{Host: fmt.Sprint("v", i), FailureDomain: fmt.Sprint("fd", i)})
	}
	second := map[string]int{}
	for i := range 300 {
		c := &Core{opts: Options{Self: fmt.Sprint("h", i), Member: membership.Member{FailureDomain: "fd3"}}}
		order := c.nearestFirst(slices.Clone(voters))
		require.Equal(t, "v3", order[0].Host)
		require.ElementsMatch(t, voters, order)
		require.Equal(t, order, c.nearestFirst(slices.Clone(order)), "the order must not change while the hosts stay")
		second[order[1].Host]++
	}
	require.Len(t, second, 5)
	for host, n := range second {
		require.Greater(t, n, 30, host)
	}
}
