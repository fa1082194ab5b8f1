package forward

import (
	"maps"
	"slices"
	"time"
)

// Turn describes a request that waits for a searcher, as far as its order depends on it.
type Turn struct {
	Priority int    // 0 is the most urgent
	Account  string // empty for requests of no account
	// Weight is the account's share relative to others, above 0. It has no effect among
	// the requests of one account.
	Weight   float64
	Deadline time.Time
	Cost     time.Duration // estimated time at a searcher
}

// minTurnCost is the least cost that a turn is charged, so that requests whose cost is not
// known yet share as well.
const minTurnCost = time.Millisecond

func (t Turn) cost() time.Duration { return max(t.Cost, minTurnCost) }

func (t Turn) share() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// Queue orders the requests that wait for the searchers of one service: by priority, then
// by fair share among accounts, then by deadline, then by arrival. Requests of no account
// share as one account, so without accounts the order is by priority and deadline. It is
// not safe for concurrent use.
//
// Accounts share by start-time fair queueing: the account whose virtual time is least has
// the next turn, and a turn advances it by the cost divided by the weight. An account that
// waits for nothing holds no credit: when it is back, its virtual time is at least that of
// the account that was last served. The state of a priority is dropped when nothing waits
// there, so its size is bounded by the accounts that waited since.
type Queue[T comparable] struct {
	items   []queued[T] // by priority, deadline and arrival
	classes map[int]*class
}

type queued[T comparable] struct {
	Turn
	value T
}

// class is the state of the accounts of one priority.
type class struct {
	now     float64            // virtual time of the last turn
	virtual map[string]float64 // by account
}

// maxQueuedAccounts bounds the accounts of a priority whose virtual time is kept. Above it
// those that are not behind are forgotten.
const maxQueuedAccounts = 1024

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Work returns the cost of all requests that wait.
func (q *Queue[T]) Work() (work time.Duration) {
	for _, e := range q.items {
		work += e.cost()
	}
	return work
}

// Push adds a request.
func (q *Queue[T]) Push(t Turn, v T) {
	i := len(q.items)
	for i > 0 && t.before(q.items[i-1].Turn) {
		i--
	}
	q.items = slices.Insert(q.items, i, queued[T]{t, v})
}

func (t Turn) before(o Turn) bool {
	if t.Priority != o.Priority {
		return t.Priority < o.Priority
	}
	return t.Deadline.Before(o.Deadline)
}

// Next removes and returns the request whose turn it is. refused are requests that it
// removes because they can't be answered in time any more: the time until their deadline
// is less than what expected returns for an attempt that begins now.
func (q *Queue[T]) Next(now time.Time, expected func(T) time.Duration) (next T, ok bool, refused []T) {
	q.items = slices.DeleteFunc(q.items, func(e queued[T]) bool {
		late := now.Add(expected(e.value)).After(e.Deadline)
		if late {
			refused = append(refused, e.value)
		}
		return late
	})
	i := q.first()
	if i < 0 {
		q.classes = nil
		return next, false, refused
	}
	e := q.items[i]
	q.charge(e.Turn)
	q.items = slices.Delete(q.items, i, i+1)
	q.forget()
	return e.value, true, refused
}

// first returns the index of the request whose turn it is, or -1.
func (q *Queue[T]) first() int {
	best, least := -1, 0.0
	for i, e := range q.items {
		if e.Priority != q.items[0].Priority {
			break
		}
		// Of an account's requests the first one in the list has the earliest deadline.
		if v := q.class(e.Priority).at(e.Account); best < 0 || v < least {
			best, least = i, v
		}
	}
	return best
}

func (q *Queue[T]) class(priority int) *class {
	c := q.classes[priority]
	if c == nil {
		c = &class{virtual: make(map[string]float64)}
		if q.classes == nil {
			q.classes = make(map[int]*class)
		}
		q.classes[priority] = c
	}
	return c
}

func (c *class) at(account string) float64 { return max(c.virtual[account], c.now) }

// charge gives an account a turn.
func (q *Queue[T]) charge(t Turn) {
	c := q.class(t.Priority)
	c.now = c.at(t.Account)
	c.virtual[t.Account] = c.now + t.cost().Seconds()/t.share()
	if len(c.virtual) > maxQueuedAccounts {
		for name, v := range c.virtual {
			if v <= c.now {
				delete(c.virtual, name)
			}
		}
	}
}

// forget drops the state of priorities at which nothing waits.
func (q *Queue[T]) forget() {
	for p := range q.classes {
		if !slices.ContainsFunc(q.items, func(e queued[T]) bool { return e.Priority == p }) {
			delete(q.classes, p)
		}
	}
}

