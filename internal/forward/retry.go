package forward

import "time"

// Parameters of retry hints.
const (
	// retryShare is the greatest part of the time that a caller has left for which a hint
	// asks it to wait. Callers honour no longer one.
	retryShare = 1.0 / 3
	// minRetrySpread is the least time over which callers that are refused together are
	// spread. New connections of all of them at once are a burst of their own.
	minRetrySpread = 50 * time.Millisecond
)

// RetryHint returns when a caller that is refused should come back: at a random time while
// there is room, which is from when the waiting work has drained until twice that time.
// left is the time until the caller's deadline, of which the hint is at most a third. u is
// a random number from 0 to 1.
//
// If the work is not expected to drain within that third, the hints are spread over its
// second half: the estimate may be too high, and others give up meanwhile.
func RetryHint(left, drain time.Duration, u float64) time.Duration {
	limit := time.Duration(retryShare * float64(max(left, 0)))
	drain = max(drain, 0)
	from := min(drain, limit/2)
	to := min(max(2*drain, drain+minRetrySpread), limit)
	return from + time.Duration(u*float64(max(to-from, 0)))
}

// Drain times where nothing measures them.
const (
	// drainOutage is the time after which a service without a working searcher may have
	// one. A crashed searcher needs seconds to return, and after a start of this host its
	// targets announce themselves within about a second.
	drainOutage = time.Second
	// drainOverload is the time after which the queues of searchers that rejected a request
	// have room. They hold about a dozen requests.
	drainOverload = 75 * time.Millisecond
)

// randomSteps is the resolution of the random part of a hint.
const randomSteps = 1 << 16

// retryHint returns the hint for the caller of a run that is refused.
func (r *Run) retryHint(now time.Time, drain time.Duration) time.Duration {
	return RetryHint(r.deadline.Sub(now), drain, float64(r.env.IntN(randomSteps))/randomSteps)
}

// drainTime returns the time after which the services that refused the run are expected to
// have room.
func (r *Run) drainTime() time.Duration {
	drain := drainOverload
	for _, sub := range r.subs {
		drain = max(drain, sub.wait)
	}
	return drain
}
