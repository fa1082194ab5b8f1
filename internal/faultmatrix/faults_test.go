package faultmatrix

import (
	"fmt"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// fault begins and ends at a victim.
type fault struct {
	name  string
	begin func(w *world, victim *host)
	end   func(w *world, victim *host)
}

func nothing(*world, *host) {}

func crash(_ *world, h *host) {
	if h.up {
		h.crash()
	}
}

func restart(_ *world, h *host) {
	if !h.up {
		h.start()
	}
}

func heal(w *world, _ *host) { clear(w.net.cut) }

func loseDisk(w *world, h *host) {
	crash(w, h)
	h.disk.lose(h.name)
}

// other returns another host that runs, a voter if the victim is one.
func (w *world) other(victim *host) *host {
	for _, h := range w.hosts {
		if h != victim && h.voter == victim.voter {
			return h
		}
	}
	return w.hosts[len(w.hosts)-1]
}

// faults are the rows of the matrix that the control cores meet.
var faults = []fault{
	{"replica vanishes", func(w *world, _ *host) { w.targets[1].gone = true }, nothing},
	{"lying health", func(w *world, _ *host) {
		w.targets[1].lies = true
	}, func(w *world, _ *host) { w.targets[1].lies = false }},
	{"cold start", func(w *world, _ *host) { w.targets[1].phase = targets.Cold }, func(w *world, _ *host) { w.targets[1].phase = targets.Ready }},
	{"drain", func(w *world, _ *host) { w.targets[1].drain() }, nothing},
	{"connection limit", func(w *world, h *host) {
		w.busy = 9 * time.Second
		crash(w, h)
	}, restart},
	{"host crash", crash, restart},
	{"host pause", func(_ *world, h *host) { h.pause() }, func(_ *world, h *host) { h.resume() }},
	{"control host cut off one way", func(w *world, h *host) { w.cutOut(h) }, heal},
	{"control host deaf", func(w *world, h *host) { w.cutIn(h) }, heal},
	{"control host cut off both ways", func(w *world, h *host) { w.isolate(h) }, heal},
	{"disk lost", loseDisk, restart},
	{"disk full", func(_ *world, h *host) { h.disk.full = true }, func(_ *world, h *host) { h.disk.full = false }},
	{"torn write", func(w *world, h *host) {
		h.disk.slow = 50 * time.Millisecond
		w.push(w.other(h), group("torn", "an", h.snapshot.Revision))
		w.run(20 * time.Millisecond)
		crash(w, h)
	}, func(w *world, h *host) {
		h.disk.slow = time.Millisecond
		restart(w, h)
	}},
	{"second failure after repair", func(w *world, h *host) {
		crash(w, h)
		w.run(2 * time.Second)
		restart(w, h)
		w.run(3 * time.Second)
		crash(w, w.other(h))
	}, func(w *world, h *host) { restart(w, w.other(h)) }},
	{"racing operators", race, nothing},
	{"resend", func(w *world, h *host) {
		c := group("resent", "an", h.snapshot.Revision)
		for _, via := range w.hosts {
			w.push(via, c)
		}
	}, nothing},
	{"restart after hundreds of changes", func(w *world, h *host) {
		for i := range 200 {
			p := w.push(w.other(h), group(fmt.Sprintf("many-%d", i), "an", w.other(h).snapshot.Revision))
			if i%50 == 49 {
				w.until(20*time.Second, "the pushes are answered", func() bool { return p.result != nil })
			}
		}
		crash(w, h)
	}, restart},
	{"balancer lag", func(w *world, _ *host) { w.balancer.lag = 5 * time.Second }, func(w *world, _ *host) { w.balancer.lag = balancerLag - 100*time.Millisecond }},
	{"failure domain lost", func(w *world, h *host) {
		for _, o := range w.hosts {
			if o.domain == h.domain {
				crash(w, o)
			}
		}
		w.targets[1].gone = true
	}, func(w *world, h *host) {
		for _, o := range w.hosts {
			restart(w, o)
		}
	}},
	{"loss and duplication", func(w *world, _ *host) {
		w.net.loss, w.net.double, w.net.delay = 0.2, 0.3, 30*time.Millisecond
	}, func(w *world, _ *host) { w.net.loss, w.net.double, w.net.delay = 0, 0, time.Millisecond }},
	{"pause and cut", func(w *world, h *host) {
		h.pause()
		w.isolate(w.other(h))
	}, func(w *world, h *host) {
		h.resume()
		w.run(500 * time.Millisecond)
		heal(w, h)
	}},
	{"crash and disk full", func(w *world, h *host) {
		crash(w, h)
		w.other(h).disk.full = true
	}, func(w *world, h *host) {
		w.other(h).disk.full = false
		restart(w, h)
	}},
	{"disk lost and cut", func(w *world, h *host) {
		loseDisk(w, h)
		w.isolate(w.other(h))
		w.run(time.Second)
		restart(w, h)
	}, heal},
}

// race lets two operators change the same object from the same revision.
func race(w *world, h *host) {
	base := h.snapshot.Revision
	for i, operator := range []string{"an", "binh"} {
		c := group(fmt.Sprintf("race-%d", i), operator, base)
		c.Ops = append(c.Ops, putGroup("contested"))
		w.push(w.hosts[i], c)
	}
}
