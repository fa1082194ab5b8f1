package querybench

import "time"

// Gate admits queries at one host.
type Gate interface {
	// Arrive decides whether a query starts, waits or is refused.
	Arrive(now time.Duration, a *activeQuery) Admission
	// Leave records the end of a query. It returns the waiting queries that
	// start now and those that are refused.
	Leave(now time.Duration, a *activeQuery) (start, refuse []*activeQuery)
	// Saturated reports whether queries have recently waited for capacity.
	Saturated(now time.Duration) bool
}

// Admission is the decision on one query.
type Admission uint8

// Admissions.
const (
	Start Admission = iota
	Wait
	Refuse
)

// Parameters of the fixed gate.
const (
	gateOvercommit = 4                     // queries in flight per slot of a shard, over all hosts
	gateReserve    = 2.0                   // multiple of the average duration that a query must have left to start
	saturatedWait  = 10 * time.Millisecond // a longer wait shows a lack of capacity
	saturatedFor   = 50 * time.Millisecond
)

// fixedGate limits the queries in flight of one host. Waiting queries start in
// the order of arrival, which is also the order of their deadlines.
type fixedGate struct {
	limit          int
	inFlight       int
	waiting        []*activeQuery
	duration       time.Duration // moving average of the time from start to end
	saturatedUntil time.Duration
}

func newFixedGate(s Shape, hosts int) *fixedGate {
	total := gateOvercommit * s.Replicas * s.Slots
	return &fixedGate{limit: max(2, (total+hosts-1)/hosts)}
}

func (g *fixedGate) Arrive(now time.Duration, a *activeQuery) Admission {
	if g.inFlight < g.limit {
		g.inFlight++
		return Start
	}
	if time.Duration(len(g.waiting)+1)*g.duration/time.Duration(g.limit)+g.need() > deadline {
		return Refuse
	}
	g.waiting = append(g.waiting, a)
	return Wait
}

// need returns the time that a query must have left to start.
func (g *fixedGate) need() time.Duration { return time.Duration(gateReserve * float64(g.duration)) }

// ewmaDivisor is the inverse of the weight of a query in the moving average.
const ewmaDivisor = 16

func (g *fixedGate) Leave(now time.Duration, ended *activeQuery) (start, refuse []*activeQuery) {
	g.duration += (now - ended.started - g.duration) / ewmaDivisor
	g.inFlight--
	for len(g.waiting) > 0 && g.inFlight < g.limit {
		a := g.waiting[0]
		g.waiting = g.waiting[1:]
		waited := now - a.arrived
		if waited > saturatedWait {
			g.saturatedUntil = now + saturatedFor
		}
		if waited+g.need() > deadline {
			refuse = append(refuse, a)
			continue
		}
		g.inFlight++
		start = append(start, a)
	}
	return start, refuse
}

func (g *fixedGate) Saturated(now time.Duration) bool { return now < g.saturatedUntil }
