package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// benchCore returns a core that knows n targets of two searchers each, in
// groups of 50 targets whose searchers hold three replicas of each shard.
func benchCore(n int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	c := NewCore(Options{Self: "h", Member: membership.Member{
		Host: "h", Incarnation: 1, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Region: "r", FailureDomain: "fd", Roles: membership.RoleEntry,
	}}, now)
	for g := range (n + 49) / 50 {
		name := fmt.Sprintf("g%d", g)
		change := config.Change{ID: name, Author: "a", Team: "t", Base: c.store.Revision(), Ops: []config.Op{
			config.PutGroup{Group: routing.Group{Name: name, Team: "t", Match: routing.Labels{"app": name}}},
		}}
		c.store.Apply(c.store.Index()+1, now, change)
	}
	for i := range n {
		c.Step(now, Announced{Announcement: benchAnnouncement(i, 1)})
	}
	c.Snapshot(now)
	return c, now
}

func benchAnnouncement(i int, seq uint64) targets.Announcement {
	const shards = 32
	group, snapshot := fmt.Sprintf("g%d", i/50), fmt.Sprintf("g%d-v1", i/50)
	var layout []string
	for s := range shards {
		layout = append(layout, fmt.Sprintf("s%02d", s))
	}
	a := targets.Announcement{
		Target: fmt.Sprintf("t%d", i), Incarnation: 1, Seq: seq, FailureDomain: fmt.Sprintf("fd%d", i%4),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		Labels:  map[string]string{"app": group}, ConnectionLimit: 30, Phase: targets.Ready,
		IndexSnapshots: []targets.IndexSnapshot{{Name: snapshot, Generation: 1, Layout: layout}},
	}
	for s := range 2 {
		first := (2*i + s) % shards
		a.Searchers = append(a.Searchers, targets.Searcher{Name: fmt.Sprint(s), Slots: 2, Holds: []targets.Holding{
			{IndexSnapshot: snapshot, Shards: []string{layout[first]}},
		}})
	}
	return a
}

// BenchmarkTick measures the CPU time of one idle tick, of which there are 40
// per second, as the number of searchers grows.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("searchers=%d", 2*n), func(b *testing.B) {
			c, now := benchCore(n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(TickInterval)
				c.Step(now, Tick{})
				c.Snapshot(now)
			}
		})
	}
}

// BenchmarkTargetChange measures the CPU time from the change of one target to
// the snapshot that shows it.
func BenchmarkTargetChange(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("searchers=%d", 2*n), func(b *testing.B) {
			c, now := benchCore(n)
			seq := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				a := benchAnnouncement(7, seq)
				a.ConnectionLimit = 30 + int(seq%2)
				c.Step(now, Announced{Announcement: a})
				c.Snapshot(now)
			}
		})
	}
}

// BenchmarkRenewal measures the CPU time of one announcement that changes
// nothing.
func BenchmarkRenewal(b *testing.B) {
	c, now := benchCore(500)
	seq := uint64(1)
	a := benchAnnouncement(7, seq)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		a.Seq = seq
		c.Step(now, Announced{Announcement: a})
	}
}
