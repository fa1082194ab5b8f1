package forward

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Candidate is a searcher as the choice sees it.
type Candidate struct {
	Identity
	Slots, Capacity, InFlight int
	Cold                      bool
	Estimate                  workload.Estimate
	Crossing                  time.Duration // added because it is in another failure domain
	Failures                  time.Duration // added for lost and failed attempts
	Expected                  time.Duration // the sum, without the random share of the choice
	Against                   []string      // why it gets no attempt now, apart from being slower
	Report                    workload.Report
	ReportAge                 time.Duration // 0 if there was no report
	ResponseAge               time.Duration // 0 if there was no response
}

// Explain returns the searchers in the order of the group, and the index of the one with
// the least expected time that may get an attempt, or -1. It changes nothing. The choice
// adds a random share to each expected time, so that searchers that are about equally fast
// take turns.
func (g *Group) Explain(now time.Time, c Criteria) (candidates []Candidate, best int) {
	best = -1
	for i, s := range g.searchers {
		x := s.explain(now, c)
		if len(x.Against) == 0 && (best < 0 || x.Expected < candidates[best].Expected) {
			best = i
		}
		candidates = append(candidates, x)
	}
	return candidates, best
}

func (s *Searcher) explain(now time.Time, c Criteria) Candidate {
	x := Candidate{
		Identity: s.Identity, Slots: s.Slots, Capacity: s.capacity, InFlight: s.load.InFlight(), Cold: s.Cold,
		Estimate: s.load.Explain(now, c.MedianTime, s.Slots, s.basePace()), Expected: s.expected(now, c),
		Crossing: s.crossing(c), Failures: s.failureTime(now),
	}
	var at time.Time
	if x.Report, at = s.load.LastReport(); !at.IsZero() {
		x.ReportAge = now.Sub(at)
	}
	if at = s.load.LastResponse(); !at.IsZero() {
		x.ResponseAge = now.Sub(at)
	}
	against := func(applies bool, reason string) {
		if applies {
			x.Against = append(x.Against, reason)
		}
	}
	against(s.down, "the last connection to it could not be opened")
	against(s.gone, "another searcher has its address")
	against(s.leaving, "it said that it leaves")
	against(s.pausedAt(now), "it asked for no requests until "+left(now, s.pausedUntil))
	against(x.InFlight >= s.capacity, "this host has as many requests in flight there as it may")
	against(now.Before(s.ejectedUntil), "it is ejected after lost attempts until "+left(now, s.ejectedUntil))
	return x
}

func left(now, until time.Time) string {
	return until.Sub(now).Round(time.Millisecond).String() + " from now"
}
