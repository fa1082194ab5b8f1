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

// balancerLag is the setting -balancer-lag of the hosts: how long the load
// balancer may still send work to a host that is no longer ready.
const balancerLag = time.Second

// checkInterval is the time between two checks of the invariants.
const checkInterval = 25 * time.Millisecond

// simulation holds the simulated hosts, network, targets and operators, and a
// history of events.
type simulation struct {
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

	leaders    map[uint64]string // disk identity of the leader by term
	pushes     []*push
	orders     map[string]*order
	lastFence  uint64        // fencing token of the last submission
	busy       time.Duration // how long requests keep connections open that exceed a share
	limit      int           // connection limit of each target
	findVoters bool          // the hosts find their voters, and serve the route plan
	history    []string
}

// newSimulation returns a simulation whose hosts have not started. The first
// three are voters.
func newSimulation(t testing.TB, name string, size int) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(xxhash.Sum64String(name), 1)),
		net:    network{delay: time.Millisecond, jitter: 2 * time.Millisecond, cut: map[[2]string]bool{}},
		byName: map[string]*host{}, byAddress: map[string]*host{}, leaders: map[uint64]string{}, orders: map[string]*order{}, busy: busyTime, limit: connectionLimit,
	}
	for i := range size {
		h := &host{
			sim: sim, name: fmt.Sprintf("h%d", i), domain: fmt.Sprintf("d%d", i%4), voter: i < 3,
			address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
		}
		h.disk = newDisk(h.name)
		sim.hosts = append(sim.hosts, h)
		sim.byName[h.name] = h
		sim.byAddress[h.address.String()] = h
	}
	sim.balancer = balancer{lag: balancerLag - 100*time.Millisecond, ready: map[string]bool{}}
	return sim
}

// startSimulation returns a simulation whose hosts serve one group of two
// targets.
func startSimulation(t testing.TB, name string, size int) *simulation {
	sim := newSimulation(t, name, size)
	sim.serve()
	return sim
}

// serve starts the hosts and waits until they serve a group of two targets.
func (sim *simulation) serve() {
	for _, h := range sim.hosts {
		h.start()
	}
	sim.scheduleChecks()
	sim.updateBalancer()
	sim.generateLoad()
	sim.addTarget("t0")
	sim.addTarget("t1")
	sim.run(3 * time.Second)
	p := sim.push(sim.hosts[0], group("names", "an", 0))
	sim.await(20*time.Second, "all hosts serve", func() bool {
		for _, h := range sim.hosts {
			if !h.serving() || len(h.snapshot.AgreedMembers.Hosts) != len(sim.hosts) || h.snapshot.Catalogs["names"] == nil || len(h.snapshot.GroupMembers["names"]) != 2 {
				return false
			}
		}
		return p.accepted()
	})
	sim.run(2 * time.Second)
}

func (sim *simulation) voters() []*host {
	if sim.findVoters {
		return sim.hosts[:diskHosts]
	}
	return sim.hosts[:3]
}

func (sim *simulation) feeds() []follow.FeedHost {
	var out []follow.FeedHost
	for _, v := range sim.voters() {
		out = append(out, follow.FeedHost{Host: v.name})
	}
	return out
}

func (sim *simulation) seeds(self *host) []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range sim.voters() {
		if v != self {
			out = append(out, v.address)
		}
	}
	return out
}

// run advances the time by d and runs the tasks that fall due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.tasks) > 0 && !sim.tasks[0].at.After(end) {
		next := heap.Pop(&sim.tasks).(task)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// await advances the time until done returns true, and fails after limit.
func (sim *simulation) await(limit time.Duration, condition string, done func() bool) {
	for end := sim.now.Add(limit); !done(); {
		if !sim.now.Before(end) {
			sim.failf("condition %q was not met within %v", condition, limit)
		}
		sim.run(checkInterval)
	}
}

func (sim *simulation) scheduleChecks() {
	sim.after(checkInterval, func() {
		sim.check()
		sim.scheduleChecks()
	})
}

func (sim *simulation) logf(format string, args ...any) {
	sim.history = append(sim.history, fmt.Sprintf("%8.3f ", sim.now.Sub(time.Unix(1_700_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (sim *simulation) failf(format string, args ...any) {
	sim.t.Helper()
	for _, line := range sim.history {
		sim.t.Log(line)
	}
	for _, h := range sim.hosts {
		if h.core != nil {
			sim.t.Logf("%s up %t paused %t rev %d serving %t fresh %v agreed %v phase %v shares %v", h.name, h.up, h.paused, h.snapshot.Revision,
				h.serving(), h.snapshot.Gate.Evidence.Freshness(sim.now), h.snapshot.AgreedMembers, h.snapshot.Phase, h.snapshot.Shares.Phase())
		}
	}
	require.Fail(sim.t, fmt.Sprintf(format, args...))
}

// leader returns the running leader with the highest term, or nil.
func (sim *simulation) leader() *host {
	var found *host
	term := uint64(0)
	for _, h := range sim.voters() {
		if h.running() && h.isLeader() && h.node.Status().Term >= term {
			found, term = h, h.node.Status().Term
		}
	}
	return found
}

func putGroup(name string) config.Op {
	return config.PutGroup{Group: routing.Group{Name: name, Team: "names", Match: routing.Labels{"app": name}}}
}
