package connections

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testTarget = "target-1"

var (
	epoch0     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testConfig = Config{
		ReservePercent: 20, FenceAfter: 3 * time.Second, DrainTimeout: 2 * time.Second,
		IdleTimeout: 4 * time.Second, LeftoverTimeout: 2 * time.Second,
	}
	allHosts = []string{"h0", "h1", "h2", "h3"}
)

// leftover holds the connections of an ended process that a target still
// counts.
type leftover struct {
	n     int
	until time.Time
}

// host is a process that opens as many connections as its share allows.
type host struct {
	name     string
	shares   *Shares // nil while the process is down
	view     View
	ack      Acknowledge
	held     int
	drainBy  time.Time // when connections above the share are closed at the latest
	leftover []leftover
}

// cluster simulates hosts, agreed lists and delayed heartbeats for one target.
type cluster struct {
	now   time.Time
	limit int
	hosts []*host
	lists []Members // agreed lists, the newest last
	acked map[string]uint64
	sent  []message // heartbeats in transit
}

type message struct {
	to int
	ev Heartbeat
}

func newCluster(limit int, first []string) *cluster {
	c := &cluster{now: epoch0, limit: limit, acked: map[string]uint64{}}
	c.lists = []Members{{Epoch: 1, Hosts: first}}
	for _, name := range allHosts {
		c.hosts = append(c.hosts, &host{name: name})
	}
	return c
}

func (c *cluster) newest() Members { return c.lists[len(c.lists)-1] }

func (c *cluster) start(h *host) {
	h.shares = NewShares(testConfig, h.name, c.now)
	h.view = View{}
	h.ack = Acknowledge{}
	c.step(h, c.newest()) // a host starts with a quorum-confirmed read
}

func (c *cluster) crash(h *host) {
	h.shares = nil
	h.leftover = append(h.leftover, leftover{n: h.held, until: c.now.Add(testConfig.LeftoverTimeout)})
	h.held = 0
}

func (c *cluster) step(h *host, ev Event) {
	if h.shares == nil {
		return
	}
	for _, e := range h.shares.Step(c.now, ev) {
		switch e := e.(type) {
		case ApplyShares:
			h.view = e.View
			share := h.view.Share(testTarget, c.limit).Connections
			if share < h.held {
				h.drainBy = c.now.Add(testConfig.DrainTimeout)
			}
			h.held = max(h.held, share)
		case Acknowledge:
			h.ack = e
			c.acked[fmt.Sprint(h.name, e.Acknowledged)] = 1
		}
	}
}

// drain closes connections above the share and reports WithinShares.
func (c *cluster) drain(h *host) {
	if h.shares == nil {
		return
	}
	h.held = min(h.held, h.view.Share(testTarget, c.limit).Connections)
	c.step(h, WithinShares{Epoch: h.view.Epoch()})
}

// confirm sends Confirmed for the host's list if no newer list has been
// acknowledged by all of its members.
func (c *cluster) confirm(h *host) {
	epoch := h.view.Epoch()
	for _, l := range c.lists {
		if l.Epoch > epoch && c.allAcked(l) {
			return
		}
	}
	c.step(h, Confirmed{Epoch: epoch, At: c.now})
}

func (c *cluster) allAcked(l Members) bool {
	for _, h := range l.Hosts {
		if c.acked[fmt.Sprint(h, l.Epoch)] == 0 {
			return false
		}
	}
	return true
}

// advance moves the clock. Hosts tick at least every 100 ms.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(min(100*time.Millisecond, end.Sub(c.now)))
		for _, h := range c.hosts {
			c.step(h, Tick{})
			if !c.now.Before(h.drainBy) {
				c.drain(h)
			}
		}
	}
}

// counted returns how many connections the target may count.
func (c *cluster) counted() int {
	n := 0
	for _, h := range c.hosts {
		n += h.held
		for _, l := range h.leftover {
			if c.now.Before(l.until) {
				n += l.n
			}
		}
	}
	return n
}

func (c *cluster) broadcast(from *host) {
	if from.shares == nil {
		return
	}
	for i, to := range c.hosts {
		if to != from {
			c.sent = append(c.sent, message{to: i, ev: Heartbeat{Host: from.name, Acknowledged: from.ack.Acknowledged, Completed: from.ack.Completed}})
		}
	}
}

func (c *cluster) deliver(i int) {
	m := c.sent[i]
	c.sent = append(c.sent[:i], c.sent[i+1:]...)
	c.step(c.hosts[m.to], m.ev)
}

// settle runs a partition: the hosts of one side learn the list and exchange
// heartbeats. All hosts get their lists confirmed while that is possible.
func (c *cluster) settle(d time.Duration, list Members, side []string) {
	for end := c.now.Add(d); c.now.Before(end); c.advance(200 * time.Millisecond) {
		c.sent = nil
		for _, h := range c.hosts {
			if slices.Contains(side, h.name) {
				c.step(h, list)
				c.drain(h)
				c.broadcast(h)
			}
			c.confirm(h)
		}
		for _, m := range c.sent {
			if slices.Contains(side, c.hosts[m.to].name) {
				c.step(c.hosts[m.to], m.ev)
			}
		}
	}
	c.sent = nil
}

// heal runs all hosts with the newest list and without faults.
func (c *cluster) heal(d time.Duration) { c.settle(d, c.newest(), allHosts) }

