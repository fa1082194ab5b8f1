package faultmatrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
)

// diskHosts is the number of hosts with a disk in simulations that find their
// voters.
const diskHosts = 4

// initialVoters returns the voters that the settings name, if they name any.
func (sim *simulation) initialVoters() []*host {
	if sim.findVoters {
		return nil
	}
	return sim.voters()
}

func (sim *simulation) useVoterDiscovery(h *host, o *control.Options) {
	o.Voters = nil
	o.FindVoters, o.ServePlan, o.LossTolerance = true, true, 1
	h.disk.firstStart = h.disk.firstStart || h.starts == 0
	if o.FoundLog = h.disk.firstStart; o.FoundLog {
		o.Member.Roles |= membership.RoleFounder
	}
	for _, i := range []int{1, 4, 5} {
		o.FirstSeeds = append(o.FirstSeeds, sim.hosts[i].address)
	}
	o.Codec = controlcodec.Codec{Plans: decodePlan}
	h.starts++
}

// decodePlan decodes a plan whose source is just its version.
func decodePlan(source []byte) (*routeplan.Plan, error) {
	p := &routeplan.Plan{}
	_, err := fmt.Sscan(string(source), &p.Version)
	return p, err
}

// startWithoutVoters starts six hosts whose settings name no voters. Four of
// them have disks.
func startWithoutVoters(t *testing.T, name string) *simulation {
	sim := newSimulation(t, name, 6)
	sim.findVoters = true
	for i, h := range sim.hosts {
		h.voter = i < diskHosts
		h.start()
	}
	sim.await(10*time.Second, "a leader is elected", func() bool { return sim.leader() != nil })
	return sim
}

// submitPlan submits a plan to the leader until it is acknowledged.
func (sim *simulation) submitPlan(version uint64) {
	sim.t.Helper()
	doc, err := plancodec.NewDocument([]byte(fmt.Sprint(version)), decodePlan)
	require.NoError(sim.t, err)
	acknowledged := false
	sim.await(15*time.Second, fmt.Sprintf("plan %d is acknowledged", version), func() bool {
		if leader := sim.leader(); leader != nil && !acknowledged {
			leader.call(func(token uint64) control.Event {
				return control.Submit{Token: token, Kind: proposals.KindPlan, Data: controlcodec.EncodePlan(sim.now, doc), Deadline: sim.now.Add(time.Second)}
			}, func(_ any, err error) { acknowledged = acknowledged || err == nil })
		}
		return acknowledged
	})
}

// awaitPlan waits until every running host serves a plan.
func (sim *simulation) awaitPlan(version uint64, limit time.Duration) {
	sim.t.Helper()
	sim.await(limit, fmt.Sprintf("plan %d is in force on all hosts", version), func() bool {
		return !slices.ContainsFunc(sim.hosts, func(h *host) bool {
			return h.running() && (h.snapshot.Plan == nil || h.snapshot.Plan.Version != version)
		})
	})
}

func voterNames(h *host) []string {
	var out []string
	for _, v := range h.node.Status().Voters {
		out = append(out, v.Name)
	}
	slices.Sort(out)
	return out
}

// Guards against a system without configured voters that never elects a leader
// or forms two clusters, and against a plan that does not reach hosts without a
// log within 3 seconds, the users' bound.
func TestHostsFindTheirVoters(t *testing.T) {
	sim := startWithoutVoters(t, "found")
	sim.run(5 * time.Second)
	require.Equal(t, []string{"h0", "h1", "h2"}, voterNames(sim.leader()))
	require.Len(t, sim.leader().node.Status().Learners, 1, "the fourth host with a disk is a learner")
	clusters := map[consensus.Identity]bool{}
	for _, h := range sim.voters() {
		clusters[h.node.Status().Cluster] = true
	}
	require.Len(t, clusters, 1)
	sim.submitPlan(7)
	sim.awaitPlan(7, 3*time.Second)
	sim.submitPlan(5)
	sim.run(time.Second)
	sim.awaitPlan(7, 0)
}

