package gathering

import "time"

// Hop estimates the time that a request spends on the way to a gatherer and back:
// on the network, and in the queues of links and processors of both hosts. The
// gatherer must answer that much earlier for the answer to reach the caller within
// its latency objective. It is not safe for concurrent use.
type Hop struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
	known     bool
}

const (
	hopGain = 0.1 // weight of an observation in the mean and the deviation
	// hopDeviations is how many mean deviations above the mean an answer is
	// expected to take at most.
	hopDeviations = 1
	// maxHopShare bounds the estimate as a share of the objective. The searchers
	// need the rest of the time.
	maxHopShare = 0.1
)

// Observe records the time that a request spent outside of its gatherer.
func (h *Hop) Observe(took time.Duration) {
	took = max(took, 0)
	if !h.known {
		h.mean, h.deviation, h.known = took, took/2, true
		return
	}
	difference := took - h.mean
	h.mean += time.Duration(hopGain * float64(difference))
	h.deviation += time.Duration(hopGain * float64(max(difference, -difference)-h.deviation))
}

// Time returns the time to set aside for the way of a request with a latency
// objective, 0 before the first observation.
func (h *Hop) Time(objective time.Duration) time.Duration {
	return min(h.mean+hopDeviations*h.deviation, time.Duration(maxHopShare*float64(objective)))
}
