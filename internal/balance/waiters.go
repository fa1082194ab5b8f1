package balance

import (
	"container/heap"
	"time"
)

// Waiters is a queue of sub-requests that wait for a slot of a searcher,
// ordered by deadline. The zero value is empty.
type Waiters[T any] struct {
	entries entryHeap[T]
}

// Entry is an element of a Waiters queue.
type Entry[T any] struct {
	Value    T
	Deadline time.Time
	index    int // in the heap; -1 once removed
}

// Len returns the number of waiting entries.
func (q *Waiters[T]) Len() int { return len(q.entries) }

// Push adds a value that must finish by deadline.
func (q *Waiters[T]) Push(value T, deadline time.Time) *Entry[T] {
	e := &Entry[T]{Value: value, Deadline: deadline}
	heap.Push(&q.entries, e)
	return e
}

// Remove removes an entry. It does nothing if the entry is no longer queued.
func (q *Waiters[T]) Remove(e *Entry[T]) {
	if e.index >= 0 {
		heap.Remove(&q.entries, e.index)
	}
}

// Pop removes the entry with the earliest deadline and returns its value and
// deadline.
func (q *Waiters[T]) Pop() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var none T
		return none, time.Time{}, false
	}
	e := heap.Pop(&q.entries).(*Entry[T])
	return e.Value, e.Deadline, true
}

// Next removes the entry with the earliest deadline that is at least need away
// and returns its value. It removes entries with an earlier deadline and passes
// their values to drop.
func (q *Waiters[T]) Next(now time.Time, need time.Duration, drop func(T)) (T, bool) {
	for {
		v, deadline, ok := q.Pop()
		if !ok || !now.Add(need).After(deadline) {
			return v, ok
		}
		drop(v)
	}
}

type entryHeap[T any] []*Entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = nil
	*h = old[:n]
	e.index = -1
	return e
}