// Each voter in turn loses its disk. Guards against a voter that does not get
// its vote back within the time that the users allow, so that the next lost disk
// costs the majority, and against the loss of an acknowledged plan.
func TestFoundVotersSurviveLostDisksInTurn(t *testing.T) {
	sim := startWithoutVoters(t, "found disks")
	sim.run(5 * time.Second)
	for i := range 3 {
		version := uint64(10 + i)
		sim.submitPlan(version)
		h := sim.hosts[i]
		loseDisk(sim, h)
		sim.run(500 * time.Millisecond)
		h.start()
		sim.run(8 * time.Second)
		require.Len(t, voterNames(sim.leader()), 3)
		sim.awaitPlan(version, 0)
	}
}

// Guards against a permanently lost voter that is not replaced, and against a
// replaced voter that returns and serves its old plan: it must learn the newest
// plan and become a learner.
func TestGoneVoterIsReplacedAndRejoins(t *testing.T) {
	sim := startWithoutVoters(t, "found gone")
	sim.run(5 * time.Second)
	sim.submitPlan(3)
	sim.awaitPlan(3, 3*time.Second)
	gone := sim.other(sim.leader())
	crash(sim, gone)
	sim.run(16 * time.Second)
	require.NotContains(t, voterNames(sim.leader()), gone.name)
	require.Len(t, voterNames(sim.leader()), 3)
	sim.submitPlan(4)
	gone.start()
	sim.await(4*time.Second, "the returned host serves the newest plan", func() bool {
		return gone.snapshot.Plan != nil && gone.snapshot.Plan.Version == 4
	})
	sim.await(15*time.Second, "the returned host is a learner", func() bool {
		return slices.ContainsFunc(sim.leader().node.Status().Learners, func(m consensus.Member) bool { return m.Name == gone.name })
	})
}

// Guards against a plan that is lost when all processes stop at once, and
// against hosts that take too long to serve again.
func TestFoundVotersReturnAfterAllStop(t *testing.T) {
	sim := startWithoutVoters(t, "found all")
	sim.run(5 * time.Second)
	sim.submitPlan(9)
	for _, h := range sim.hosts {
		crash(sim, h)
	}
	sim.run(time.Second)
	for _, h := range sim.hosts {
		h.start()
	}
	sim.awaitPlan(9, 5*time.Second)
	sim.await(5*time.Second, "all hosts are ready", func() bool {
		return !slices.ContainsFunc(sim.hosts, func(h *host) bool { return !h.snapshot.Ready })
	})
}

// A voter is lost for good. Five seconds later, the time after which the users
// may lose a second host with a disk, another voter loses its disk while all
// hosts lose power. Guards against a lost voter that still counts towards the
// majority, so that no leader is ever elected again.
func TestGoneVoterIsReplacedBeforeTheNextLoss(t *testing.T) {
	sim := startWithoutVoters(t, "found gone twice")
	sim.run(5 * time.Second)
	sim.submitPlan(3)
	gone := sim.other(sim.leader())
	crash(sim, gone)
	sim.run(5 * time.Second)
	sim.submitPlan(4)
	wiped := sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool {
		return h != gone && h != sim.leader() && slices.Contains([]string{"h0", "h1", "h2"}, h.name)
	})]
	for _, h := range sim.hosts {
		crash(sim, h)
	}
	loseDisk(sim, wiped)
	sim.run(time.Second)
	for _, h := range sim.hosts {
		if h != gone {
			h.start()
		}
	}
	sim.await(12*time.Second, "a leader has the acknowledged plan", func() bool {
		leader := sim.leader()
		return leader != nil && leader.snapshot.Plan != nil && leader.snapshot.Plan.Version == 4
	})
}

