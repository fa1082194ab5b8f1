package forward

import (
	"math"
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Identity names one incarnation of a searcher.
type Identity struct {
	Target        string
	Incarnation   uint64
	Address       netip.AddrPort
	FailureDomain string
}

// Searcher holds what this host has learned about one searcher of a service
// from its own requests. It is not safe for concurrent use; the lock that
// guards its Group guards it too.
type Searcher struct {
	Identity
	Slots int
	Cold  bool // started recently and still slow

	capacity        int // most requests that this host may have in flight there
	onDemand        bool
	load            workload.Tracker
	failureRate     float64 // EWMA of failed attempts, 0 to 1
	failureRateTime time.Time
	down            bool      // the last dial failed
	gone            bool      // another searcher has its address
	leaving         bool      // it said so in a reply
	pausedUntil     time.Time // it asked for no requests before this time
	consecutiveLost int       // lost attempts in a row
	ejectedUntil    time.Time // no attempt before this time while other searchers can serve
}

// Weights and limits of the estimates.
const (
	failureGain = 0.2 // weight of an attempt in the failure rate
	// estimateHalfLife is the time in which an estimate loses half of its
	// weight, so that a searcher that was slow or failing is tried again.
	estimateHalfLife = 2 * time.Second
	// coldSlowness is the assumed pace of a searcher that has just started.
	coldSlowness = 1.6
)

// Durations of an ejection, during which a searcher gets no attempt while
// another one can serve.
const (
	firstEjection = 150 * time.Millisecond
	maxEjection   = 2 * time.Second
)

func decay(value, baseline float64, since, now time.Time) float64 {
	if since.IsZero() {
		return baseline
	}
	age := now.Sub(since)
	if age <= 0 {
		return value
	}
	return baseline + (value-baseline)*math.Exp2(-age.Seconds()/estimateHalfLife.Seconds())
}

// begin records the start of an attempt.
func (s *Searcher) begin(now time.Time, work time.Duration) {
	s.load.Begin(now, work, s.Slots, s.basePace())
}

// basePace returns the pace that is assumed without observations.
func (s *Searcher) basePace() float64 {
	if s.Cold {
		return coldSlowness
	}
	return 1
}

// observe records the result of an attempt of the given work that began at the given
// time. It returns what Group.End returns.
func (s *Searcher) observe(now, began time.Time, work time.Duration, r Result) (o workload.Observation) {
	switch r {
	case Good, SearcherFailed:
		s.consecutiveLost, s.down = 0, false
		s.ejectedUntil = time.Time{}
		o = s.load.Observe(now, began, work, s.basePace())
	case Misdirected:
		// Each further request would be an extra attempt at the searcher that
		// has the address now.
		s.gone = true
		s.load.Drop(began, work)
	case Unsent, Rejected:
		s.load.Drop(began, work)
	case Lost:
		s.load.Observe(now, began, work, s.basePace())
		s.eject(now)
	case Abandoned:
		s.load.Drop(began, work)
		return o
	}
	failed := 0.0
	if r != Good {
		failed = 1
	}
	f := decay(s.failureRate, 0, s.failureRateTime, now)
	s.failureRate, s.failureRateTime = f+failureGain*(failed-f), now
	return o
}

// eject excludes the searcher from use for a time after a lost attempt. The
// time doubles with each further one in a row.
func (s *Searcher) eject(now time.Time) {
	s.consecutiveLost++
	pause := firstEjection << min(s.consecutiveLost-1, 8)
	s.ejectedUntil = now.Add(min(pause, maxEjection))
}
