package querybench

import "time"

// Gate admits queries at one host. An adapter of another admission control
// implements it.
type Gate interface {
	// Arrive decides on a query: start it, let it wait, or refuse it.
	Arrive(now time.Duration, a *active) Admission
	// Leave records the end of a query and returns those that start now and
	// those that are refused after all.
	Leave(now time.Duration, a *active) (start, refuse []*active)
	// Saturated reports whether queries have waited for a start lately.
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

// Values of the fixed gate.
const (
	gateOvercommit = 4                     // queries in flight per slot of a shard, over all hosts
	gateReserve    = 2.0                   // times the average duration that a query must have left
	saturatedWait  = 10 * time.Millisecond // wait that shows a lack of capacity
	saturatedFor   = 50 * time.Millisecond
)

// fixedGate limits the queries in flight of one host. Waiting queries start
// in the order of their deadlines, which is that of their arrival.
type fixedGate struct {
	limit          int
	inFlight       int
	waiting        []*active
	duration       time.Duration // moving average of the time from start to end
	saturatedUntil time.Duration
}

func newFixedGate(s Shape, hosts int) *fixedGate {
	total := gateOvercommit * s.Replicas * s.Slots
	return &fixedGate{limit: max(2, (total+hosts-1)/hosts)}
}

func (g *fixedGate) Arrive(now time.Duration, a *active) Admission {
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

// need is the time that a query must have left to start.
func (g *fixedGate) need() time.Duration { return time.Duration(gateReserve * float64(g.duration)) }

// averageOver is the number of queries over which the average is taken.
const averageOver = 16

func (g *fixedGate) Leave(now time.Duration, ended *active) (start, refuse []*active) {
	g.duration += (now - ended.started - g.duration) / averageOver
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
