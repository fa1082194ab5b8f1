package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Group holds the searchers of one service and its budget of extra attempts.
type Group struct {
	Service   string
	searchers []*Searcher
	budget    Budget
	reasons   ExtraReasonCounts // of extra attempts since TakeExtraReasons
	gate      Gate

	restrictions map[Identity]restriction // of searchers that are not in the group
}

// NewGroup returns a group without searchers.
func NewGroup(service string, limits BudgetLimits) *Group {
	return &Group{Service: service, budget: NewBudget(limits), gate: openGate{}, restrictions: make(map[Identity]restriction)}
}

// Budget returns the budget of extra attempts at this service.
func (g *Group) Budget() *Budget { return &g.budget }

// Searchers returns the searchers. The caller must not modify the result.
func (g *Group) Searchers() []*Searcher { return g.searchers }

// SearcherSpec describes a searcher that requests may be sent to.
type SearcherSpec struct {
	Identity
	Slots    int
	Cold     bool
	Capacity int // most requests that this host may have in flight there
	// OnDemand means that connections are opened for requests only, and none is kept
	// open in advance.
	OnDemand bool
}

// Replace sets the searchers. Those that remain keep their statistics.
func (g *Group) Replace(now time.Time, specs []SearcherSpec) {
	old := g.searchers
	g.searchers = make([]*Searcher, 0, len(specs))
	for _, spec := range specs {
		i := slices.IndexFunc(old, func(s *Searcher) bool { return s.Identity == spec.Identity })
		var s *Searcher
		if i >= 0 {
			s = old[i]
		} else {
			s = &Searcher{Identity: spec.Identity}
			g.restore(s)
		}
		s.Slots, s.Cold, s.capacity, s.onDemand = max(spec.Slots, 1), spec.Cold, max(spec.Capacity, 1), spec.OnDemand
		g.searchers = append(g.searchers, s)
	}
	for _, s := range old {
		if !slices.Contains(g.searchers, s) {
			g.remember(now, s)
		}
	}
	g.forgetRestrictions(now)
}

// Criteria holds what Choose takes into account besides the searchers.
type Criteria struct {
	FailureDomain string        // of this host
	MedianTime    time.Duration // estimated work of the request: median time of an attempt of its kind
	Objective     time.Duration // of the route
	Tried         []*Searcher   // by earlier attempts
	AllowTried    bool          // a searcher in Tried may be chosen again
	MaxTime       time.Duration // longest useful expected time; 0 for no limit
}

// choiceJitter is the largest random share that is added to an expected time,
// so that searchers that are about equally fast take turns and their statistics
// stay current.
const choiceJitter = 0.15

// Parameters of a searcher's expected time.
const (
	// crossDomainLatency is the round trip to another failure domain.
	crossDomainLatency = 4 * time.Millisecond
	// crossDomainShare is the share of the objective by which a searcher in this
	// host's failure domain may be slower and still be preferred. Traffic between
	// failure domains is expensive, and most answers have that much time left.
	crossDomainShare = 0.08
	// failurePenalty is the time that a failed attempt costs.
	failurePenalty = 60 * time.Millisecond
)

// Choose returns the searcher with the least expected time, or nil. If it is
// nil, busy reports that a usable searcher was passed over only because it is
// at its capacity.
//
// It handles searchers of one shard that differ in speed or pause for longer
// than the objective allows, searchers that fail while their health checks pass,
// and searchers that leave or asked for a pause.
func (g *Group) Choose(now time.Time, c Criteria, rng *rand.Rand) (chosen *Searcher, busy bool) {
	var best, ejected *Searcher
	var bestTime time.Duration
	for _, s := range g.searchers {
		if !c.AllowTried && slices.Contains(c.Tried, s) {
			continue
		}
		if !s.usable() || s.pausedAt(now) || !g.admits(now, s) {
			continue
		}
		if s.load.InFlight() >= s.capacity {
			busy = true
			continue
		}
		if now.Before(s.ejectedUntil) {
			if ejected == nil || s.ejectedUntil.Before(ejected.ejectedUntil) {
				ejected = s
			}
			continue
		}
		t := s.expected(now, c)
		t += time.Duration(choiceJitter * rng.Float64() * float64(t))
		if best == nil || t < bestTime {
			best, bestTime = s, t
		}
	}
	switch {
	case best != nil && c.MaxTime > 0 && bestTime > c.MaxTime:
		return nil, false
	case best != nil:
		return best, false
	case ejected != nil && !busy && c.MaxTime == 0:
		// Only ejected searchers are left; the one whose ejection ends first
		// may have recovered.
		return ejected, false
	}
	return nil, busy
}

