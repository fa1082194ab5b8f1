package querybench

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every case starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock with a queue of events. Events with the same time
// run in the order in which they were scheduled.
type clock struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
}

// event is an action scheduled for a virtual time.
type event struct {
	at     time.Duration
	seq    uint64
	action action
}

// action is executed when the clock reaches its time.
type action interface{ execute(b *bench) }

func (c *clock) after(d time.Duration, act action) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, action: act})
}

// next advances the clock to the next event and returns its action.
func (c *clock) next() (action, bool) {
	if len(c.queue) == 0 {
		return nil, false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	return e.action, true
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
