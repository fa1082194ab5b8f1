package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// domainOrder is an order for a failure domain that the operator sends again until a host
// acknowledges it.
type domainOrder struct {
	domain   string
	withdraw bool
	sent     int
	acked    bool
}

// orderDomain sends an order through a host, and then through any host.
func (sim *simulation) orderDomain(via *host, domain string, withdraw bool) *domainOrder {
	o := &domainOrder{domain: domain, withdraw: withdraw}
	o.send(sim, via)
	return o
}

func (o *domainOrder) send(sim *simulation, via *host) {
	o.sent++
	again := func() {
		if !o.acked && o.sent < maxResends {
			sim.after(submitRetryDelay, func() { o.send(sim, sim.hosts[sim.rng.IntN(len(sim.hosts))]) })
		}
	}
	if !via.running() {
		again()
		return
	}
	order := withdrawal.Order{FailureDomain: o.domain, Withdraw: o.withdraw, Base: via.snapshot.Withdrawals.Revision()}
	answered := false
	answer := func(result any, err error) {
		if answered {
			return
		}
		answered = true
		if err == nil && result.(withdrawal.Result).Acknowledged() {
			o.acked = true
			return
		}
		again()
	}
	via.submit(proposals.KindWithdrawal, controlcodec.EncodeWithdrawal(sim.now, order), time.Second, answer)
	sim.after(2*time.Second, func() { answer(nil, nil) })
}

// awaitDomain waits until all running hosts have a failure domain as it was ordered.
func (sim *simulation) awaitDomain(limit time.Duration, domain string, withdrawn bool) {
	sim.await(limit, "the order is in force", func() bool {
		for _, h := range sim.hosts {
			if h.running() && h.snapshot.Withdrawals.Withdrawn(domain) != withdrawn {
				return false
			}
		}
		return true
	})
}

// evacuationTime is the requirement on how soon an acknowledged order is in force.
const evacuationTime = 5 * time.Second

// Guards against an order that is not in force on a connected host in time, or that
// outlives its reversal.
func TestWithdrawalReachesAllHostsAndIsReversed(t *testing.T) {
	sim := startSimulation(t, "withdraw", 7)
	o := sim.orderDomain(sim.hosts[6], "d1", true)
	sim.await(10*time.Second, "the order is acknowledged", func() bool { return o.acked })
	sim.awaitDomain(evacuationTime, "d1", true)
	for _, h := range sim.hosts {
		for _, r := range h.snapshot.GroupMembers["names"] {
			require.NotEqual(t, "d1", r.FailureDomain, h.name)
		}
	}
	back := sim.orderDomain(sim.hosts[3], "d1", false)
	sim.await(10*time.Second, "the order is acknowledged", func() bool { return back.acked })
	sim.awaitDomain(evacuationTime, "d1", false)
}

// Guards against an acknowledged order that is lost with a disk, or in a loss of power on
// all hosts, and against a host that serves after its restart without knowing the order.
func TestWithdrawalSurvivesALostDiskAndPowerLoss(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		sim := startSimulation(t, "withdraw disk", 5)
		o := sim.orderDomain(sim.hosts[4], "d1", true)
		sim.await(10*time.Second, "the order is acknowledged", func() bool { return o.acked })
		for _, h := range sim.hosts {
			crash(sim, h)
		}
		sim.hosts[lost].disk.lose(sim.hosts[lost].name)
		sim.run(time.Second)
		for _, h := range sim.hosts {
			restart(sim, h)
		}
		sim.await(settleTimeout, "all hosts serve again", func() bool {
			for _, h := range sim.hosts {
				if h.serving() && !h.snapshot.Withdrawals.Withdrawn("d1") {
					sim.failf("%s serves without the withdrawal", h.name)
				}
				if !h.serving() {
					return false
				}
			}
			return true
		})
	}
}

// Guards against an order that is lost, repeated with another result or never answered
// when the store fails in the middle of it: the leader dies, is cut off, or its disk is
// full.
func TestStoreFailsInTheMiddleOfAnOrder(t *testing.T) {
	for name, f := range map[string]fault{
		"crash": {begin: crash, end: restart},
		"cut":   {begin: func(sim *simulation, h *host) { sim.isolate(h) }, end: heal},
		"full":  {begin: func(_ *simulation, h *host) { h.disk.full = true }, end: func(_ *simulation, h *host) { h.disk.full = false }},
		"all disks full": {begin: func(sim *simulation, _ *host) {
			for _, v := range sim.voters() {
				v.disk.full = true
			}
		}, end: func(sim *simulation, _ *host) {
			for _, v := range sim.voters() {
				v.disk.full = false
			}
		}},
	} {
		for _, after := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 9 * time.Millisecond} {
			t.Run(name+" after "+after.String(), func(t *testing.T) {
				t.Parallel()
				sim := startSimulation(t, name+after.String(), 5)
				leader := sim.leader()
				o := sim.orderDomain(sim.hosts[4], "d1", true)
				sim.run(after)
				f.begin(sim, leader)
				sim.run(3 * time.Second)
				require.True(t, leader.up || name == "crash", "the process goes on")
				f.end(sim, leader)
				sim.await(settleTimeout, "the order is acknowledged", func() bool { return o.acked })
				sim.settle()
				sim.awaitDomain(evacuationTime, "d1", true)
				back := sim.orderDomain(sim.hosts[3], "d1", false)
				sim.await(10*time.Second, "the reversal is acknowledged", func() bool { return back.acked })
				sim.awaitDomain(evacuationTime, "d1", false)
				sim.run(10 * time.Second)
				sim.awaitDomain(checkInterval, "d1", false)
			})
		}
	}
}
