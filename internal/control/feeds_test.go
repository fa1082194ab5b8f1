package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/follow"
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
