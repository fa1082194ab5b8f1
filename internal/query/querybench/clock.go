package querybench

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every case starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock with the events that are due. Events of one
// instant run in the order in which they were set.
type clock struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
}

// event is something that happens at a virtual time.
type event struct {
	at   time.Duration
	seq  uint64
	what happening
}

// happening is applied when its time comes.
type happening interface{ happen(b *bench) }

func (c *clock) after(d time.Duration, what happening) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, what: what})
}

// next advances the clock to the next event.
func (c *clock) next() (happening, bool) {
	if len(c.queue) == 0 {
		return nil, false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	return e.what, true
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
