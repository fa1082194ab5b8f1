package faultmatrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// balancerLag is the setting of the hosts: the time for which the load
// balancer may send work to a host that is no longer ready.
const balancerLag = time.Second

// checkInterval is the time between two checks of the invariants.
const checkInterval = 25 * time.Millisecond

// world holds the hosts, the targets, the operators and all that happened.
type world struct {
	t     testing.TB
	now   time.Time
	rng   *rand.Rand
	tasks taskQueue
	seq   uint64
	token uint64
	net   network

	hosts     []*host
	byName    map[string]*host
	byAddress map[string]*host
	targets   []*target
	balancer  balancer

	leaders map[uint64]string // by term
	pushes  []*push
	orders  map[string]*order
	fences  uint64        // of the claims made so far
	busy    time.Duration // for which requests keep a connection open
	limit   int           // connections that each target allows
	find    bool          // hosts with a disk find each other, and serve the route plan
	history []string
}

// newWorld makes hosts that have not started. The first three hold the log.
func newWorld(t testing.TB, name string, size int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(xxhash.Sum64String(name), 1)),
		net:    network{delay: time.Millisecond, jitter: 2 * time.Millisecond, cut: map[[2]string]bool{}},
		byName: map[string]*host{}, byAddress: map[string]*host{}, leaders: map[uint64]string{}, orders: map[string]*order{}, busy: busyTime, limit: connectionLimit,
	}
	for i := range size {
		h := &host{
			w: w, name: fmt.Sprintf("h%d", i), domain: fmt.Sprintf("d%d", i%4), voter: i < 3,
			address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
		}
		h.disk = newDisk(h.name)
		w.hosts = append(w.hosts, h)
		w.byName[h.name] = h
		w.byAddress[h.address.String()] = h
	}
	w.balancer = balancer{lag: balancerLag - 100*time.Millisecond, ready: map[string]bool{}}
	return w
}

// startedWorld returns a world whose hosts serve one group of two targets.
func startedWorld(t testing.TB, name string, size int) *world {
	w := newWorld(t, name, size)
	w.serve()
	return w
}

// serve starts the hosts and waits until they serve a group of two targets.
func (w *world) serve() {
	for _, h := range w.hosts {
		h.start()
	}
	w.watch()
	w.balance()
	w.work()
	w.addTarget("t0")
	w.addTarget("t1")
	w.run(3 * time.Second)
	p := w.push(w.hosts[0], group("names", "an", 0))
	w.until(20*time.Second, "all hosts serve", func() bool {
		for _, h := range w.hosts {
			if !h.serving() || len(h.snapshot.AgreedMembers.Hosts) != len(w.hosts) || h.snapshot.Catalogs["names"] == nil || len(h.snapshot.GroupMembers["names"]) != 2 {
				return false
			}
		}
		return p.accepted()
	})
	w.run(2 * time.Second)
}

func (w *world) voters() []*host {
	if w.find {
		return w.hosts[:foundDisks]
	}
	return w.hosts[:3]
}

func (w *world) feeds() []follow.FeedHost {
	var out []follow.FeedHost
	for _, v := range w.voters() {
		out = append(out, follow.FeedHost{Host: v.name})
	}
	return out
}

func (w *world) seeds(self *host) []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range w.voters() {
		if v != self {
			out = append(out, v.address)
		}
	}
	return out
}

// run lets time pass and checks the invariants.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.tasks) > 0 && !w.tasks[0].at.After(end) {
		next := heap.Pop(&w.tasks).(task)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// until lets time pass until a condition holds.
func (w *world) until(limit time.Duration, what string, done func() bool) {
	for end := w.now.Add(limit); !done(); {
		if !w.now.Before(end) {
			w.fail("%s: not within %v", what, limit)
		}
		w.run(checkInterval)
	}
}

func (w *world) watch() {
	w.after(checkInterval, func() {
		w.check()
		w.watch()
	})
}

func (w *world) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(1_700_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	for _, line := range w.history {
		w.t.Log(line)
	}
	for _, h := range w.hosts {
		if h.core != nil {
			w.t.Logf("%s up %t paused %t rev %d serving %t fresh %v agreed %v phase %v shares %v", h.name, h.up, h.paused, h.snapshot.Revision,
				h.serving(), h.snapshot.Gate.Evidence.Freshness(w.now), h.snapshot.AgreedMembers, h.snapshot.Phase, h.snapshot.Shares.Phase())
		}
	}
	require.Fail(w.t, fmt.Sprintf(format, args...))
}

// leader returns the host that leads the log in the highest term, or nil.
func (w *world) leader() *host {
	var found *host
	term := uint64(0)
	for _, h := range w.voters() {
		if h.running() && h.leads() && h.node.Status().Term >= term {
			found, term = h, h.node.Status().Term
		}
	}
	return found
}

func putGroup(name string) config.Op {
	return config.PutGroup{Group: routing.Group{Name: name, Team: "names", Match: routing.Labels{"app": name}}}
}
