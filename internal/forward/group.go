package forward

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Group holds the searchers of one service.
type Group struct {
	Service   string
	searchers []*Searcher
	budget    Budget
}

// NewGroup returns a group without searchers.
func NewGroup(service string, limits BudgetLimits) *Group {
	return &Group{Service: service, budget: NewBudget(limits)}
}

// Budget returns the budget of further attempts at this service.
func (g *Group) Budget() *Budget { return &g.budget }

// Searchers returns the searchers. The caller must not modify the result.
func (g *Group) Searchers() []*Searcher { return g.searchers }

// SearcherSpec describes a searcher that requests may be sent to.
type SearcherSpec struct {
	Identity
	Slots    int
	Cold     bool
	Capacity int // requests in progress that this host may have there
}

// Replace sets the searchers. What is known of those that stay is kept.
func (g *Group) Replace(specs []SearcherSpec) {
	old := g.searchers
	g.searchers = make([]*Searcher, 0, len(specs))
	for _, spec := range specs {
		i := slices.IndexFunc(old, func(s *Searcher) bool { return s.Identity == spec.Identity })
		var s *Searcher
		if i >= 0 {
			s = old[i]
		} else {
			s = &Searcher{Identity: spec.Identity}
		}
		s.Slots, s.Cold, s.capacity = max(spec.Slots, 1), spec.Cold, max(spec.Capacity, 1)
		g.searchers = append(g.searchers, s)
	}
}

// Choice weighs what a choice takes into account besides the searchers.
type Choice struct {
	FailureDomain string        // of this host
	Usual         time.Duration // usual time of an attempt on the route
	Objective     time.Duration // of the route
	Tried         []*Searcher   // asked for this request before
	Again         bool          // a searcher that was tried may be asked again
	Within        time.Duration // longest expected time that is of use; 0 for any
}

// choiceSpread mixes chance into the expected times, so that searchers that are
// about equal take turns and what is known of them stays fresh.
const choiceSpread = 0.15

// Times that a choice adds to a searcher's expected time.
const (
	// farPenalty is the round trip to another failure domain.
	farPenalty = 4 * time.Millisecond
	// farShare is the share of the objective that an answer may be expected
	// later for the sake of a near searcher. Bytes between failure domains are
	// dear, and most answers leave more time than that.
	farShare = 0.08
	// failurePenalty is the time that a failed attempt costs.
	failurePenalty = 60 * time.Millisecond
	// stallFactor is how many usual times an attempt waits before its searcher
	// counts as stalled.
	stallFactor = 3
)

// Choose returns the searcher with the least expected time, or nil. Busy
// reports that only the bound on requests in progress kept it from one.
//
// It answers two loads: searchers of one shard that differ in speed or pause
// for longer than the objective allows, and searchers that fail while their
// health check passes.
func (g *Group) Choose(now time.Time, c Choice, rng *rand.Rand) (chosen *Searcher, busy bool) {
	var best, ejected *Searcher
	var bestTime time.Duration
	for _, s := range g.searchers {
		if !c.Again && slices.Contains(c.Tried, s) {
			continue
		}
		if !s.usable() {
			continue
		}
		if s.inFlight >= s.capacity {
			busy = true
			continue
		}
		if now.Before(s.ejected) {
			if ejected == nil || s.ejected.Before(ejected.ejected) {
				ejected = s
			}
			continue
		}
		t := s.expected(now, c)
		t += time.Duration(choiceSpread * rng.Float64() * float64(t))
		if best == nil || t < bestTime {
			best, bestTime = s, t
		}
	}
	switch {
	case best != nil && c.Within > 0 && bestTime > c.Within:
		return nil, false
	case best != nil:
		return best, false
	case ejected != nil && !busy && c.Within == 0:
		// All that are left failed lately; one of them may be back.
		return ejected, false
	}
	return nil, busy
}

// expected returns the time that an attempt is expected to take.
func (s *Searcher) expected(now time.Time, c Choice) time.Duration {
	usual := max(c.Usual, time.Millisecond)
	work := time.Duration(s.slownessAt(now) * float64(usual))
	t := work + work*time.Duration(s.inFlight)/time.Duration(s.Slots)
	if s.FailureDomain != c.FailureDomain {
		t += max(farPenalty, time.Duration(farShare*float64(c.Objective)))
	}
	if wait := s.longestWait(now); wait > stallFactor*work {
		t += wait
	}
	return t + time.Duration(decay(s.failures, 0, s.failuresT, now)*float64(failurePenalty))
}

// Expected returns the least expected time of an attempt. It is not ok if no
// searcher accepts connections, as far as is known.
func (g *Group) Expected(now time.Time, c Choice) (least time.Duration, ok bool) {
	for _, s := range g.searchers {
		if !s.usable() {
			continue
		}
		if t := s.expected(now, c); !ok || t < least {
			least, ok = t, true
		}
	}
	return least, ok
}

func (s *Searcher) usable() bool { return !s.down && !s.gone }

// Gone reports whether another searcher answers at an address.
func (g *Group) Gone(id Identity) bool {
	return slices.ContainsFunc(g.searchers, func(s *Searcher) bool { return s.Identity == id && s.gone })
}

// Connected notes whether a connection to a searcher could be opened.
func (g *Group) Connected(id Identity, ok bool) {
	for _, s := range g.searchers {
		if s.Identity == id {
			s.down = !ok
		}
	}
}

// Begin chooses a searcher for a run and notes the attempt as begun there.
func (g *Group) Begin(now time.Time, c Choice, ask Ask, rng *rand.Rand) (s *Searcher, busy bool) {
	c.Tried, c.Again, c.Within = ask.Tried, ask.Again, ask.Within
	s, busy = g.Choose(now, c, rng)
	if s == nil || ask.Extra && !g.budget.Spend(now) {
		return nil, busy
	}
	s.begin(now)
	return s, false
}

// End notes the result of an attempt that began at a time.
func (g *Group) End(now, began time.Time, s *Searcher, usual time.Duration, r Result) {
	s.observe(now, began, usual, r)
}
