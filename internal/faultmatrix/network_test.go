// Package faultmatrix checks the requirements of the design page with every
// fault at every step. It runs the control cores of a few hosts on virtual
// time, in one goroutine, over a network and disks made here.
package faultmatrix

import (
	"container/heap"
	"time"
)

// task is something that happens at a time.
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
	delay  time.Duration
	jitter time.Duration
	loss   float64
	double float64
	cut    map[[2]string]bool // from, to
}

// after runs f once d has passed.
func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.tasks, task{at: w.now.Add(d), seq: w.seq, do: f})
}

// send runs f at the receiver unless the message is lost. A process that
// ended meanwhile receives nothing, and one that is paused receives it later.
func (w *world) send(from, to *host, f func()) {
	if w.net.cut[[2]string{from.name, to.name}] || w.rng.Float64() < w.net.loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.net.double {
		copies = 2
	}
	for range copies {
		w.after(w.net.delay+time.Duration(w.rng.Int64N(int64(w.net.jitter))), func() { w.arrive(to, f) })
	}
}

func (w *world) arrive(to *host, f func()) {
	switch {
	case !to.up:
	case to.paused:
		to.inbox = append(to.inbox, f)
	default:
		f()
	}
}

// cutOut cuts what a host sends; cutIn what it receives.
func (w *world) cutOut(h *host) { w.setCut(h, true, false) }
func (w *world) cutIn(h *host)  { w.setCut(h, false, true) }
func (w *world) isolate(h *host) {
	w.setCut(h, true, true)
}

func (w *world) setCut(h *host, out, in bool) {
	for _, o := range w.hosts {
		if o == h {
			continue
		}
		if out {
			w.net.cut[[2]string{h.name, o.name}] = true
		}
		if in {
			w.net.cut[[2]string{o.name, h.name}] = true
		}
	}
}

// split cuts all links between the named hosts and the others.
func (w *world) split(side ...*host) {
	in := map[*host]bool{}
	for _, h := range side {
		in[h] = true
	}
	clear(w.net.cut)
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if in[a] != in[b] {
				w.net.cut[[2]string{a.name, b.name}] = true
			}
		}
	}
}

// connected reports whether a host exchanges messages in both directions with
// a majority of all hosts and with the leader of the log.
func (w *world) connected(h *host) bool {
	n := 0
	for _, o := range w.hosts {
		if o == h || o.running() && !w.net.cut[[2]string{h.name, o.name}] && !w.net.cut[[2]string{o.name, h.name}] {
			n++
		}
	}
	return h.running() && n > len(w.hosts)/2
}