// firstStart starts six hosts without voters in the settings. Trouble happens to them
// between the start and the time at which it must have ended.
func firstStart(t testing.TB, name string, trouble func(sim *simulation), end time.Duration) *simulation {
	sim := newSimulation(t, name, 6)
	sim.findVoters = true
	for i, h := range sim.hosts {
		h.voter = i < diskHosts
		h.start()
	}
	started := sim.now
	trouble(sim)
	sim.run(started.Add(end).Sub(sim.now))
	heal(sim, nil)
	for _, h := range sim.hosts {
		if !h.up {
			h.start()
		}
		if h.paused {
			h.resume()
		}
	}
	return sim
}

// requireOneLog fails unless all hosts with a disk come to have the same log and acknowledge a plan.
func (sim *simulation) requireOneLog() {
	sim.t.Helper()
	sim.await(20*time.Second, "a leader is elected", func() bool { return sim.leader() != nil })
	sim.submitPlan(7)
	sim.awaitPlan(7, 4*time.Second)
	sim.await(20*time.Second, "all hosts with a disk have one log", func() bool {
		leader := sim.leader()
		return leader != nil && !slices.ContainsFunc(sim.voters(), func(h *host) bool { return h.node.Status().Cluster != leader.node.Status().Cluster })
	})
	leaders := 0
	for _, h := range sim.voters() {
		if h.isLeader() {
			leaders++
		}
	}
	require.Equal(sim.t, 1, leaders)
}

// Guards against a host that founds a log of its own while it is cut off at the first start.
func TestHostCutOffAtTheFirstStartFoundsNoLog(t *testing.T) {
	for i := range diskHosts {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			firstStart(t, "cut off first", func(sim *simulation) { sim.isolate(sim.hosts[i]) }, 8*time.Second).requireOneLog()
		})
	}
}

// Guards against a host that founds a log by a list that it made before it was frozen.
func TestHostThatWakesAfterTheFirstStartFoundsNoLog(t *testing.T) {
	for _, frozen := range [][]int{{0}, {1}, {3}, {0, 3}} {
		for _, at := range []time.Duration{100 * time.Millisecond, 1400 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(frozen, at), func(t *testing.T) {
				firstStart(t, "frozen first", func(sim *simulation) {
					sim.run(at)
					for _, i := range frozen {
						sim.hosts[i].pause()
					}
				}, 12*time.Second).requireOneLog()
			})
		}
	}
}

// Guards against a system that never founds its log because the founder was killed first, with its disk or without.
func TestLogIsFoundedAfterTheFounderIsKilled(t *testing.T) {
	for _, at := range []time.Duration{700 * time.Millisecond, 1550 * time.Millisecond, 1700 * time.Millisecond} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprint(at, lost), func(t *testing.T) {
				firstStart(t, "founder killed", func(sim *simulation) {
					sim.run(at)
					crash(sim, sim.hosts[0])
					if lost {
						loseDisk(sim, sim.hosts[0])
					}
					sim.run(time.Second)
					sim.hosts[0].start()
				}, 4*time.Second).requireOneLog()
			})
		}
	}
}

// Guards against two logs, or none, after random faults of two hosts at the first start.
func TestOneLogIsFoundedUnderRandomFaults(t *testing.T) {
	for seed := range 100 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			firstStart(t, fmt.Sprint("random first ", seed), func(sim *simulation) {
				for _, i := range sim.rng.Perm(len(sim.hosts))[:2] {
					h, kind := sim.hosts[i], sim.rng.IntN(4)
					at := time.Duration(sim.rng.Int64N(int64(6 * time.Second)))
					length := time.Duration(sim.rng.Int64N(int64(9 * time.Second)))
					sim.logf("fault of kind %d at %s from %v for %v", kind, h.name, at, length)
					sim.after(at, func() {
						switch kind {
						case 0:
							sim.isolate(h)
						case 1:
							h.pause()
						default:
							crash(sim, h)
						}
					})
					sim.after(at+length, func() {
						switch {
						case h.paused:
							h.resume()
						case !h.up:
							h.start()
						}
					})
				}
			}, 16*time.Second).requireOneLog()
		})
	}
}
