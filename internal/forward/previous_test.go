package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// previousEstimator is the choice before package workload: the searcher's slowness
// relative to the median time of the route, times the requests in flight per slot.
type previousEstimator struct {
	searchers map[*Searcher]*previousSearcher
	medians   map[string]*quantile
}

type previousSearcher struct {
	inFlight int
	slowness float64
	at       time.Time
	started  []time.Time
}

func newPrevious() estimator {
	return &previousEstimator{map[*Searcher]*previousSearcher{}, map[string]*quantile{}}
}

func (e *previousEstimator) of(s *Searcher) *previousSearcher {
	p := e.searchers[s]
	if p == nil {
		p = &previousSearcher{}
		e.searchers[s] = p
	}
	return p
}

func (e *previousEstimator) time(now time.Time, s *Searcher, work time.Duration, c Criteria) time.Duration {
	p := e.of(s)
	slow := time.Duration(decay(p.slowness, 1, p.at, now) * float64(max(work, time.Millisecond)))
	t := slow + slow*time.Duration(p.inFlight)/time.Duration(s.Slots)
	if s.FailureDomain != c.FailureDomain {
		t += max(crossDomainLatency, time.Duration(crossDomainShare*float64(c.Objective)))
	}
	if len(p.started) > 0 {
		if wait := now.Sub(p.started[0]); wait > 3*slow {
			t += wait
		}
	}
	return t
}

func (e *previousEstimator) choose(now time.Time, g *Group, work time.Duration, opts AttemptOptions, c Criteria, rng *rand.Rand) (best *Searcher, busy bool) {
	var least time.Duration
	for _, s := range g.searchers {
		if !opts.AllowTried && slices.Contains(opts.Tried, s) {
			continue
		}
		if e.of(s).inFlight >= s.capacity {
			busy = true
			continue
		}
		t := e.time(now, s, work, c)
		t += time.Duration(choiceJitter * rng.Float64() * float64(t))
		if best == nil || t < least {
			best, least = s, t
		}
	}
	if best == nil {
		return nil, busy
	}
	if opts.MaxTime > 0 && least > opts.MaxTime || opts.Extra && !g.budget.Spend(now) {
		return nil, false
	}
	p := e.of(best)
	p.inFlight++
	p.started = append(p.started, now)
	return best, false
}

func (e *previousEstimator) expected(now time.Time, g *Group, work time.Duration, c Criteria) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, s := range g.searchers {
		least = min(least, e.time(now, s, work, c))
	}
	return least
}

func (e *previousEstimator) ended(now time.Time, _ *Group, a *Attempt, work time.Duration, r Result) time.Duration {
	p := e.of(a.Searcher)
	p.inFlight--
	if i := slices.IndexFunc(p.started, func(t time.Time) bool { return t.Equal(a.Began) }); i >= 0 {
		p.started = slices.Delete(p.started, i, i+1)
	}
	if r == Good && work > 0 {
		ratio := min(max(float64(now.Sub(a.Began))/float64(work), 0.1), 12)
		p.slowness, p.at = math.Pow(decay(p.slowness, 1, p.at, now), 0.8)*math.Pow(ratio, 0.2), now
	}
	return 0
}

func (e *previousEstimator) cost(_ time.Time, k simKind, _ int) workload.Cost {
	m := e.medians[k.name]
	if m == nil {
		m = &quantile{q: 0.5}
		e.medians[k.name] = m
	}
	return workload.Cost{Work: time.Duration(m.value * float64(time.Second)), Relation: 1}
}

func (e *previousEstimator) observe(_ time.Time, k simKind, _ workload.Cost, took, _ time.Duration, shards int) {
	e.medians[k.name].observe(took.Seconds(), shards)
}

func (e *previousEstimator) report(time.Time, *Group, *Searcher, workload.Report) {}
