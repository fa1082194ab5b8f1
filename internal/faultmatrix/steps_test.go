package faultmatrix

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// step is a column of the matrix: what goes on when the fault begins. before
// runs just before it, during while it lasts, and after checks the step once
// the fault has ended and all hosts have settled.
type step struct {
	name   string
	before func(w *world, victim *host)
	during func(w *world, victim *host)
	after  func(w *world, victim *host)
}

var steps = []step{
	{"announce", func(w *world, _ *host) { w.addTarget("t2") }, func(w *world, _ *host) { w.targets[0].drain() }, func(w *world, _ *host) {
		for _, h := range w.hosts {
			if !h.lists("t2") || h.lists("t0") {
				w.fail("%s lists t2: %t, the drained t0: %t", h.name, h.lists("t2"), h.lists("t0"))
			}
		}
	}},
	{"claim", func(w *world, h *host) {
		o := w.newOrder()
		w.submitOrder(h, o, true)
		w.submitOrder(w.other(h), o, false)
	}, submitOrders, ordersEnd},
	{"complete", func(w *world, h *host) {
		o := w.newOrder()
		o.targetTime = 100 * time.Millisecond
		w.submitOrder(h, o, true)
		w.run(60 * time.Millisecond)
	}, submitOrders, ordersEnd},
	{"commit", func(w *world, h *host) { w.push(h, group("c0", "an", h.snapshot.Revision)) }, func(w *world, h *host) {
		for i := 1; i <= 5; i++ {
			via := w.hosts[i%len(w.hosts)]
			w.push(via, group(fmt.Sprintf("c%d", i), "an", via.snapshot.Revision))
			w.run(700 * time.Millisecond)
		}
	}, pushesEnd},
	{"spread", func(w *world, h *host) {
		p := w.push(w.other(h), group("s0", "an", h.snapshot.Revision))
		w.until(5*time.Second, "the change is accepted", p.accepted)
	}, func(w *world, _ *host) { w.run(4500 * time.Millisecond) }, pushesEnd},
	{"restart", nothing, func(w *world, h *host) {
		o := w.other(h)
		crash(w, o)
		w.push(w.hosts[len(w.hosts)-1], group("r0", "an", o.snapshot.Revision))
		w.run(time.Second)
		restart(w, o)
	}, pushesEnd},
	{"shutdown", func(w *world, h *host) {
		for i := range 3 {
			w.push(w.other(h), group(fmt.Sprintf("x%d", i), "an", h.snapshot.Revision))
		}
		stopping(w, h).stop()
	}, func(w *world, h *host) { w.run(4 * time.Second) }, func(w *world, h *host) {
		pushesEnd(w, h)
		for _, o := range w.hosts {
			if o.interrupted > 0 {
				w.fail("the stop of %s interrupted %d requests", o.name, o.interrupted)
			}
		}
	}},
}

// stopping returns the host that the shutdown column stops: the victim of the
// fault itself.
func stopping(_ *world, victim *host) *host { return victim }

func submitOrders(w *world, h *host) {
	for i := range 6 {
		o := w.newOrder()
		w.submitOrder(w.hosts[i%len(w.hosts)], o, true)
		w.run(200 * time.Millisecond)
		w.submitOrder(w.hosts[(i+1)%len(w.hosts)], o, false)
		w.run(300 * time.Millisecond)
	}
}

// ordersEnd checks that a resend of each order learns the truth.
func ordersEnd(w *world, _ *host) {
	w.until(settleTime, "the host serves", w.hosts[3].serving)
	for _, id := range slices.Sorted(maps.Keys(w.orders)) {
		w.submitOrder(w.hosts[3], w.orders[id], false)
	}
	w.run(orderDeadline + time.Second)
	for _, o := range w.orders {
		last := o.answers[len(o.answers)-1]
		if o.ran && last.Err != nil && verdict.Of(last.Err) == verdict.NotRun {
			w.fail("order %s ran and is answered %v", o.id, last.Err)
		}
	}
}

// pushesEnd checks that operators learn what became of their changes.
func pushesEnd(w *world, _ *host) {
	for _, p := range w.pushes {
		if p.result == nil {
			w.fail("change %s has no outcome after %d tries: %v", p.change.ID, p.sent, p.err)
		}
	}
	contested := 0
	for _, p := range w.pushes {
		if len(p.change.Ops) > 1 && p.accepted() {
			contested++
		}
	}
	if contested > 1 {
		w.fail("both of two changes of one object from one revision were accepted")
	}
}
