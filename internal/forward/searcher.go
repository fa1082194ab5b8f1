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

// Searcher is what this host knows of one searcher of a service from its own
// requests. It is not safe for concurrent use; the lock of its Group guards it.
type Searcher struct {
	Identity
	Slots int
	Cold  bool // started lately and still slow

	capacity  int // requests in progress that this host may have there
	inFlight  int
	slowness  float64 // work time relative to the route's usual one, 1 if unknown
	slownessT time.Time
	failures  float64 // recent share of failed attempts, 0 to 1
	failuresT time.Time
	down      bool      // the last attempt to connect failed
	gone      bool      // another searcher answers at its address
	strikes   int       // consecutive attempts whose connection broke
	ejected   time.Time // no attempt before this time while others can serve
	oldest    []time.Time
}

// Weights and times of the estimates.
const (
	// slownessGain is the weight of an attempt in the estimate of slowness, which
	// is a geometric mean: one pause or one large request says little of the next.
	slownessGain = 0.2
	failureGain  = 0.2
	// estimateHalfLife is the time in which what is known of a searcher loses
	// half of its weight, so that one that was slow or failing is tried again.
	estimateHalfLife = 2 * time.Second
	// maxSlowness bounds the estimate, so that one pause does not keep a
	// searcher out of use for longer than a few half-lives.
	maxSlowness = 12
	minSlowness = 0.1
	// coldSlowness is the usual slowness of a searcher that has just started.
	coldSlowness = 1.6
)

// Times for which a searcher whose connections break is left alone while
// another one can serve.
const (
	firstEjection = 150 * time.Millisecond
	maxEjection   = 2 * time.Second
)

func decay(value, rest float64, since, now time.Time) float64 {
	if since.IsZero() {
		return rest
	}
	age := now.Sub(since)
	if age <= 0 {
		return value
	}
	return rest + (value-rest)*math.Exp2(-age.Seconds()/estimateHalfLife.Seconds())
}

// begin notes an attempt.
func (s *Searcher) begin(now time.Time) {
	s.inFlight++
	s.oldest = append(s.oldest, now)
}

// end notes the end of an attempt that began at a time.
func (s *Searcher) end(began time.Time) {
	s.inFlight--
	for i, t := range s.oldest {
		if t.Equal(began) {
			s.oldest = append(s.oldest[:i], s.oldest[i+1:]...)
			return
		}
	}
}

// observe takes the result of an attempt that began at a time. usual is the
// route's usual time of an attempt.
func (s *Searcher) observe(now, began time.Time, usual time.Duration, r Result) {
	s.end(began)
	switch r {
	case Good, SearcherFailed:
		s.strikes, s.down = 0, false
		s.ejected = time.Time{}
		s.noteTime(now, now.Sub(began), usual)
	case Misdirected:
		// Every further request would be an extra arrival at the searcher that
		// has the address now.
		s.gone = true
	case Unsent:
	case Lost:
		s.noteTime(now, now.Sub(began), usual)
		s.strike(now)
	case Abandoned:
		return
	}
	failed := 0.0
	if r != Good {
		failed = 1
	}
	f := decay(s.failures, 0, s.failuresT, now)
	s.failures, s.failuresT = f+failureGain*(failed-f), now
}

func (s *Searcher) noteTime(now time.Time, took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(usual), minSlowness), maxSlowness)
	s.slowness, s.slownessT = math.Pow(s.slownessAt(now), 1-slownessGain)*math.Pow(ratio, slownessGain), now
}

func (s *Searcher) slownessAt(now time.Time) float64 {
	rest := 1.0
	if s.Cold {
		rest = coldSlowness
	}
	return decay(s.slowness, rest, s.slownessT, now)
}

// strike notes an attempt whose connection broke. Each one in a row
// doubles the time for which the searcher is left alone.
func (s *Searcher) strike(now time.Time) {
	s.strikes++
	pause := firstEjection << min(s.strikes-1, 8)
	s.ejected = now.Add(min(pause, maxEjection))
}

// longestWait is how long the oldest attempt in progress has been waiting.
func (s *Searcher) longestWait(now time.Time) time.Duration {
	if len(s.oldest) == 0 {
		return 0
	}
	return now.Sub(s.oldest[0])
}