func drawHosts(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(allHosts), 1, len(allHosts), rapid.ID[string]).Draw(t, "list")
}

// Guards against a target that counts more connections than its limit, for any
// interleaving of list changes, heartbeats, delays, crashes and restarts, and
// against shares that stay small after the faults end.
func TestSumOfSharesNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 40).Draw(t, "limit"), drawHosts(t))
		for _, h := range c.hosts {
			c.start(h)
		}
		if rapid.Bool().Draw(t, "settled") {
			c.heal(time.Minute)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 15).Draw(t, "op") {
			case 0:
				if h.shares != nil {
					c.crash(h)
				} else {
					c.start(h)
				}
			case 1:
				c.lists = append(c.lists, Members{Epoch: c.newest().Epoch + 1, Hosts: drawHosts(t)})
			case 2, 3:
				if h.shares != nil {
					c.crash(h)
					c.start(h)
				}
			case 4:
				c.step(h, rapid.SampledFrom(c.lists).Draw(t, "learned"))
			case 5:
				c.drain(h)
			case 6:
				c.confirm(h)
			case 7:
				c.broadcast(h)
			case 8, 9:
				if len(c.sent) > 0 {
					c.deliver(rapid.IntRange(0, len(c.sent)-1).Draw(t, "message"))
				}
			case 10:
				c.advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			default:
				list := c.lists[max(0, len(c.lists)-rapid.IntRange(1, 2).Draw(t, "list age"))]
				c.settle(time.Duration(rapid.IntRange(0, 5000).Draw(t, "settle ms"))*time.Millisecond, list, drawHosts(t))
			}
			require.LessOrEqual(t, c.counted(), c.limit)
		}
		for _, h := range c.hosts {
			if h.shares == nil {
				c.start(h)
			}
		}
		c.heal(3 * testConfig.SilenceTimeout())
		require.Equal(t, c.limit-c.limit*testConfig.ReservePercent/100, c.counted())
	})
}

// Guards against a host that uses its larger share while a host that left may
// still hold connections, or that keeps connections after its list became
// stale.
func TestTwoPhaseChange(t *testing.T) {
	c := newCluster(10, allHosts)
	for _, h := range c.hosts {
		c.start(h)
	}
	c.heal(5 * time.Second)
	require.Equal(t, 8, c.counted())
	removed := c.hosts[0]
	c.lists = append(c.lists, Members{Epoch: 2, Hosts: allHosts[1:4]})
	before := c.now
	step := func(d time.Duration) { c.settle(d, c.newest(), allHosts[1:]) }
	step(testConfig.FenceAfter)
	require.Equal(t, 2, removed.held)
	require.Equal(t, Transition, c.hosts[1].view.Phase())
	step(testConfig.SilenceTimeout() - testConfig.FenceAfter)
	require.Zero(t, removed.held, "a host without confirmation gives up its connections")
	require.Equal(t, Fenced, removed.view.Phase())
	require.Equal(t, 6, c.counted(), "2 each until SilenceTimeout has passed")
	step(time.Second)
	require.Equal(t, 8, c.counted(), "after %v", c.now.Sub(before))
	require.Equal(t, Complete, c.hosts[1].view.Phase())

	c.crash(c.hosts[2])
	c.start(c.hosts[2])
	step(500 * time.Millisecond)
	require.Equal(t, Share{Phase: Starting}, c.hosts[2].view.Share(testTarget, 10))
	step(testConfig.LeftoverTimeout)
	require.Equal(t, Complete, c.hosts[2].view.Phase(), "a restart needs no further wait for SilenceTimeout")
}

// Guards against a split that leaves connections unused, and against targets
// that all favor the same hosts.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 200).Draw(t, "limit")
		n := rapid.IntRange(1, 30).Draw(t, "hosts")
		target := targetHash(rapid.String().Draw(t, "target"))
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
		}
		sum := 0
		for _, name := range names {
			part := newMemberList(1, names, name).split(target, limit)
			require.Contains(t, []int{limit / n, (limit + n - 1) / n}, part)
			sum += part
		}
		require.Equal(t, limit, sum)
	})
	favored := map[string]int{}
	for i := range 1000 {
		favored[newMemberList(1, allHosts, "").holder(targetHash(fmt.Sprint("t", i)))]++
	}
	for _, h := range allHosts {
		require.InDelta(t, 250, favored[h], 60)
	}
}

// Guards against a host without a connection for which Holder returns no host,
// or one that has no connection either.
func TestShareBelowOneNamesAHolder(t *testing.T) {
	c := newCluster(2, allHosts)
	for _, h := range c.hosts {
		c.start(h)
	}
	c.heal(5 * time.Second)
	byName := map[string]Share{}
	for _, h := range c.hosts {
		byName[h.name] = h.view.Share(testTarget, 2)
	}
	below := 0
	for i, h := range c.hosts {
		if byName[h.name].BelowOne() {
			below++
			require.Equal(t, 1, byName[c.hosts[i].view.Holder(testTarget)].Connections)
		}
	}
	require.Equal(t, 2, below)
	require.Error(t, Config{ReservePercent: 95}.Validate())
}

func BenchmarkShare(b *testing.B) {
	for _, n := range []int{12, 8100} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("host-", i)
			}
			v := View{phase: Complete, list: newMemberList(1, names, "host-3")}
			b.ReportAllocs()
			for b.Loop() {
				v.Share(testTarget, 30)
			}
		})
	}
}
