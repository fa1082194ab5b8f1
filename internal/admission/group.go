package admission

import (
	"container/heap"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/concurrency"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// durationWeight is the part of one query's duration in the decayed mean.
const durationWeight = 0.1

// request is a query that waits (startedAt zero) or is in progress.
type request struct {
	arrived   time.Time
	id        uint64
	group     *group
	caller    *caller
	deadline  time.Time
	startedAt time.Time
	index     int // in Queue.waiting
	place     int // in the caller's queue
}

type callerKey struct{ team, caller string }

// caller holds one caller's queries in a group.
type caller struct {
	key     callerKey
	queue   callerHeap
	running int
}

// group holds the queries of one group of targets.
type group struct {
	name        string
	priority    routing.Priority
	limits      routing.Limits
	guaranteed  int // minimum share of the host's concurrency
	limit       concurrency.Limit
	running     int
	waiting     int
	callers     map[callerKey]*caller
	ring        []*caller // those with waiting queries; the next turn first
	teams       map[string]int
	lastArrival time.Time
	duration    time.Duration // decayed mean; 0 if unknown
}

func newGroup(name string) *group {
	return &group{name: name, callers: map[callerKey]*caller{}, teams: map[string]int{}}
}

func (g *group) callerOf(key callerKey) *caller {
	c := g.callers[key]
	if c == nil {
		c = &caller{key: key}
		g.callers[key] = c
	}
	return c
}

func (g *group) push(r *request) {
	if len(r.caller.queue) == 0 {
		g.ring = append(g.ring, r.caller)
	}
	heap.Push(&r.caller.queue, r)
	g.waiting++
}

func (g *group) remove(r *request) {
	c := r.caller
	heap.Remove(&c.queue, r.place)
	g.waiting--
	if len(c.queue) == 0 {
		g.leaveRing(c)
	}
	g.forgetIfIdle(c)
}

func (g *group) leaveRing(c *caller) {
	for i := range g.ring {
		if g.ring[i] == c {
			g.ring = append(g.ring[:i], g.ring[i+1:]...)
			return
		}
	}
}

func (g *group) forgetIfIdle(c *caller) {
	if c.running == 0 && len(c.queue) == 0 {
		delete(g.callers, c.key)
	}
}

// next returns the query whose turn it is: callers take turns, and within a
// caller the earliest deadline is first. Callers at a limit are passed over
// and keep their turn.
func (g *group) next() *request {
	for _, c := range g.ring {
		if c.running < g.limits.CallerConcurrency && g.teams[c.key.team] < g.limits.TeamConcurrency {
			return c.queue[0]
		}
	}
	return nil
}

// start moves a query from the queue into progress and its caller to the end
// of the ring.
func (g *group) start(now time.Time, r *request) {
	c := r.caller
	heap.Remove(&c.queue, r.place)
	g.leaveRing(c)
	if len(c.queue) > 0 {
		g.ring = append(g.ring, c)
	}
	g.waiting--
	g.running++
	c.running++
	g.teams[c.key.team]++
	r.startedAt = now
}

func (g *group) finished(now time.Time, r *request, result Result) {
	inProgress := g.running
	g.running--
	r.caller.running--
	g.teams[r.caller.key.team]--
	if g.teams[r.caller.key.team] == 0 {
		delete(g.teams, r.caller.key.team)
	}
	g.forgetIfIdle(r.caller)
	took := now.Sub(r.startedAt)
	switch result {
	case Completed:
		g.limit.Succeeded(took, inProgress)
		g.observe(took)
	case Overloaded:
		g.limit.Overloaded(now)
		g.observe(took)
	}
}

func (g *group) observe(took time.Duration) {
	if g.duration == 0 {
		g.duration = took
		return
	}
	g.duration += time.Duration(durationWeight * float64(took-g.duration))
}

// expectedWait estimates how long the last query in a caller's queue waits,
// from the rate at which the queries in progress end (Little's law). Before
// the first query ended it is zero.
func (g *group) expectedWait(c *caller) time.Duration {
	position := len(c.queue)
	// While this caller's queries before it take their turns, each other
	// caller takes as many at most.
	ahead := min(g.waiting, position*len(g.ring))
	wait := g.drainTime(ahead, g.running)
	if c.running >= g.limits.CallerConcurrency {
		wait = max(wait, g.drainTime(position, c.running))
	}
	return wait
}

// reserve is the multiple of the mean duration that a query which waited must
// have left. One that starts with less tends to end without some shards, and
// its sub-requests take slots from queries that would be complete.
const reserve = 2

// need is the time that a query must have left to start after a wait.
func (g *group) need(least time.Duration) time.Duration { return max(least, reserve*g.duration) }

func (g *group) drainTime(queries, slots int) time.Duration {
	return g.duration * time.Duration(queries) / time.Duration(max(slots, 1))
}

// retryAfter is the time in which the queue drains.
func (g *group) retryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, g.drainTime(g.waiting, g.running)))
}

// victim returns the query to refuse when the queue is full: the latest
// deadline of the caller with the most waiting queries. The arriving query
// loses a tie.
func (g *group) victim(arriving *request) *request {
	longest := arriving.caller
	for _, c := range g.ring {
		if len(c.queue) > len(longest.queue) {
			longest = c
		}
	}
	if longest == arriving.caller {
		return arriving
	}
	last := longest.queue[0]
	for _, r := range longest.queue {
		if r.deadline.After(last.deadline) {
			last = r
		}
	}
	return last
}
