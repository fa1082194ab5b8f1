package gathering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func fleet(strong, weak int) []Host {
	var out []Host
	for i := range strong + weak {
		h := Host{Name: fmt.Sprintf("h%03d", i), FailureDomain: fmt.Sprintf("fd%d", i%4), Capacity: 3}
		if i < strong {
			h.Capacity = 36
		}
		out = append(out, h)
	}
	return out
}

// all returns a fleet in which every host is known.
func all(hosts []Host) Fleet { return Fleet{Hosts: hosts, Size: len(hosts)} }

// Guards against gatherers whose links are too small, and against more
// connections than a searcher grants, with 84 hosts and searchers with 64
// connections, of which half are used.
func TestLargeFleetGathersOnStrongHosts(t *testing.T) {
	hosts := fleet(8, 76)
	chosen := all(hosts).Choose(32)
	require.Len(t, chosen, 8)
	for _, h := range chosen {
		require.EqualValues(t, 36, h.Capacity)
	}
	require.Equal(t, 4, Connections(chosen, 32))
	require.Len(t, all(hosts[8:]).Choose(32), 16, "without the strong hosts, weak ones gather")
	require.Nil(t, all(fleet(4, 7)).Choose(14), "a small fleet has connections for every host")
}

// Guards against more connections than granted, and against hosts that choose
// different gatherers, for any fleet.
func TestChoiceKeepsWithinConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(0, 20).Draw(t, "strong"), rapid.IntRange(1, 300).Draw(t, "weak"))
		connections := rapid.IntRange(1, 64).Draw(t, "connections")
		chosen := all(hosts).Choose(connections)
		if chosen == nil {
			require.LessOrEqual(t, len(hosts), max(connections, 1))
			return
		}
		require.LessOrEqual(t, len(chosen)*Connections(chosen, connections), connections)
		shuffled := append([]Host{}, hosts...)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		require.Equal(t, chosen, all(shuffled).Choose(connections))
	})
}

// Guards against requests that keep going to a gatherer that does not answer,
// and against traffic between failure domains while a near gatherer works.
func TestOrderPrefersNearAndWorkingGatherers(t *testing.T) {
	gatherers := all(fleet(8, 76)).Choose(32)
	c := NewChooser()
	now := time.Unix(1000, 0)
	used := map[string]bool{}
	for range 8 {
		first := c.Order(now, gatherers, "fd1")[0]
		require.Equal(t, "fd1", first.FailureDomain)
		used[first.Name] = true
	}
	require.Len(t, used, 2, "both gatherers of the failure domain take turns")
	c.Failed(now, "h001")
	c.Failed(now, "h005")
	require.NotEqual(t, "fd1", c.Order(now, gatherers, "fd1")[0].FailureDomain)
	require.Equal(t, "fd1", c.Order(now.Add(avoidFor), gatherers, "fd1")[0].FailureDomain)
	c.Answered("h001")
	require.Equal(t, "h001", c.Order(now, gatherers, "fd1")[0].Name)
}

// Guards against gathers that move every shard's reply between failure domains,
// and against the choice of a single gatherer, with searchers in three of four
// failure domains.
func TestGatherersAreInFailureDomainsOfSearchers(t *testing.T) {
	near := map[string]bool{"fd0": true, "fd1": true, "fd2": true}
	f := Fleet{Hosts: fleet(8, 76), Size: 84, Near: near}
	chosen := f.Choose(32)
	require.Len(t, chosen, 6)
	for _, h := range chosen {
		require.True(t, near[h.FailureDomain])
	}
	f.Near = map[string]bool{"fd3": true}
	f.Hosts = f.Hosts[4:]
	require.Len(t, f.Choose(32), 4, "with one near strong host left, all strong hosts gather")
}

// Guards against hosts with a single connection to a searcher, on which requests
// wait for each other's replies, and against a choice of too few gatherers.
// Six of the 12 hosts are near the searchers, which grant 14 connections each.
func TestSmallFleetPoolsConnectionsNearTheSearchers(t *testing.T) {
	f := Fleet{Hosts: fleet(4, 8), Size: 12, Near: map[string]bool{"fd0": true, "fd1": true}}
	chosen := f.Choose(14)
	require.Len(t, chosen, 6)
	require.Equal(t, 2, Connections(chosen, 14))
	f.Near = map[string]bool{"fd0": true}
	require.Nil(t, f.Choose(14), "three hosts are too few")
	f.Near = map[string]bool{"fd0": true, "fd1": true, "fd2": true, "fd3": true}
	require.Nil(t, f.Choose(14), "no host would have more connections")
	f.Near = map[string]bool{"fd0": true, "fd1": true}
	require.Len(t, f.Choose(60), 6, "replies stay within a failure domain")
}

// Guards against a host that knows only a few others, as after a restart of
// all hosts, and opens connections to all searchers as if there were no more.
// Also guards against strong hosts that don't gather until the whole fleet is
// known.
func TestChoiceWithFewKnownHosts(t *testing.T) {
	hosts := fleet(8, 76)
	strongOnly := Fleet{Hosts: hosts[:5], Size: 84}
	require.False(t, strongOnly.Decided(32), "weak hosts alone would look the same")
	mixed := Fleet{Hosts: append(fleet(3, 0), hosts[80]), Size: 84}
	require.True(t, mixed.Decided(32))
	require.Len(t, mixed.Choose(32), 3)
	require.NotNil(t, Fleet{Hosts: hosts[:1], Size: 84}.Choose(32), "a lone host knows that there are other hosts")
	require.True(t, Fleet{Hosts: hosts[:1], Size: 30}.Decided(32), "a small fleet has connections for every host")
	require.True(t, Fleet{Hosts: hosts[:42], Size: 84}.Decided(32))
}
