package faultmatrix

import (
	"fmt"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// fault is a row of the matrix: begin injects the fault at a victim, end
// removes it.
type fault struct {
	name  string
	begin func(sim *simulation, victim *host)
	end   func(sim *simulation, victim *host)
}

func nothing(*simulation, *host) {}

func crash(_ *simulation, h *host) {
	if h.up {
		h.crash()
	}
}

func restart(_ *simulation, h *host) {
	if !h.up {
		h.start()
	}
}

func heal(sim *simulation, _ *host) { clear(sim.net.cut) }

func loseDisk(sim *simulation, h *host) {
	crash(sim, h)
	h.disk.lose(h.name)
}

// other returns a host other than the victim, a voter if the victim is one.
func (sim *simulation) other(victim *host) *host {
	for _, h := range sim.hosts {
		if h != victim && h.voter == victim.voter {
			return h
		}
	}
	return sim.hosts[len(sim.hosts)-1]
}

// faults are the rows of the matrix that involve the control cores.
var faults = []fault{
	{"replica vanishes", func(sim *simulation, _ *host) { sim.targets[1].gone = true }, nothing},
	{"lying health", func(sim *simulation, _ *host) {
		sim.targets[1].misreports = true
	}, func(sim *simulation, _ *host) { sim.targets[1].misreports = false }},
	{"cold start", func(sim *simulation, _ *host) { sim.targets[1].phase = targets.Cold }, func(sim *simulation, _ *host) { sim.targets[1].phase = targets.Ready }},
	{"drain", func(sim *simulation, _ *host) { sim.targets[1].drain() }, nothing},
	{"connection limit", func(sim *simulation, h *host) {
		sim.busy = 9 * time.Second
		crash(sim, h)
	}, restart},
	{"host crash", crash, restart},
	{"host pause", func(_ *simulation, h *host) { h.pause() }, func(_ *simulation, h *host) { h.resume() }},
	{"control host cut off one way", func(sim *simulation, h *host) { sim.cutOutbound(h) }, heal},
	{"control host deaf", func(sim *simulation, h *host) { sim.cutInbound(h) }, heal},
	{"control host cut off both ways", func(sim *simulation, h *host) { sim.isolate(h) }, heal},
	{"disk lost", loseDisk, restart},
	{"disk full", func(_ *simulation, h *host) { h.disk.full = true }, func(_ *simulation, h *host) { h.disk.full = false }},
	{"torn write", func(sim *simulation, h *host) {
		h.disk.slow = 50 * time.Millisecond
		sim.push(sim.other(h), group("torn", "an", h.snapshot.Revision))
		sim.run(20 * time.Millisecond)
		crash(sim, h)
	}, func(sim *simulation, h *host) {
		h.disk.slow = time.Millisecond
		restart(sim, h)
	}},
	{"second failure after repair", func(sim *simulation, h *host) {
		crash(sim, h)
		sim.run(2 * time.Second)
		restart(sim, h)
		sim.run(3 * time.Second)
		crash(sim, sim.other(h))
	}, func(sim *simulation, h *host) { restart(sim, sim.other(h)) }},
	{"racing operators", race, nothing},
	{"resend", func(sim *simulation, h *host) {
		c := group("resent", "an", h.snapshot.Revision)
		for _, via := range sim.hosts {
			sim.push(via, c)
		}
	}, nothing},
	{"restart after hundreds of changes", func(sim *simulation, h *host) {
		for i := range 200 {
			p := sim.push(sim.other(h), group(fmt.Sprintf("many-%d", i), "an", sim.other(h).snapshot.Revision))
			if i%50 == 49 {
				sim.await(20*time.Second, "the push has a result", func() bool { return p.result != nil })
			}
		}
		crash(sim, h)
	}, restart},
	{"balancer lag", func(sim *simulation, _ *host) { sim.balancer.lag = 5 * time.Second }, func(sim *simulation, _ *host) { sim.balancer.lag = balancerLag - 100*time.Millisecond }},
	{"failure domain lost", func(sim *simulation, h *host) {
		for _, o := range sim.hosts {
			if o.domain == h.domain {
				crash(sim, o)
			}
		}
		sim.targets[1].gone = true
	}, func(sim *simulation, h *host) {
		for _, o := range sim.hosts {
			restart(sim, o)
		}
	}},
	{"loss and duplication", func(sim *simulation, _ *host) {
		sim.net.loss, sim.net.duplication, sim.net.delay = 0.2, 0.3, 30*time.Millisecond
	}, func(sim *simulation, _ *host) {
		sim.net.loss, sim.net.duplication, sim.net.delay = 0, 0, time.Millisecond
	}},
	{"pause and cut", func(sim *simulation, h *host) {
		h.pause()
		sim.isolate(sim.other(h))
	}, func(sim *simulation, h *host) {
		h.resume()
		sim.run(500 * time.Millisecond)
		heal(sim, h)
	}},
	{"crash and disk full", func(sim *simulation, h *host) {
		crash(sim, h)
		sim.other(h).disk.full = true
	}, func(sim *simulation, h *host) {
		sim.other(h).disk.full = false
		restart(sim, h)
	}},
	{"disk lost and cut", func(sim *simulation, h *host) {
		loseDisk(sim, h)
		sim.isolate(sim.other(h))
		sim.run(time.Second)
		restart(sim, h)
	}, heal},
}

// race pushes changes of two operators to the same object from the same base
// revision.
func race(sim *simulation, h *host) {
	base := h.snapshot.Revision
	for i, operator := range []string{"an", "binh"} {
		c := group(fmt.Sprintf("race-%d", i), operator, base)
		c.Ops = append(c.Ops, putGroup("contested"))
		sim.push(sim.hosts[i], c)
	}
}
