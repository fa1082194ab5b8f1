package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
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

// Guards against a layout from another host's log that is taken for an announced
// one: it must win over a layout that this host learned from an announcement.
func TestLayoutFromTheLogOfAnotherHostWins(t *testing.T) {
	c, now := benchCore(0)
	c.Step(now, Announced{Announcement: benchAnnouncement(1, 1)})
	announced, _, ok := c.registry.Layout("g0-v1")
	require.True(t, ok)
	for _, shards := range [][]string{{"x"}, {"y"}} {
		l := targets.NewLayout("g0-v1", 1, shards)
		item := spread.Item{Key: spread.Key{Kind: spread.KindLayout, Name: "g0-v1"}, Version: spread.Version{Rank: 1, Tie: l.Hash}, Layout: l}
		c.Step(now, ExchangeReceived{Token: 1, Request: spread.Request{From: "h2", Session: 1, ID: 1, Items: []spread.Item{item}}})
		got, committed, ok := c.registry.Layout("g0-v1")
		require.True(t, ok)
		require.True(t, committed)
		require.NotEqual(t, announced.Hash, got.Hash)
	}
}
