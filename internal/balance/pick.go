package balance

import (
	"math/rand/v2"
	"time"
)

// PickOptions holds the constraints of a Pick. The zero value is for a first
// attempt.
type PickOptions struct {
	// Avoid lists replicas that already received this sub-request. Pick returns
	// none of them and prefers other targets and failure domains.
	Avoid []Replica
	// MaxEjectedPercent limits the percentage of the candidates that Pick treats
	// as ejected; 0 means DefaultMaxEjectedPercent.
	MaxEjectedPercent int
}

// PickResult is the result of a Pick.
type PickResult uint8

// Results of Pick.
const (
	Picked      PickResult = iota
	AtLimit                // every candidate that is not ejected is at its limit; the replica is one to wait for
	NoCandidate            // no candidate is left; the replica is empty
)

// Reasons to prefer another candidate, in order of increasing weight. Their sum
// is the class of a candidate; a lower class is always preferred.
const (
	slowStartSkipped uint8 = 1 << iota // in its slow start and deprioritized at random
	sameDomain                         // in a failure domain to avoid
	sameTarget                         // at a target to avoid
	atLimit                            // concurrency limit reached
	ejectedClass                       // ejected; waiting for a candidate at its limit is better
)

const (
	// Costs whose ratio is above this count as equal, and the first random choice
	// is kept. Otherwise tiny differences left by decayed observations would
	// always decide.
	equalCostRatio = 0.95

	failureWeight = 4.0 // cost factor is 1 plus this if every sub-request fails or is shed
	priorWeight   = 0.5 // weight of the mean over the candidates, in outcomes
	hintSamples   = 1.0 // hints are ignored if the decayed number of outcomes is at least this
	unhealthyCost = 1.5
	loadCost      = 0.5 // cost factor at a reported load of 1 is 1 plus this
)

// choice is a candidate under consideration.
type choice struct {
	index        int // among the candidates
	class        uint8
	rec          *record
	factor       float64 // decay of the record's sums
	ejectedUntil instant
}

// Pick returns the cheaper of two random candidates (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing", 2001). It changes no record.
func (s *State) Pick(now time.Time, candidates []Replica, opts PickOptions, rng *rand.Rand) (Replica, PickResult) {
	at := s.instant(now)
	choices := s.scratch[:0]
	ejected := 0
	var latency, work float64
	for i := range candidates {
		r := &candidates[i]
		if contains(opts.Avoid, r.Key) {
			continue
		}
		c := choice{index: i, rec: s.records[r.Key], class: avoidClass(opts.Avoid, r)}
		s.classify(at, &c, r, rng)
		if c.class&ejectedClass != 0 {
			ejected++
		}
		if c.rec != nil {
			latency += c.factor * c.rec.load.latency
			work += c.factor * c.rec.load.work
		}
		choices = append(choices, c)
	}
	s.scratch = choices
	if len(choices) == 0 {
		return Replica{}, NoCandidate
	}
	capEjections(choices, ejected, len(candidates), opts.MaxEjectedPercent)

	prior := 1.0
	if work > 0 {
		prior = latency / work
	}
	best := pickTwo(choices, rng, func(c *choice) float64 { return s.cost(now, c, &candidates[c.index], prior) })
	if best.class&atLimit != 0 {
		return candidates[best.index], AtLimit
	}
	return candidates[best.index], Picked
}

func contains(rs []Replica, k Key) bool {
	for i := range rs {
		if rs[i].Key == k {
			return true
		}
	}
	return false
}

func avoidClass(avoid []Replica, r *Replica) uint8 {
	var class uint8
	for i := range avoid {
		if avoid[i].FailureDomain == r.FailureDomain {
			class |= sameDomain
		}
		if avoid[i].Target == r.Target {
			class |= sameTarget
		}
	}
	return class
}

