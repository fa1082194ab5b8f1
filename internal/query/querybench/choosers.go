package querybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// Balancer chooses replicas for one host, based on the sub-requests that the
// host has sent and how they ended.
type Balancer interface {
	query.Chooser
	// Sent records that a sub-request was sent.
	Sent(now time.Time, r query.Replica)
	// Done records the end of a sub-request.
	Done(now time.Time, r query.Replica, latency time.Duration, end Outcome)
}

// Outcome is how a sub-request ended from the view of its host.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota
	Failed
	Cancelled      // first attempt or retry that was cancelled
	CancelledHedge // hedge that was cancelled, which says nothing about its replica
)

// randomBalancer picks at random.
type randomBalancer struct{ *query.RandomChooser }

func (randomBalancer) Sent(time.Time, query.Replica)                         {}
func (randomBalancer) Done(time.Time, query.Replica, time.Duration, Outcome) {}

// penaltyTime is the time during which a failed replica is picked only if the
// other candidate failed too.
const penaltyTime = time.Second

// silentAfter is the number of consecutive cancelled sub-requests after which a
// replica counts as failed. A straggler is cancelled when its hedge answers, so
// two in a row are common at high load.
const silentAfter = 4

// searcherRecord is what a host has observed of one searcher.
type searcherRecord struct {
	inFlight  int
	cancelled int // sub-requests cancelled since the last reply
	failedAt  time.Time
}

// twoChoices picks the one of two random replicas to which this host has fewer
// sub-requests in flight.
type twoChoices struct {
	rng     *rand.Rand
	records []searcherRecord // by searcher
	reports []float64        // reported loads; nil if they are not trusted
}

func newTwoChoices(rng *rand.Rand, searchers int) *twoChoices {
	return &twoChoices{rng: rng, records: make([]searcherRecord, searchers)}
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
		rec.cancelled = 0
	case Failed:
		rec.failedAt = now
	case Cancelled:
		rec.cancelled++
	}
	if rec.cancelled >= silentAfter {
		rec.failedAt = now
	}
}

// omniscient picks the replica that will answer first. It knows the queues and
// the service times of all searchers, which no host can know.
type omniscient struct{ b *bench }

func (c omniscient) Pick(_ time.Time, candidates []query.Replica, _ string) (int, bool) {
	best, bestTime := 0, time.Duration(0)
	for i := range candidates {
		s := c.b.searchers[searcherIndex(&candidates[i])]
		if !c.b.healthy(s.target) {
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

// sharedQueues picks the replica with the fewest sub-requests from all hosts. It
// shows the cost of hosts not sharing these counts.
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
		panic("querybench: invalid searcher name " + r.Searcher)
	}
	return k
}