// expected returns the time that an attempt is expected to take.
func (s *Searcher) expected(now time.Time, c Criteria) time.Duration {
	return s.load.Expected(now, c.MedianTime, s.Slots, s.basePace()) + s.crossing(c) + s.failureTime(now)
}

// crossing returns what a searcher in another failure domain must be faster by.
func (s *Searcher) crossing(c Criteria) time.Duration {
	if s.FailureDomain == c.FailureDomain {
		return 0
	}
	return max(crossDomainLatency, time.Duration(crossDomainShare*float64(c.Objective)))
}

// failureTime returns the time that failed attempts are expected to cost.
func (s *Searcher) failureTime(now time.Time) time.Duration {
	return time.Duration(decay(s.failureRate, 0, s.failureRateTime, now) * float64(failurePenalty))
}

// Expected returns the least expected time of an attempt, including the rest of
// a pause. It is not ok if no searcher is usable: the last dial to each one
// failed, it leaves, the gate keeps requests away, or another searcher has its address.
func (g *Group) Expected(now time.Time, c Criteria) (least time.Duration, ok bool) {
	for _, s := range g.searchers {
		if !s.usable() || !g.gate.Admits(now, s.Identity) {
			continue
		}
		if t := s.expected(now, c) + max(s.pausedUntil.Sub(now), 0); !ok || t < least {
			least, ok = t, true
		}
	}
	if !ok {
		g.recordHeld(now) // the request ends without a choice
	}
	return least, ok
}

// OnDemand reports whether connections to the searcher are opened for requests only.
func (s *Searcher) OnDemand() bool { return s.onDemand }

func (s *Searcher) usable() bool { return !s.down && !s.gone && !s.leaving }

// NeedsProbe reports whether a connection is to be opened to a searcher without a request,
// given the number of open ones. After a failed dial it gets no requests until a dial
// succeeds, also while earlier connections are open.
func (s *Searcher) NeedsProbe(open int) bool { return open == 0 || s.down && open < s.capacity }

// RecordDial records whether a connection to a searcher could be opened.
func (g *Group) RecordDial(id Identity, ok bool) {
	for _, s := range g.searchers {
		if s.Identity == id {
			s.down = !ok
		}
	}
}

// Begin chooses a searcher for an attempt, charges an extra attempt to the
// budget, and records the attempt as in flight.
func (g *Group) Begin(now time.Time, c Criteria, opts AttemptOptions, rng *rand.Rand) (s *Searcher, busy bool) {
	c.Tried, c.AllowTried, c.MaxTime = opts.Tried, opts.AllowTried, opts.MaxTime
	s, busy = g.Choose(now, c, rng)
	if s == nil || opts.Extra && !opts.Granted && !g.budget.Spend(now) {
		return nil, busy
	}
	if !g.gate.Begin(now, s.Identity) {
		return nil, false
	}
	if opts.Extra {
		g.reasons[opts.Reason]++
	}
	s.begin(now, c.MedianTime)
	return s, false
}

// TakeExtraReasons returns the extra attempts since the last call, by reason.
func (g *Group) TakeExtraReasons() ExtraReasonCounts {
	r := g.reasons
	g.reasons = ExtraReasonCounts{}
	return r
}

// End records the result of an attempt that began at the given time, with the given
// MedianTime of its Criteria. It returns what the result says about the estimates.
func (g *Group) End(now, began time.Time, s *Searcher, median time.Duration, r Result) workload.Observation {
	return s.observe(now, began, median, r)
}

// Report records what a searcher stated about its load in a reply.
func (g *Group) Report(now time.Time, s *Searcher, r workload.Report) { s.load.Report(now, r) }

// Contradicted returns the searchers whose reports of their load their responses contradict.
func (g *Group) Contradicted(now time.Time) []Identity {
	var out []Identity
	for _, s := range g.searchers {
		if s.load.Contradicted(now) {
			out = append(out, s.Identity)
		}
	}
	return out
}

// Load returns what is known about the work at the searcher. The caller must not modify
// it.
func (s *Searcher) Load() *workload.Tracker { return &s.load }
