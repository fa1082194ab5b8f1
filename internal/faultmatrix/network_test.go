// Package faultmatrix tests the requirements of the design page under every
// fault at every step. It runs the control cores of a few hosts in one goroutine,
// on virtual time, over a simulated network and simulated disks.
package faultmatrix

import (
	"container/heap"
	"time"
)

// task is a function scheduled for a virtual time.
type task struct {
	at  time.Time
	seq uint64
	do  func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }

func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// network carries messages between hosts with delay, loss and duplication.
type network struct {
	delay       time.Duration
	jitter      time.Duration
	loss        float64
	duplication float64
	cut         map[[2]string]bool // broken links by sender and receiver
}

// after schedules f to run after d.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.tasks, task{at: sim.now.Add(d), seq: sim.seq, do: f})
}

// send runs f at the receiver unless the message is lost. A process that has
// ended by then receives nothing, and a paused one receives it when it resumes.
func (sim *simulation) send(from, to *host, f func()) {
	if sim.net.cut[[2]string{from.name, to.name}] || sim.rng.Float64() < sim.net.loss {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.net.duplication {
		copies = 2
	}
	for range copies {
		sim.after(sim.net.delay+time.Duration(sim.rng.Int64N(int64(sim.net.jitter))), func() { sim.arrive(to, f) })
	}
}

func (sim *simulation) arrive(to *host, f func()) {
	switch {
	case !to.up:
	case to.paused:
		to.inbox = append(to.inbox, f)
	default:
		f()
	}
}

// cutOutbound cuts the links from a host, cutInbound those to it, and isolate
// both.
func (sim *simulation) cutOutbound(h *host) { sim.cutLinks(h, true, false) }
func (sim *simulation) cutInbound(h *host)  { sim.cutLinks(h, false, true) }
func (sim *simulation) isolate(h *host) {
	sim.cutLinks(h, true, true)
}

func (sim *simulation) cutLinks(h *host, out, in bool) {
	for _, o := range sim.hosts {
		if o == h {
			continue
		}
		if out {
			sim.net.cut[[2]string{h.name, o.name}] = true
		}
		if in {
			sim.net.cut[[2]string{o.name, h.name}] = true
		}
	}
}

// split partitions the network between side and all other hosts.
func (sim *simulation) split(side ...*host) {
	in := map[*host]bool{}
	for _, h := range side {
		in[h] = true
	}
	clear(sim.net.cut)
	for _, a := range sim.hosts {
		for _, b := range sim.hosts {
			if in[a] != in[b] {
				sim.net.cut[[2]string{a.name, b.name}] = true
			}
		}
	}
}

// connected reports whether a host runs and has links in both directions with a
// majority of all hosts, itself included.
func (sim *simulation) connected(h *host) bool {
	n := 0
	for _, o := range sim.hosts {
		if o == h || o.running() && !sim.net.cut[[2]string{h.name, o.name}] && !sim.net.cut[[2]string{o.name, h.name}] {
			n++
		}
	}
	return h.running() && n > len(sim.hosts)/2
}
