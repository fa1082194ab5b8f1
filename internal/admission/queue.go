// Package admission controls how many queries a host runs at once. It admits
// queries, queues them within bounds, or refuses them early. Callers get fair
// shares of a group, and every group a guaranteed share of the host.
package admission

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/concurrency"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of refusals. All carry the verdict not_run.
const (
	CodeQueueFull  verdict.Code = "queue_full"        // the group's queue is full
	CodeOverloaded verdict.Code = "overloaded"        // the expected wait leaves too little time to run
	CodeDuplicate  verdict.Code = "duplicate_request" // the ID is in use
)

// Defaults of Config.
const (
	DefaultConcurrency       = 256
	DefaultQueueLength       = 256
	DefaultTeamConcurrency   = 128
	DefaultCallerConcurrency = 64
	DefaultGuaranteedPercent = 80
	DefaultActiveWindow      = 10 * time.Second
	DefaultMinRunTime        = 5 * time.Millisecond
)

// Bounds of the retry hint.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Config holds the settings of a Queue. Zero fields take the defaults.
type Config struct {
	Concurrency       int // queries in progress at this host
	QueueLength       int // for groups that set none
	TeamConcurrency   int // for groups that set none
	CallerConcurrency int // for groups that set none
	// GuaranteedPercent is the part of Concurrency that is split between the
	// groups as their minimum shares. Any group may use the rest.
	GuaranteedPercent int
	// ActiveWindow is how long after its last request a group's unused minimum
	// share is kept free for it.
	ActiveWindow time.Duration
	// MinRunTime is the least time that a query must have left before its
	// deadline to start.
	MinRunTime time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Concurrency, DefaultConcurrency)
	setDefault(&c.QueueLength, DefaultQueueLength)
	setDefault(&c.TeamConcurrency, DefaultTeamConcurrency)
	setDefault(&c.CallerConcurrency, DefaultCallerConcurrency)
	setDefault(&c.GuaranteedPercent, DefaultGuaranteedPercent)
	setDefault(&c.ActiveWindow, DefaultActiveWindow)
	setDefault(&c.MinRunTime, DefaultMinRunTime)
	c.GuaranteedPercent = min(c.GuaranteedPercent, 100)
	return c
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Event is an input of Queue.Step: Configure, Arrive, Done or Expire.
type Event interface{ event() }

// Configure sets the groups. Waiting queries of removed groups are refused.
type Configure struct{ Groups []routing.Group }

// Arrive asks for admission.
type Arrive struct {
	ID       uint64 // unique among queries that wait or are in progress
	Group    string
	Team     string
	Caller   string
	Deadline time.Time
}

// Done ends a query in progress, or a waiting one whose caller left.
type Done struct {
	ID     uint64
	Result Result
}

// Expire refuses the waiting queries with at most MinRunTime left.
type Expire struct{}

func (Configure) event() {}
func (Arrive) event()    {}
func (Done) event()      {}
func (Expire) event()    {}

// Result says what the outcome of a query tells about the load on its group's
// targets.
type Result uint8

// Results of a query.
const (
	Completed  Result = iota
	Overloaded        // targets shed its sub-requests or it reached its deadline
	Abandoned         // tells nothing about the load, for example because the caller left
)

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	Admit DecisionKind = iota
	Wait
	Refuse
)

// Decision is an output of Queue.Step.
type Decision struct {
	ID   uint64
	Kind DecisionKind
	Err  *verdict.Error // of a refusal: code, verdict not_run and retry hint
}

// Queue admits, queues and refuses queries. It is not safe for concurrent use.
type Queue struct {
	cfg      Config
	groups   map[string]*group
	order    []*group // by priority, then name
	requests map[uint64]*request
	waiting  deadlineHeap // all waiting queries
	running  int
	out      []Decision
}

// New returns a queue without groups.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg.withDefaults(), groups: map[string]*group{}, requests: map[uint64]*request{}}
}

// Step applies an event. The returned slice is valid until the next Step.
func (q *Queue) Step(now time.Time, ev Event) []Decision {
	clear(q.out)
	q.out = q.out[:0]
	switch ev := ev.(type) {
	case Configure:
		q.configure(now, ev.Groups)
	case Arrive:
		q.arrive(now, ev)
	case Done:
		q.done(now, ev)
	case Expire:
		q.expire(now)
	}
	return q.out
}

// NextExpiry returns when Expire is due, if any query waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	return q.waiting[0].deadline.Add(-q.cfg.MinRunTime), true
}

