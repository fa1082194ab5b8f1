package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/follow"
)

// Guards against a host that takes a confirmation of an earlier configuration for one of the
// member list that came later, and acts by that list beside the hosts of the one before.
func TestConfirmationCountsOnlyForTheListThatItCovers(t *testing.T) {
	c, now := benchCore(0)
	setMembers := func(epoch uint64, hosts ...string) {
		r := c.store.Apply(c.store.Index()+1, now, config.Change{
			ID: "m" + string(rune('0'+epoch)), Author: config.SystemTeam, Team: config.SystemTeam, Base: c.store.Revision(),
			Ops: []config.Op{config.SetMembers{Epoch: epoch, Members: hosts, Base: len(hosts)}},
		})
		require.Equal(t, config.Accepted, r.Outcome, r.Message)
		c.configChanged(now)
	}
	confirm := func(revision uint64, at time.Time) {
		c.confirm(now, follow.Confirmed{Term: 1, Revision: revision, At: at})
	}
	first := now.Add(time.Second)
	setMembers(1, "a", "b")
	require.True(t, c.Snapshot(now).MembersConfirmedAt.IsZero(), "nothing has confirmed it")
	confirm(c.store.Revision(), first)
	c.dirty.snapshot = true
	require.Equal(t, first, c.Snapshot(now).MembersConfirmedAt)

	covered := c.store.Revision()
	setMembers(2, "a", "b", "c")
	require.EqualValues(t, 2, c.Snapshot(now).AgreedMembers.Epoch)
	require.True(t, c.Snapshot(now).MembersConfirmedAt.IsZero(), "the confirmation was of the list before")
	confirm(covered, first.Add(time.Second))
	c.dirty.snapshot = true
	require.True(t, c.Snapshot(now).MembersConfirmedAt.IsZero(), "a later confirmation of the earlier revision")
	confirm(c.store.Revision(), first.Add(2*time.Second))
	c.dirty.snapshot = true
	require.Equal(t, first.Add(2*time.Second), c.Snapshot(now).MembersConfirmedAt)
}
