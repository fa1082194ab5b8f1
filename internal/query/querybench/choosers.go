package querybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// Balancer chooses replicas for one host and learns from what the host
// observes. An adapter of another replica choice implements it.
type Balancer interface {
	query.Chooser
	// Sent records a sub-request.
	Sent(now time.Time, r query.Replica)
	// Done records its end.
	Done(now time.Time, r query.Replica, latency time.Duration, end Outcome)
}

// Outcome is how a sub-request ended for its host.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota
	Failed
	Abandoned  // cancelled before a reply
	Superseded // a hedge that was cancelled, which says nothing about its replica
)

// randomBalancer picks at random.
type randomBalancer struct{ *query.RandomChooser }

func (randomBalancer) Sent(time.Time, query.Replica)                         {}
func (randomBalancer) Done(time.Time, query.Replica, time.Duration, Outcome) {}

// penaltyTime is how long a replica that failed is picked only if the other
// choice failed too.
const penaltyTime = time.Second

// silentAfter is the number of abandoned sub-requests in a row that shows a
// silent replica. Every straggler that lost to its hedge was abandoned, so
// that two in a row are common at high load.
const silentAfter = 4

// observed is what a host knows of one searcher.
type observed struct {
	inFlight  int
	abandoned int // sub-requests abandoned since the last reply
	failedAt  time.Time
}

// twoChoices compares two random replicas by the sub-requests that this host
// has in flight to them.
type twoChoices struct {
	rng     *rand.Rand
	records []observed // by searcher
	reports []float64  // reported loads; nil if they are not trusted
}

func newTwoChoices(rng *rand.Rand, searchers int) *twoChoices {
	return &twoChoices{rng: rng, records: make([]observed, searchers)}
}

func (c *twoChoices) Pick(now time.Time, candidates []query.Replica, _ string) (int, bool) {
	n := len(candidates)
	if n < 2 {
		return 0, n == 1
	}
	a := c.rng.IntN(n)
	b := c.rng.IntN(n - 1)
	if b >= a {
		b++
	}
	if c.cost(now, &candidates[b]) < c.cost(now, &candidates[a]) {
		return b, true
	}
	return a, true
}

// penalty exceeds any number of sub-requests in flight.
const penalty = 1000

func (c *twoChoices) cost(now time.Time, r *query.Replica) float64 {
	k := searcherIndex(r)
	if c.reports != nil {
		return c.reports[k]
	}
	rec := &c.records[k]
	cost := float64(rec.inFlight)
	if !rec.failedAt.IsZero() && now.Sub(rec.failedAt) < penaltyTime {
		cost += penalty
	}
	return cost
}

func (c *twoChoices) Sent(_ time.Time, r query.Replica) { c.records[searcherIndex(&r)].inFlight++ }

func (c *twoChoices) Done(now time.Time, r query.Replica, _ time.Duration, end Outcome) {
	rec := &c.records[searcherIndex(&r)]
	rec.inFlight--
	switch end {
	case Answered:
		rec.abandoned = 0
	case Failed:
		rec.failedAt = now
	case Abandoned:
		rec.abandoned++
	}
	if rec.abandoned >= silentAfter {
		rec.failedAt = now
	}
}

// omniscient picks the replica that will answer first, from the queues and
// the service times of all searchers. No host can know them.
type omniscient struct{ b *bench }

func (c omniscient) Pick(_ time.Time, candidates []query.Replica, _ string) (int, bool) {
	best, bestTime := 0, time.Duration(0)
	for i := range candidates {
		s := c.b.searchers[searcherIndex(&candidates[i])]
		if !c.b.healthy(s.instance) {
			continue
		}
		t := c.b.finishTime(s, c.b.serviceTime(c.b.current.id, s))
		if bestTime == 0 || t < bestTime {
			best, bestTime = i, t
		}
	}
	return best, len(candidates) > 0
}

func (omniscient) Sent(time.Time, query.Replica)                         {}
func (omniscient) Done(time.Time, query.Replica, time.Duration, Outcome) {}

// sharedQueues picks the replica with the fewest sub-requests of all hosts
// together. It shows what hosts that do not share their counts lose.
type sharedQueues struct{ b *bench }

func (c sharedQueues) Pick(_ time.Time, candidates []query.Replica, _ string) (int, bool) {
	best, least := 0, 0
	for i := range candidates {
		s := c.b.searchers[searcherIndex(&candidates[i])]
		if n := len(s.running) + len(s.waiting) + len(s.inbound); i == 0 || n < least {
			best, least = i, n
		}
	}
	return best, len(candidates) > 0
}

func (sharedQueues) Sent(time.Time, query.Replica)                         {}
func (sharedQueues) Done(time.Time, query.Replica, time.Duration, Outcome) {}

func searcherIndex(r *query.Replica) int {
	k, err := strconv.Atoi(r.Searcher)
	if err != nil {
		panic("querybench: searcher name " + r.Searcher)
	}
	return k
}
