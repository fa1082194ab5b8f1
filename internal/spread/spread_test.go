package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// summary returns the versions of all items of a host.
func summary(c *cluster, h *host) map[string]string {
	out := map[string]string{}
	for item := range h.records.Items(c.now) {
		out[fmt.Sprint(item.Key)] = fmt.Sprint(item.Version)
	}
	return out
}

func requireConverged(t require.TestingT, c *cluster) {
	want := summary(c, c.hosts[0])
	for _, h := range c.hosts {
		require.Equal(t, want, summary(c, h), "%s differs from %s", h.member.Host, c.hosts[0].member.Host)
		require.Len(t, h.members.Live(), len(c.hosts))
		for _, target := range c.targets {
			rec, _, known := h.registry.Record(c.now, target.Target)
			if !target.running {
				require.True(t, !known || rec.Status == targets.StatusExpired, "%s is gone", target.Target)
				continue
			}
			require.True(t, known, target.Target)
			require.Equal(t, target.Incarnation, rec.Incarnation, "incarnation of %s", target.Target)
			require.Equal(t, target.Phase, rec.Phase)
			require.Equal(t, target.ConnectionLimit, rec.ConnectionLimit)
			require.Equal(t, target.Phase == targets.Draining, rec.Status == targets.StatusDraining)
			require.NotEqual(t, targets.StatusExpired, rec.Status, "%s renews", target.Target)
		}
	}
}

// Guards against hosts that keep different records after faults, against live
// targets that stay expired, and against stale incarnations that win.
func TestHostsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		c.addHosts(rapid.IntRange(2, 6).Draw(t, "hosts"))
		c.agree()
		c.sticky = rapid.Bool().Draw(t, "sticky")
		for range rapid.IntRange(1, 6).Draw(t, "targets") {
			c.addTarget(4)
		}
		anyHost := func(t *rapid.T) *host { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
		anyTarget := func(t *rapid.T) *simTarget { return c.targets[rapid.IntRange(0, len(c.targets)-1).Draw(t, "target")] }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				c.run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"network": func(t *rapid.T) {
				c.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				c.dup = rapid.Float64Range(0, 0.4).Draw(t, "dup")
				c.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
			},
			"partition": func(t *rapid.T) { anyHost(t).side = rapid.IntRange(0, 2).Draw(t, "side") },
			"crash":     func(t *rapid.T) { anyHost(t).crash() },
			"restart": func(t *rapid.T) {
				c.run(time.Millisecond) // incarnations are times
				anyHost(t).start()
			},
			"stop":    func(t *rapid.T) { anyTarget(t).running = false },
			"replace": func(t *rapid.T) { anyTarget(t).start(c) },
			"drain":   func(t *rapid.T) { anyTarget(t).Phase = targets.Draining },
			"limit":   func(t *rapid.T) { anyTarget(t).ConnectionLimit = rapid.IntRange(1, 9).Draw(t, "limit") },
			"observe": func(t *rapid.T) {
				target := anyTarget(t)
				target.Phase = targets.Draining
				h := anyHost(t)
				if h.up {
					h.stepTargets(targets.DrainObserved{Target: target.Target, Incarnation: target.Incarnation})
				}
			},
		})
		c.loss, c.dup, c.delay = 0, 0, 5*time.Millisecond
		for _, h := range c.hosts {
			h.side = 0
			if !h.up {
				h.start()
			}
		}
		c.run(30 * time.Second)
		requireConverged(t, c)
	})
}

// Guards against a draining target that still gets requests after 2 s, also with
// relays between the hosts and with message loss.
func TestDrainingTargetLeavesAllViewsWithin2s(t *testing.T) {
	for _, size := range []int{3, 12, 32, 60} {
		for _, loss := range []float64{0, 0.05} {
			for _, observed := range []bool{false, true} {
				t.Run(fmt.Sprint(size, loss, observed), func(t *testing.T) {
					c := newCluster(uint64(size))
					for i := range size {
						c.addHost(fmt.Sprintf("host-%03d", i), fmt.Sprint("region-", i%3), fmt.Sprint("domain-", i%6), membership.RoleEntry)
					}
					c.agree()
					for range 10 {
						c.addTarget(4)
					}
					c.run(20 * time.Second)
					requireConverged(t, c)
					c.loss = loss
					leaving := c.targets[3]
					leaving.Phase = targets.Draining
					if observed {
						h := c.hosts[len(c.hosts)-1]
						h.stepTargets(targets.DrainObserved{Target: leaving.Target, Incarnation: leaving.Incarnation})
					} else {
						leaving.announceNow(c)
					}
					c.run(2 * time.Second)
					for _, h := range c.hosts {
						requireNoReplica(t, h.registry.View(), leaving.Target)
					}
				})
			}
		}
	}
}

// Guards against an update that does not reach a neighbour because a single
// message was lost, or because a link is cut although another path exists.
func TestUpdatesPropagateDespiteLossAndCutLinks(t *testing.T) {
	for _, cutLink := range []bool{false, true} {
		c := newCluster(3)
		c.addHosts(3)
		c.agree()
		c.sticky = true
		target := c.addTarget(4)
		c.run(20 * time.Second)
		requireConverged(t, c)
		if cutLink {
			c.cut = func(a, b *host) bool { return a.member.Host != "host-002" && b.member.Host != "host-002" }
		} else {
			c.loss = 1
		}
		target.ConnectionLimit = 7
		target.announceNow(c)
		c.run(150 * time.Millisecond)
		c.loss = 0
		c.run(1850 * time.Millisecond)
		rec, _, _ := c.hosts[1].registry.Record(c.now, target.Target)
		require.Equal(t, 7, rec.ConnectionLimit, "link cut: %v", cutLink)
	}
}

func requireNoReplica(t *testing.T, v *targets.View, target string) {
	t.Helper()
	for _, snap := range v.Snapshots() {
		for i := range snap.Shards {
			for _, r := range snap.ReplicasAt(i) {
				require.NotEqual(t, target, r.Target.Target)
			}
		}
	}
}

// Guards against live targets that expire, and leases that never expire, when a
// host that owns leases crashes.
func TestLeasesSurviveOwnerCrash(t *testing.T) {
	c := newCluster(7)
	c.addHosts(6)
	c.agree()
	for range 40 {
		c.addTarget(4)
	}
	c.run(20 * time.Second)
	requireConverged(t, c)
	expired := 0
	c.hosts[1].crash()
	c.hosts[4].crash()
	c.targets[0].running = false
	for range 100 {
		c.run(100 * time.Millisecond)
		for _, target := range c.targets[1:] {
			if rec, _, _ := c.hosts[0].registry.Record(c.now, target.Target); rec.Status == targets.StatusExpired {
				expired++
			}
		}
	}
	require.Zero(t, expired, "live targets expired")
	rec, _, _ := c.hosts[0].registry.Record(c.now, c.targets[0].Target)
	require.Equal(t, targets.StatusExpired, rec.Status)
}
