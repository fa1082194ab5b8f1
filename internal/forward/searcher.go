package forward

import (
	"math"
	"net/netip"
	"time"
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
	inFlight        int
	slowness        float64 // geometric EWMA of attempt times relative to the route's median
	slownessTime    time.Time
	failureRate     float64 // EWMA of failed attempts, 0 to 1
	failureRateTime time.Time
	down            bool      // the last dial failed
	gone            bool      // another searcher has its address
	leaving         bool      // it said so in a reply
	pausedUntil     time.Time // it asked for no requests before this time
	consecutiveLost int       // lost attempts in a row
	ejectedUntil    time.Time // no attempt before this time while other searchers can serve
	started         []time.Time
}

// Weights and limits of the estimates.
const (
	// slownessGain is the weight of an attempt in the estimate of slowness. The
	// estimate is a geometric mean because one pause or one large request says
	// little about the next.
	slownessGain = 0.2
	failureGain  = 0.2 // weight of an attempt in the failure rate
	// estimateHalfLife is the time in which an estimate loses half of its
	// weight, so that a searcher that was slow or failing is tried again.
	estimateHalfLife = 2 * time.Second
	// maxSlowness bounds the estimate, so that one pause does not keep a
	// searcher out of use for longer than a few half-lives.
	maxSlowness = 12
	minSlowness = 0.1
	// coldSlowness is the assumed slowness of a searcher that has just started.
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
func (s *Searcher) begin(now time.Time) {
	s.inFlight++
	s.started = append(s.started, now)
}

// end records the end of an attempt that began at the given time.
func (s *Searcher) end(began time.Time) {
	s.inFlight--
	for i, t := range s.started {
		if t.Equal(began) {
			s.started = append(s.started[:i], s.started[i+1:]...)
			return
		}
	}
}

// observe records the result of an attempt that began at the given time. median
// is the route's median time of an attempt.
func (s *Searcher) observe(now, began time.Time, median time.Duration, r Result) {
	s.end(began)
	switch r {
	case Good, SearcherFailed:
		s.consecutiveLost, s.down = 0, false
		s.ejectedUntil = time.Time{}
		s.recordTime(now, now.Sub(began), median)
	case Misdirected:
		// Each further request would be an extra attempt at the searcher that
		// has the address now.
		s.gone = true
	case Unsent:
	case Lost:
		s.recordTime(now, now.Sub(began), median)
		s.eject(now)
	case Abandoned:
		return
	}
	failed := 0.0
	if r != Good {
		failed = 1
	}
	f := decay(s.failureRate, 0, s.failureRateTime, now)
	s.failureRate, s.failureRateTime = f+failureGain*(failed-f), now
}

func (s *Searcher) recordTime(now time.Time, took, median time.Duration) {
	if median <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(median), minSlowness), maxSlowness)
	s.slowness, s.slownessTime = math.Pow(s.slownessAt(now), 1-slownessGain)*math.Pow(ratio, slownessGain), now
}

func (s *Searcher) slownessAt(now time.Time) float64 {
	baseline := 1.0
	if s.Cold {
		baseline = coldSlowness
	}
	return decay(s.slowness, baseline, s.slownessTime, now)
}

// eject excludes the searcher from use for a time after a lost attempt. The
// time doubles with each further one in a row.
func (s *Searcher) eject(now time.Time) {
	s.consecutiveLost++
	pause := firstEjection << min(s.consecutiveLost-1, 8)
	s.ejectedUntil = now.Add(min(pause, maxEjection))
}

// longestWait returns how long the oldest attempt in flight has been waiting.
func (s *Searcher) longestWait(now time.Time) time.Duration {
	if len(s.started) == 0 {
		return 0
	}
	return now.Sub(s.started[0])
}
