package faultmatrix

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// step is a column of the matrix: the activity that the fault hits. before runs
// just before the fault begins, during while it lasts, and after checks the
// result once the fault has ended and all hosts have settled.
type step struct {
	name   string
	before func(sim *simulation, victim *host)
	during func(sim *simulation, victim *host)
	after  func(sim *simulation, victim *host)
}

var steps = []step{
	{"announce", func(sim *simulation, _ *host) { sim.addTarget("t2") }, func(sim *simulation, _ *host) { sim.targets[0].drain() }, func(sim *simulation, _ *host) {
		for _, h := range sim.hosts {
			if !h.listsTarget("t2") || h.listsTarget("t0") {
				sim.failf("%s lists t2: %t, the drained t0: %t", h.name, h.listsTarget("t2"), h.listsTarget("t0"))
			}
		}
	}},
	{"claim", func(sim *simulation, h *host) {
		o := sim.newOrder()
		sim.submitOrder(h, o, true)
		sim.submitOrder(sim.other(h), o, false)
	}, submitOrders, checkOrders},
	{"complete", func(sim *simulation, h *host) {
		o := sim.newOrder()
		o.targetTime = 100 * time.Millisecond
		sim.submitOrder(h, o, true)
		sim.run(60 * time.Millisecond)
	}, submitOrders, checkOrders},
	{"commit", func(sim *simulation, h *host) { sim.push(h, group("c0", "an", h.snapshot.Revision)) }, func(sim *simulation, h *host) {
		for i := 1; i <= 5; i++ {
			via := sim.hosts[i%len(sim.hosts)]
			sim.push(via, group(fmt.Sprintf("c%d", i), "an", via.snapshot.Revision))
			sim.run(700 * time.Millisecond)
		}
	}, checkPushes},
	{"spread", func(sim *simulation, h *host) {
		p := sim.push(sim.other(h), group("s0", "an", h.snapshot.Revision))
		sim.await(5*time.Second, "the change is accepted", p.accepted)
	}, func(sim *simulation, _ *host) { sim.run(4500 * time.Millisecond) }, checkPushes},
	{"restart", nothing, func(sim *simulation, h *host) {
		o := sim.other(h)
		crash(sim, o)
		sim.push(sim.hosts[len(sim.hosts)-1], group("r0", "an", o.snapshot.Revision))
		sim.run(time.Second)
		restart(sim, o)
	}, checkPushes},
	{"shutdown", func(sim *simulation, h *host) {
		for i := range 3 {
			sim.push(sim.other(h), group(fmt.Sprintf("x%d", i), "an", h.snapshot.Revision))
		}
		hostToStop(sim, h).stop()
	}, func(sim *simulation, h *host) { sim.run(4 * time.Second) }, func(sim *simulation, h *host) {
		checkPushes(sim, h)
		for _, o := range sim.hosts {
			if o.interrupted > 0 {
				sim.failf("the stop of %s interrupted %d requests", o.name, o.interrupted)
			}
		}
	}},
}

// hostToStop returns the host that the shutdown step stops: the victim of the
// fault itself.
func hostToStop(_ *simulation, victim *host) *host { return victim }

func submitOrders(sim *simulation, h *host) {
	for i := range 6 {
		o := sim.newOrder()
		sim.submitOrder(sim.hosts[i%len(sim.hosts)], o, true)
		sim.run(200 * time.Millisecond)
		sim.submitOrder(sim.hosts[(i+1)%len(sim.hosts)], o, false)
		sim.run(300 * time.Millisecond)
	}
}

// checkOrders resends each order and guards against an order that ran and is
// answered as not run.
func checkOrders(sim *simulation, _ *host) {
	sim.await(settleTimeout, "the host serves", sim.hosts[3].serving)
	for _, id := range slices.Sorted(maps.Keys(sim.orders)) {
		sim.submitOrder(sim.hosts[3], sim.orders[id], false)
	}
	sim.run(orderDeadline + time.Second)
	for _, o := range sim.orders {
		last := o.answers[len(o.answers)-1]
		if o.ran && last.Err != nil && verdict.Of(last.Err) == verdict.NotRun {
			sim.failf("order %s ran and is answered %v", o.id, last.Err)
		}
	}
}

// checkPushes guards against changes whose outcome operators do not learn, and
// against two conflicting changes that are both accepted.
func checkPushes(sim *simulation, _ *host) {
	for _, p := range sim.pushes {
		if p.result == nil {
			sim.failf("change %s has no outcome after %d tries: %v", p.change.ID, p.sent, p.err)
		}
	}
	contested := 0
	for _, p := range sim.pushes {
		if len(p.change.Ops) > 1 && p.accepted() {
			contested++
		}
	}
	if contested > 1 {
		sim.failf("two changes to the same object from the same base revision were both accepted")
	}
}
