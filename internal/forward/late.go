package forward

import (
	"cmp"
	"slices"
	"time"
)

// lateSubRequest is a sub-request that is expected to be answered too late.
type lateSubRequest struct {
	*subRequest
	weight float64 // expected seconds with jitter; the greatest are skipped first
}

// findLate gives up the sub-requests that no searcher can answer, and returns
// those that are expected to be answered after the cutoff.
func (r *Run) findLate(now time.Time) (late []lateSubRequest) {
	for _, sub := range r.subs {
		expected, ok := r.env.Expected(now, sub.service)
		switch {
		case !ok:
			r.giveUp(sub)
		case expected > r.deadline.Sub(now) && r.pausedTooLong(now, sub, AttemptOptions{}):
			r.giveUp(sub)
		case expected > r.cutoff.Sub(now):
			jitter := 1 + skipJitter*float64(r.env.IntN(skipJitterSteps))/skipJitterSteps
			late = append(late, lateSubRequest{sub, jitter * expected.Seconds()})
		}
	}
	return late
}

// refuseLate gives up a request to a single service that no searcher is expected to answer
// by the deadline. The pace of the searchers decays while nothing is sent, but the work of
// the route is only learned from answers, so a few requests are sent all the same.
func (r *Run) refuseLate(now time.Time, late []lateSubRequest) {
	if r.route.Gather != nil || r.endsEarly {
		return
	}
	for _, sub := range late {
		if r.env.IntN(lateProbes) == 0 {
			continue
		}
		expected, _ := r.env.Expected(now, sub.service)
		sub.crowded, sub.wait = true, expected
		r.giveUp(sub.subRequest)
	}
}

// lateProbes is the number of requests of which one is sent although no answer is expected
// by its deadline.
const lateProbes = 16

// skipJitter randomizes which late sub-requests are skipped, so that the
// remaining load is spread over shards that are about equally late.
const (
	skipJitter      = 0.5
	skipJitterSteps = 1024
)

// skipLate gives up as many of the late sub-requests as an answer may lack, the
// latest first.
//
// It relieves shards whose remaining searchers can't serve all requests, after
// crashes or while some are slow. Their answers would otherwise miss the
// objective of every request. If each request skips some of these shards, they
// get less work and answer the rest in time.
func (r *Run) skipLate(late []lateSubRequest) {
	if r.route.Gather == nil {
		return
	}
	allowed := len(r.subs) - r.unanswerable() - r.minEarly
	slices.SortFunc(late, func(a, b lateSubRequest) int { return cmp.Compare(b.weight, a.weight) })
	for _, sub := range late[:min(max(allowed, 0), len(late))] {
		r.giveUp(sub.subRequest)
	}
}