func (q *Queue) arrive(now time.Time, ev Arrive) {
	g := q.groups[ev.Group]
	switch {
	case q.requests[ev.ID] != nil:
		q.refuse(ev.ID, verdict.New(verdict.NotRun, CodeDuplicate, "request %d is already waiting or in progress", ev.ID))
		return
	case g == nil:
		q.refuse(ev.ID, verdict.New(verdict.NotRun, routing.CodeUnknownGroup, "group %q does not exist", ev.Group))
		return
	case ev.Deadline.Sub(now) < q.cfg.MinRunTime:
		q.refuse(ev.ID, tooLate())
		return
	}
	g.lastArrival = now
	r := &request{id: ev.ID, group: g, arrived: now, deadline: ev.Deadline}
	q.enqueue(r, callerKey{team: ev.Team, caller: ev.Caller})
	q.dispatch(now)
	if !r.startedAt.IsZero() {
		return
	}
	if wait := g.expectedWait(r.caller); now.Add(wait + g.minTimeLeft(q.cfg.MinRunTime)).After(r.deadline) {
		q.remove(r)
		q.refuse(r.id, verdict.New(verdict.NotRun, CodeOverloaded, "the expected wait of %v leaves too little time before the deadline", wait).
			WithRetryAfter(g.retryAfter()))
		return
	}
	if g.waiting > g.limits.QueueLength {
		victim := g.victim(r)
		q.remove(victim)
		q.refuse(victim.id, verdict.New(verdict.NotRun, CodeQueueFull, "%d queries of group %q are already waiting", g.waiting, g.name).
			WithRetryAfter(g.retryAfter()))
		if victim == r {
			return
		}
	}
	q.out = append(q.out, Decision{ID: r.id, Kind: Wait})
}

func (q *Queue) enqueue(r *request, key callerKey) {
	r.caller = r.group.callerOf(key)
	q.requests[r.id] = r
	r.group.push(r)
	heap.Push(&q.waiting, r)
}

// remove removes a waiting query.
func (q *Queue) remove(r *request) {
	delete(q.requests, r.id)
	heap.Remove(&q.waiting, r.index)
	r.group.remove(r)
}

func (q *Queue) done(now time.Time, ev Done) {
	r := q.requests[ev.ID]
	if r == nil {
		return
	}
	if r.startedAt.IsZero() {
		q.remove(r)
		return
	}
	delete(q.requests, r.id)
	q.running--
	r.group.finished(now, r, ev.Result)
	q.dispatch(now)
}

func (q *Queue) expire(now time.Time) {
	for len(q.waiting) > 0 {
		r := q.waiting[0]
		if r.deadline.Sub(now) > q.cfg.MinRunTime {
			return
		}
		q.remove(r)
		q.refuse(r.id, tooLate().WithRetryAfter(r.group.retryAfter()))
	}
}

func (q *Queue) refuse(id uint64, err *verdict.Error) {
	q.out = append(q.out, Decision{ID: id, Kind: Refuse, Err: err})
}

func tooLate() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "too little time is left to run the query")
}

// Bounds of a group's adaptive limit. The guaranteed share is capacity of this
// host, not of the group's targets, so the limit may fall below it. With the
// share as lower bound, targets at 130 % load shed most sub-requests, and
// goodput was 0.2 to 0.8 of their capacity.
const (
	firstLimit  = 32
	lowestLimit = 2
)

func (q *Queue) configure(now time.Time, groups []routing.Group) {
	old := q.groups
	q.groups = make(map[string]*group, len(groups))
	q.order = q.order[:0]
	weights := 0
	for _, cfg := range groups {
		weights += weight(cfg.Priority)
	}
	for _, cfg := range groups {
		guaranteed := max(1, q.cfg.Concurrency*q.cfg.GuaranteedPercent*weight(cfg.Priority)/(100*weights))
		g := old[cfg.Name]
		if g == nil {
			g = newGroup(cfg.Name)
			g.limit = concurrency.NewLimit(min(firstLimit, q.cfg.Concurrency), lowestLimit, q.cfg.Concurrency)
		}
		g.limit.SetBounds(lowestLimit, q.cfg.Concurrency)
		g.guaranteed = guaranteed
		g.priority = cfg.Priority
		g.limits = q.cfg.limitsOf(cfg.Limits)
		q.groups[cfg.Name] = g
		q.order = append(q.order, g)
	}
	q.sortGroups()
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if q.groups[name] == nil {
			q.refuseAll(old[name])
		}
	}
	q.dispatch(now)
}

func (q *Queue) refuseAll(g *group) {
	for _, r := range slices.Clone(q.waiting) {
		if r.group != g {
			continue
		}
		q.remove(r)
		q.refuse(r.id, verdict.New(verdict.NotRun, routing.CodeUnknownGroup, "group %q was removed", g.name))
	}
}

// limitsOf returns l with the host's defaults for unset limits.
func (c Config) limitsOf(l routing.Limits) routing.Limits {
	setDefault(&l.QueueLength, c.QueueLength)
	setDefault(&l.TeamConcurrency, c.TeamConcurrency)
	setDefault(&l.CallerConcurrency, c.CallerConcurrency)
	return l
}

// weight returns a priority's weight in the split of the guaranteed share.
func weight(p routing.Priority) int {
	switch p {
	case routing.PriorityHigh:
		return 4
	case routing.PriorityLow:
		return 1
	default:
		return 2
	}
}