// Ahead returns the cost of the waiting requests that precede a new one if no other
// arrives.
func (q *Queue[T]) Ahead(t Turn) time.Duration {
	var own, ahead time.Duration
	others := make(map[string]time.Duration)
	shares := make(map[string]float64)
	for _, e := range q.items {
		switch {
		case e.Priority < t.Priority:
			ahead += e.cost()
		case e.Priority > t.Priority:
		case e.Account != t.Account:
			others[e.Account] += e.cost()
			shares[e.Account] = e.share()
		case !t.Deadline.Before(e.Deadline):
			own += e.cost()
		}
	}
	for account, cost := range others {
		// While this account's requests up to the new one take their turns, another account
		// gets at most as much in proportion to its weight.
		ahead += min(cost, time.Duration(float64(own+t.cost())*shares[account]/t.share()))
	}
	return own + ahead
}

// Hopeless removes and returns the requests whose turns come too late for their deadlines if
// the queue moves on as it does now. wait returns how long work of a given cost takes.
// Requests for which mayRefuse is false stay.
func (q *Queue[T]) Hopeless(now time.Time, wait func(time.Duration) time.Duration, mayRefuse func(T) bool) (out []T) {
	if q.allServable(now, wait, mayRefuse) {
		return nil
	}
	var work time.Duration
	order := q.clone()
	for i := order.first(); i >= 0; i = order.first() {
		e := order.items[i]
		order.items = slices.Delete(order.items, i, i+1)
		if mayRefuse(e.value) && !Servable(now, e.Deadline, wait(work), e.Cost) {
			out = append(out, e.value)
			continue
		}
		order.charge(e.Turn)
		work += e.cost()
	}
	for _, v := range out {
		q.Remove(v)
	}
	return out
}

// allServable reports whether all requests that may be refused can be answered in whatever
// order. It spares Hopeless most of its work while the queue is short.
func (q *Queue[T]) allServable(now time.Time, wait func(time.Duration) time.Duration, mayRefuse func(T) bool) bool {
	var longest time.Duration
	for _, e := range q.items {
		longest = max(longest, e.Cost)
	}
	last := wait(q.Work())
	return !slices.ContainsFunc(q.items, func(e queued[T]) bool {
		return mayRefuse(e.value) && !Servable(now, e.Deadline, last, longest)
	})
}

func (q *Queue[T]) clone() *Queue[T] {
	out := &Queue[T]{items: slices.Clone(q.items), classes: make(map[int]*class, len(q.classes))}
	for p, c := range q.classes {
		out.classes[p] = &class{now: c.now, virtual: maps.Clone(c.virtual)}
	}
	return out
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue[T]) Remove(v T) bool {
	i := slices.IndexFunc(q.items, func(e queued[T]) bool { return e.value == v })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.forget()
	return true
}

// Clear removes and returns all requests in the order of priority and deadline.
func (q *Queue[T]) Clear() []T {
	out := make([]T, len(q.items))
	for i, e := range q.items {
		out[i] = e.value
	}
	q.items, q.classes = nil, nil
	return out
}

// Stretch estimates how much longer than their cost the attempts at a service take, as
// when its searchers are slow.
type Stretch struct {
	value float64 // 0 before the first attempt
}

// Parameters of Stretch.
const (
	stretchGain = 0.1 // weight of an attempt
	// maxStretch keeps one attempt that took very long from closing the queue.
	maxStretch = 20
)

// Observe records an attempt that was estimated to take cost.
func (s *Stretch) Observe(took, cost time.Duration) {
	if cost <= 0 {
		return
	}
	ratio := min(took.Seconds()/cost.Seconds(), maxStretch)
	if s.value == 0 {
		s.value = ratio
		return
	}
	s.value += stretchGain * (ratio - s.value)
}

// Wait returns how long work of the given cost takes if so many attempts run at once.
func (s *Stretch) Wait(work time.Duration, parallel int) time.Duration {
	stretch := s.value
	if stretch == 0 {
		stretch = 1
	}
	return time.Duration(stretch * float64(work) / float64(max(parallel, 1)))
}

// Servable reports whether a request that would wait so long for a searcher, and then
// take the expected time, ends by its deadline. Refusing one that would not costs its
// caller nothing but the wait.
func Servable(now, deadline time.Time, wait, expected time.Duration) bool {
	return !now.Add(wait + expected).After(deadline)
}

// Room returns the number of requests that this host may have in flight at the searchers
// that may receive any.
func (g *Group) Room(now time.Time) (n int) {
	for _, s := range g.searchers {
		if s.usable() && !s.pausedAt(now) {
			n += s.capacity
		}
	}
	return n
}
