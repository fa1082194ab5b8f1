package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// dispatch admits waiting queries until no more may start.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.cfg.Concurrency {
		r := q.choose(now)
		if r == nil {
			return
		}
		if r.arrived.Before(now) && r.deadline.Sub(now) < r.group.minTimeLeft(q.cfg.MinRunTime) {
			q.remove(r)
			q.refuse(r.id, tooLate().WithRetryAfter(r.group.retryAfter()))
			continue
		}
		heap.Remove(&q.waiting, r.index)
		r.group.start(now, r)
		q.running++
		q.out = append(q.out, Decision{ID: r.id, Kind: Admit})
	}
}

// choose returns the next query to admit, or nil. It is of the group furthest
// below its minimum share, otherwise of the group with the highest priority
// that may use slots not kept for other groups.
func (q *Queue) choose(now time.Time) *request {
	var best *request
	for _, g := range q.order {
		if g.waiting == 0 || g.running >= g.limit.Value() {
			continue
		}
		if g.running >= g.guaranteed && q.running+q.reserved(now, g) >= q.cfg.Concurrency {
			continue
		}
		if best != nil && !precedes(g, best.group) {
			continue
		}
		if r := g.next(); r != nil {
			best = r
		}
	}
	return best
}

// reserved returns how many free slots are kept for the minimum shares of
// groups other than g. None are kept for a group without recent queries.
func (q *Queue) reserved(now time.Time, g *group) int {
	n := 0
	for _, other := range q.order {
		if other != g && now.Sub(other.lastArrival) < q.cfg.ActiveWindow {
			n += max(0, other.guaranteed-other.running)
		}
	}
	return n
}

// precedes reports whether a gets a free slot before b. Groups below their
// minimum shares come first, whatever their priority. Among the other groups
// priority decides first.
func precedes(a, b *group) bool {
	belowA := a.running < a.guaranteed
	belowB := b.running < b.guaranteed
	if belowA != belowB {
		return belowA
	}
	if !belowA && a.priority != b.priority {
		return rank(a.priority) < rank(b.priority)
	}
	return a.running*b.guaranteed < b.running*a.guaranteed
}

func rank(p routing.Priority) int {
	switch p {
	case routing.PriorityHigh:
		return 0
	case routing.PriorityLow:
		return 2
	default:
		return 1
	}
}

func (q *Queue) sortGroups() {
	slices.SortFunc(q.order, func(a, b *group) int {
		if c := cmp.Compare(rank(a.priority), rank(b.priority)); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
}

// deadlineHeap orders all waiting queries by deadline.
type deadlineHeap []*request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*h = old[:n]
	return r
}

// callerHeap orders a caller's waiting queries by deadline.
type callerHeap []*request

func (h callerHeap) Len() int           { return len(h) }
func (h callerHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].callerIndex = i
	h[j].callerIndex = j
}

func (h *callerHeap) Push(x any) {
	r := x.(*request)
	r.callerIndex = len(*h)
	*h = append(*h, r)
}

func (h *callerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*h = old[:n]
	return r
}
