package admission

import (
	"container/heap"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/concurrency"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// durationWeight is the weight of a new duration in the EWMA.
const durationWeight = 0.1

// request is a query that is waiting (startedAt is zero) or in progress.
type request struct {
	arrived     time.Time
	id          uint64
	group       *group
	caller      *caller
	deadline    time.Time
	startedAt   time.Time
	index       int // in Queue.waiting
	callerIndex int // in caller.queue
}

type callerKey struct{ team, caller string }

// caller holds the queries of a caller in a group.
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
	roundRobin  []*caller      // callers with waiting queries, the next one first
	teams       map[string]int // queries in progress by team
	lastArrival time.Time
	duration    time.Duration // EWMA; 0 if unknown
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
		g.roundRobin = append(g.roundRobin, r.caller)
	}
	heap.Push(&r.caller.queue, r)
	g.waiting++
}

func (g *group) remove(r *request) {
	c := r.caller
	heap.Remove(&c.queue, r.callerIndex)
	g.waiting--
	if len(c.queue) == 0 {
		g.removeFromRoundRobin(c)
	}
	g.forgetIfIdle(c)
}

func (g *group) removeFromRoundRobin(c *caller) {
	for i := range g.roundRobin {
		if g.roundRobin[i] == c {
			g.roundRobin = append(g.roundRobin[:i], g.roundRobin[i+1:]...)
			return
		}
	}
}

func (g *group) forgetIfIdle(c *caller) {
	if c.running == 0 && len(c.queue) == 0 {
		delete(g.callers, c.key)
	}
}

// next returns the next query of the group, or nil. It serves callers round
// robin and each caller's queries by deadline. Callers at a limit are skipped
// and keep their position.
func (g *group) next() *request {
	for _, c := range g.roundRobin {
		if c.running < g.limits.CallerConcurrency && g.teams[c.key.team] < g.limits.TeamConcurrency {
			return c.queue[0]
		}
	}
	return nil
}

// start moves a query from waiting to in progress and its caller to the end of
// the round-robin order.
func (g *group) start(now time.Time, r *request) {
	c := r.caller
	heap.Remove(&c.queue, r.callerIndex)
	g.removeFromRoundRobin(c)
	if len(c.queue) > 0 {
		g.roundRobin = append(g.roundRobin, c)
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
// from the rate at which the queries in progress end (Little's law). It returns
// zero until the first query has ended.
func (g *group) expectedWait(c *caller) time.Duration {
	position := len(c.queue)
	// Callers are served round robin, so each other caller starts at most as many
	// queries before this one as this caller does.
	ahead := min(g.waiting, position*len(g.roundRobin))
	wait := g.drainTime(ahead, g.running)
	if c.running >= g.limits.CallerConcurrency {
		wait = max(wait, g.drainTime(position, c.running))
	}
	return wait
}

// runTimeFactor times the mean duration is the least time that a query must
// have left before its deadline to start after a wait. Queries that start with
// less tend to end without some shards, and their sub-requests take slots from
// queries that could still complete.
const runTimeFactor = 2

// minTimeLeft returns the least time that a query must have left before its
// deadline to start after a wait.
func (g *group) minTimeLeft(floor time.Duration) time.Duration {
	return max(floor, runTimeFactor*g.duration)
}

func (g *group) drainTime(queries, slots int) time.Duration {
	return g.duration * time.Duration(queries) / time.Duration(max(slots, 1))
}

// retryAfter returns the expected time until the queue is empty, within the
// bounds of the retry hint.
func (g *group) retryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, g.drainTime(g.waiting, g.running)))
}

// victim returns the query to refuse when the queue is full: the one with the
// latest deadline of the caller with the most waiting queries. If no caller has
// more than the caller of the arriving query, it is the arriving query.
func (g *group) victim(arriving *request) *request {
	longest := arriving.caller
	for _, c := range g.roundRobin {
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
