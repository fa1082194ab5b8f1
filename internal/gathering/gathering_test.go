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

// Plays 84 hosts before searchers with 64 connections, of which half are used.
// Guards against gathers on hosts whose links are too small, and against more
// connections than a searcher grants.
func TestGrownFleetGathersOnItsStrongHosts(t *testing.T) {
	hosts := fleet(8, 76)
	chosen := Choose(hosts, 32)
	require.Len(t, chosen, 8)
	for _, h := range chosen {
		require.EqualValues(t, 36, h.Capacity)
	}
	require.Equal(t, 4, Connections(chosen, 32))
	require.Len(t, Choose(hosts[8:], 32), 16, "without the strong hosts others take their place")
	require.Nil(t, Choose(fleet(4, 7), 14), "a small fleet has connections for every host")
}

// Guards against a limit that is exceeded and against hosts that choose
// differently, for any fleet.
func TestChoiceKeepsWithinConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(0, 20).Draw(t, "strong"), rapid.IntRange(1, 300).Draw(t, "weak"))
		connections := rapid.IntRange(1, 64).Draw(t, "connections")
		chosen := Choose(hosts, connections)
		if chosen == nil {
			require.LessOrEqual(t, len(hosts), max(connections, 1))
			return
		}
		require.LessOrEqual(t, len(chosen)*Connections(chosen, connections), connections)
		shuffled := append([]Host{}, hosts...)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		require.Equal(t, chosen, Choose(shuffled, connections))
	})
}

// Guards against requests that go on to a gatherer that does not answer, and
// against bytes between failure domains while a near one works.
func TestOrderPrefersNearAndWorkingGatherers(t *testing.T) {
	gatherers := Choose(fleet(8, 76), 32)
	c := NewChooser()
	now := time.Unix(1000, 0)
	used := map[string]bool{}
	for range 8 {
		first := c.Order(now, gatherers, "fd1")[0]
		require.Equal(t, "fd1", first.FailureDomain)
		used[first.Name] = true
	}
	require.Len(t, used, 2, "both gatherers of the domain take turns")
	c.Failed(now, "h001")
	c.Failed(now, "h005")
	require.NotEqual(t, "fd1", c.Order(now, gatherers, "fd1")[0].FailureDomain)
	require.Equal(t, "fd1", c.Order(now.Add(avoidFor), gatherers, "fd1")[0].FailureDomain)
	c.Answered("h001")
	require.Equal(t, "h001", c.Order(now, gatherers, "fd1")[0].Name)
}
