package balance

import (
	"math/rand/v2"
	"time"
)

// PickOptions refine a choice. The zero value is for a first attempt.
type PickOptions struct {
	// Avoid lists replicas that already have this sub-request. None of them
	// is picked; other targets and failure domains are preferred.
	Avoid []Replica
	// MaxEjectedPercent bounds how many of the candidates may be ejected at
	// once; 0 means DefaultMaxEjectedPercent.
	MaxEjectedPercent int
}

// PickResult says what a Pick found.
type PickResult uint8

// Results of Pick.
const (
	Picked      PickResult = iota
	AtLimit                // every candidate's limit is reached; the replica is the one to wait for
	NoCandidate            // no candidate is left; the replica is empty
)

// Reasons to prefer another candidate, in growing weight: a candidate with a
// lower sum is always preferred.
const (
	resting      uint8 = 1 << iota // in its slow start, and not its turn
	sameDomain                     // in a failure domain to avoid
	sameTarget                     // at a target to avoid
	atLimit                        // concurrency limit reached
	ejectedClass                   // ejected: a wait for another candidate is better
)

const (
	// Costs closer together than this are equal, so the random choice stands.
	// Without it the remains of faded observations would decide for ever.
	clearlyLower = 0.95

	errorWeight   = 4.0 // cost factor at an error rate of 1 is 1 plus this
	priorWeight   = 0.5 // outcomes that the mean of the other candidates counts for
	hintSamples   = 1.0 // decayed outcomes from which hints no longer count
	unhealthyCost = 1.5
	loadCost      = 0.5 // cost factor at a reported load of 1 is 1 plus this
)

// choice is a candidate under consideration.
type choice struct {
	index  int // among the candidates
	class  uint8
	rec    *record
	factor float64 // decay of the record's sums
	until  instant
}

// Pick chooses one of the candidates: of two random ones the one with the
// lower cost (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001). It changes no record.
func (s *State) Pick(now time.Time, candidates []Replica, opts PickOptions, rng *rand.Rand) (Replica, PickResult) {
	at := s.instant(now)
	choices := s.scratch[:0]
	ejected := 0
	var latency, timed float64
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
			timed += c.factor * c.rec.load.timed
		}
		choices = append(choices, c)
	}
	s.scratch = choices
	if len(choices) == 0 {
		return Replica{}, NoCandidate
	}
	readmit(choices, ejected, len(candidates), opts.MaxEjectedPercent)

	prior := 1.0
	if timed > 0 {
		prior = latency / timed
	}
	best := pickTwo(choices, rng, func(c *choice) float64 { return s.cost(c, &candidates[c.index], prior) })
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
		c.class |= resting
	}
	if c.rec == nil {
		return
	}
	c.factor = c.rec.load.factor(now, s.cfg.HalfLife)
	c.until = c.rec.ejectedUntil()
	if now < c.until {
		c.class |= ejectedClass
	}
	if c.rec.inFlight >= c.rec.limit.Value() {
		c.class |= atLimit
	}
}

// share returns how often a searcher may be picked relative to a warm one. A
// slow start begins with the first request to a cold searcher and at the end
// of an ejection.
func (s *State) share(now instant, rec *record, cold bool) float64 {
	if rec == nil {
		if cold {
			return s.cfg.SlowStartShare
		}
		return 1
	}
	since := max(rec.warmSince, rec.ejectedUntil())
	if cold && !rec.cold {
		since = now // restarted since the last request
	}
	age := now - since
	if since == 0 || age >= instant(s.cfg.SlowStart) {
		return 1
	}
	return max(s.cfg.SlowStartShare, float64(age)/float64(s.cfg.SlowStart))
}

// ejectedUntil returns when the last ejection of the searcher or its target
// ends or ended; zero if there was none.
func (rec *record) ejectedUntil() instant {
	return max(rec.health.until, rec.target.health.until)
}

// readmit lifts the ejections that end first, until no more candidates are
// ejected than allowed. One candidate always stays.
func readmit(choices []choice, ejected, candidates, percent int) {
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
			if c.class&ejectedClass != 0 && (first == nil || c.until < first.until) {
				first = c
			}
		}
		first.class &^= ejectedClass
	}
}

// pickTwo returns the cheaper of two random choices of the most preferred
// class.
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
	if cost(b) < clearlyLower*cost(a) {
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

// cost is the expected latency of one more request. Old observations fade to
// the mean of the other candidates, so a searcher that was slow once is tried
// again.
func (s *State) cost(c *choice, r *Replica, prior float64) float64 {
	if c.rec == nil {
		return prior * hintFactor(r.Hint)
	}
	d := &c.rec.load
	latency := (c.factor*d.latency + priorWeight*prior) / (c.factor*d.timed + priorWeight)
	trouble := c.factor * (d.failed + d.shed) / (c.factor*d.total + priorWeight)
	cost := float64(c.rec.inFlight+1) * latency * (1 + errorWeight*trouble)
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
