package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Guards against computing coverage from an announced layout instead of the one
// in the log, when a target announces an index snapshot that the registry has
// forgotten.
func TestLayoutInTheLogWinsOverAnAnnouncement(t *testing.T) {
	c, now := benchCore(0)
	for i, op := range []config.Op{
		config.PutGroup{Group: routing.Group{Name: "g0", Team: "t", Match: routing.Labels{"app": "g0"}}},
		config.AddLayout{Group: "g0", IndexSnapshot: "g0-v1", Generation: 1, Layout: []string{"x", "y"}},
	} {
		team := []string{"t", config.SystemTeam}[i]
		r := c.store.Apply(c.store.Index()+1, now, config.Change{ID: team, Author: "a", Team: team, Base: c.store.Revision(), Ops: []config.Op{op}})
		require.NoError(t, r.Err())
	}
	for seq := uint64(1); seq < 20; seq++ {
		now = now.Add(time.Second)
		c.Step(now, Announced{Announcement: benchAnnouncement(1, seq)})
	}
	s, ok := c.Snapshot(now).Targets.Snapshot("g0-v1")
	require.True(t, ok)
	require.Equal(t, []string{"x", "y"}, s.Shards)
}