func (s *State) classify(now instant, c *choice, r *Replica, rng *rand.Rand) {
	if share := s.share(now, c.rec, r.Cold); share < 1 && rng.Float64() >= share {
		c.class |= slowStartSkipped
	}
	if c.rec == nil {
		return
	}
	c.factor = c.rec.load.factor(now, s.cfg.HalfLife)
	c.ejectedUntil = c.rec.ejectedUntil()
	if now < c.ejectedUntil {
		c.class |= ejectedClass
	}
	if c.rec.inFlight >= c.rec.limit.Value() {
		c.class |= atLimit
	}
}

// share returns the probability that a searcher is a regular candidate: below 1
// during its slow start, otherwise 1. A slow start begins with the first
// request to a cold searcher and at the end of an ejection.
func (s *State) share(now instant, rec *record, cold bool) float64 {
	if rec == nil {
		if cold {
			return s.cfg.SlowStartShare
		}
		return 1
	}
	since := max(rec.slowStartAt, rec.ejectedUntil())
	if cold && !rec.cold {
		since = now // restarted since the last request
	}
	age := now - since
	if since == 0 || age >= instant(s.cfg.SlowStart) {
		return 1
	}
	return max(s.cfg.SlowStartShare, float64(age)/float64(s.cfg.SlowStart))
}

// ejectedUntil returns the end of the last ejection of the searcher or its
// target, which may have passed; zero if there was none.
func (rec *record) ejectedUntil() instant {
	return max(rec.health.until, rec.target.health.until)
}

// capEjections lifts the ejections that end first until at most the given
// percentage of the candidates is ejected and at least one choice is not.
func capEjections(choices []choice, ejected, candidates, percent int) {
	if ejected == 0 {
		return
	}
	if percent <= 0 {
		percent = DefaultMaxEjectedPercent
	}
	allowed := min(candidates*percent/100, len(choices)-1)
	for ; ejected > allowed; ejected-- {
		var first *choice
		for i := range choices {
			c := &choices[i]
			if c.class&ejectedClass != 0 && (first == nil || c.ejectedUntil < first.ejectedUntil) {
				first = c
			}
		}
		first.class &^= ejectedClass
	}
}

// pickTwo returns the cheaper of two random choices of the lowest class.
func pickTwo(choices []choice, rng *rand.Rand, cost func(*choice) float64) *choice {
	class := choices[0].class
	n := 0
	for i := range choices {
		switch {
		case choices[i].class < class:
			class = choices[i].class
			n = 1
		case choices[i].class == class:
			n++
		}
	}
	if n == 1 {
		return nth(choices, class, 0)
	}
	i := rng.IntN(n)
	j := rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a := nth(choices, class, i)
	b := nth(choices, class, j)
	if cost(b) < equalCostRatio*cost(a) {
		return b
	}
	return a
}

func nth(choices []choice, class uint8, n int) *choice {
	for i := range choices {
		if choices[i].class != class {
			continue
		}
		if n == 0 {
			return &choices[i]
		}
		n--
	}
	return nil
}

// cost estimates the latency of one more request, from the searcher's pace and the work
// that it has. As observations decay, the pace returns to the mean over the candidates, so
// a searcher that was slow once is tried again.
func (s *State) cost(now time.Time, c *choice, r *Replica, prior float64) float64 {
	work := workSeconds(r.Cost)
	if c.rec == nil {
		return prior * work * hintFactor(r.Hint)
	}
	d := &c.rec.load
	pace := (c.factor*d.latency + priorWeight*prior*work) / (c.factor*d.work + priorWeight*work)
	failureRate := c.factor * (d.failed + d.shed) / (c.factor*d.total + priorWeight)
	cost := (pace*work + c.rec.open.Ahead(now, r.Cost.Work, pace)) * (1 + failureWeight*failureRate)
	if c.factor*d.total < hintSamples {
		cost *= hintFactor(r.Hint)
	}
	return cost
}

func hintFactor(h Hint) float64 {
	f := 1 + loadCost*min(1, max(0, h.Load))
	if h.Unhealthy {
		f *= unhealthyCost
	}
	return f
}
