package daemon

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

// node is a host of a test cluster that can be killed and started again.
type node struct {
	*Daemon
	t        testing.TB
	settings settings.Settings
	kill     context.CancelCauseFunc
	ended    chan error
}

// startCluster runs hosts in one process over loopback. The first ones, as many
// as voters, hold the log.
func startCluster(t testing.TB, hosts, voters int) []*node {
	t.Helper()
	var nodes []*node
	var listeners []Listeners
	var named []settings.VoterAddress
	for i := range hosts {
		s, err := settings.Parse([]string{
			"-host", fmt.Sprintf("h%d", i), "-failure-domain", fmt.Sprintf("fd%d", i%4), "-voters", "unset=127.0.0.1:1",
			"-balancer-lag", "0s", "-seed", fmt.Sprint(i + 1),
		}, io.Discard)
		require.NoError(t, err)
		free := netip.MustParseAddrPort("127.0.0.1:0")
		s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen = free, free, free, free
		l, err := Listen(s)
		require.NoError(t, err)
		s.CallerListen, s.TargetListen = l.Address("caller"), l.Address("target")
		s.AdminListen, s.PeerListen = l.Address("admin"), l.Address("peer")
		if i < voters {
			s.Roles = append(s.Roles, settings.Voter)
			s.DataDir = t.TempDir()
			named = append(named, settings.VoterAddress{Host: s.Host, Peer: s.PeerListen})
		}
		nodes = append(nodes, &node{t: t, settings: *s})
		listeners = append(listeners, l)
	}
	for i, n := range nodes {
		n.settings.Voters = named
		for _, v := range named {
			n.settings.Peers = append(n.settings.Peers, v.Peer)
		}
		n.run(listeners[i])
		t.Cleanup(n.stop)
	}
	return nodes
}

func startHost(t *testing.T) *Daemon {
	t.Helper()
	return startCluster(t, 1, 1)[0].Daemon
}

func (n *node) run(l Listeners) {
	n.t.Helper()
	s := n.settings
	d, err := New(&s, l, eventlog.New(testWriter{n.t}, zerolog.ErrorLevel, s.Host))
	require.NoError(n.t, err)
	n.Daemon = d
	n.kill = d.cancel
	n.ended = make(chan error, 1)
	go func() { n.ended <- d.Run(context.Background()) }()
}

// stop stops the host gracefully.
func (n *node) stop() {
	if n.ended == nil {
		return
	}
	n.Stop()
	require.NoError(n.t, <-n.ended)
	n.ended = nil
}

// crash ends the host without any of the steps of a graceful stop.
func (n *node) crash() {
	n.kill(errors.New("crashed by the test"))
	<-n.ended
	n.ended = nil
}

// restart starts the host again on its old addresses.
func (n *node) restart() {
	n.t.Helper()
	l, err := Listen(&n.settings)
	require.NoError(n.t, err)
	n.run(l)
}

// leader waits for a host that leads the log.
func leader(t testing.TB, nodes []*node) *node {
	t.Helper()
	var found *node
	require.Eventually(t, func() bool {
		i := slices.IndexFunc(nodes, func(n *node) bool {
			return n.ended != nil && n.loop.Snapshot().Leader.Name == n.settings.Host
		})
		if i >= 0 {
			found = nodes[i]
		}
		return i >= 0
	}, waitTimeout, 20*time.Millisecond)
	return found
}

func groupChange(id string, base uint64) config.Change {
	return config.Change{ID: id, Author: "an", Team: "names", Base: base, Ops: []config.Op{
		config.PutGroup{Group: routing.Group{Name: id, Team: "names", Match: routing.Labels{"app": id}}},
	}}
}

// Guards against accepted changes that are lost, repeated or reverted when the
// leader is killed in the middle of 300 changes and restarts from its disk.
func TestChangesSurviveTheLeadersDeath(t *testing.T) {
	const changes, killAt = 300, 150
	nodes := startCluster(t, 3, 3)
	first := leader(t, nodes)
	sender := nodes[(slices.Index(nodes, first)+1)%3]
	var results []config.Result
	for i := range changes {
		if i == killAt {
			first.crash()
		}
		results = append(results, push(t, sender, groupChange(fmt.Sprintf("g%d", i), uint64(i))))
	}
	first.restart()
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.loop.Snapshot().Table.GroupNames()) == changes }, waitTimeout, 20*time.Millisecond)
	}
	// A resend of an old change gets its first result and changes nothing.
	result := push(t, sender, groupChange("g7", 7))
	require.Equal(t, results[7].Revision, result.Revision)
	require.True(t, result.Resend)
	// Every change was accepted once, in the order in which it was sent.
	entries, err := sender.history(t.Context(), 1, 2*changes)
	require.NoError(t, err)
	require.Len(t, entries, changes)
	for i, e := range entries {
		require.Equal(t, fmt.Sprintf("g%d", i), e.Change.ID)
		require.Equal(t, results[i].Revision, e.Revision)
	}
}

// push submits a change and, like an operator, submits it again while the outcome
// is unknown.
func push(t *testing.T, n *node, c config.Change) config.Result {
	t.Helper()
	var result config.Result
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var err error
		result, err = n.Propose(ctx, c)
		return err == nil
	}, waitTimeout, time.Millisecond)
	require.NoError(t, result.Err())
	return result
}

// Guards against an accepted change that does not come into force on hosts that
// hold no log.
func TestChangeReachesHostsWithoutALog(t *testing.T) {
	nodes := startCluster(t, 5, 3)
	push(t, nodes[4], groupChange("a", 0))
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			s := n.loop.Snapshot()
			_, ok := s.Table.Group("a")
			return ok && s.Ready && s.Gate.Check(time.Now()) == nil
		}, waitTimeout, 20*time.Millisecond, n.settings.Host)
	}
}

// Guards against a graceful stop of the leader that leaves the log without a
// leader or loses a change.
func TestLeaderHandsOverBeforeItStops(t *testing.T) {
	nodes := startCluster(t, 3, 3)
	first := leader(t, nodes)
	push(t, first, groupChange("a", 0))
	first.stop()
	rest := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == first })
	second := leader(t, rest)
	require.NotEqual(t, first, second)
	push(t, second, groupChange("b", 1))
}
