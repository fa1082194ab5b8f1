package gathering

import "time"

// Hops estimates the time that a request spends on the way to a gatherer and back: on
// the network, and in the queues of links and processors of both hosts. The gatherer must
// answer that much earlier for the answer to reach the caller within its latency
// objective. Ways to other failure domains are estimated apart, since they can take ten
// times as long as those within one. It is not safe for concurrent use.
type Hops struct {
	domains map[string]*hop
}

// hop is the estimate for the gatherers of one failure domain.
type hop struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
}

const (
	hopGain = 0.1 // weight of an observation in the mean and the deviation
	// hopDeviations is how many mean deviations above the mean an answer is
	// expected to take at most. A gather that waits for its slowest shards answers
	// at the last moment, so that a way that takes longer makes the answer late.
	hopDeviations = 2
	// maxHopShare bounds the estimate as a share of the objective. The searchers
	// need the rest of the time.
	maxHopShare = 0.25
	// An observation counts as at most hopClip deviations and hopClipTime above the mean:
	// a lost packet takes 200 ms and says nothing about the next request.
	hopClip     = 4
	hopClipTime = time.Millisecond
	// A connection that is not set up within connectHops times the estimate, at least
	// minConnect, belongs to a host without power or to a lost packet, which is sent again
	// only after a second.
	connectHops = 3
	minConnect  = 30 * time.Millisecond
	maxConnect  = 300 * time.Millisecond
)

// Observe records the time that a request spent outside of its gatherer in a failure
// domain.
func (h *Hops) Observe(failureDomain string, took time.Duration) {
	took = max(took, 0)
	e := h.domains[failureDomain]
	if e == nil {
		if h.domains == nil || len(h.domains) >= MaxDomains {
			h.domains = make(map[string]*hop)
		}
		h.domains[failureDomain] = &hop{mean: took, deviation: took / 2}
		return
	}
	difference := min(took-e.mean, hopClip*e.deviation+hopClipTime)
	e.mean += time.Duration(hopGain * float64(difference))
	e.deviation += time.Duration(hopGain * float64(max(difference, -difference)-e.deviation))
}

// Connect returns how long to wait for a connection to a gatherer in a failure domain
// before another gatherer is asked.
func (h *Hops) Connect(failureDomain string) time.Duration {
	e := h.domains[failureDomain]
	if e == nil {
		return maxConnect
	}
	return min(max(connectHops*(e.mean+hopDeviations*e.deviation), minConnect), maxConnect)
}

// Time returns the time to set aside for the way of a request with a latency objective to
// a gatherer in a failure domain, 0 before the first observation there.
func (h *Hops) Time(failureDomain string, objective time.Duration) time.Duration {
	e := h.domains[failureDomain]
	if e == nil {
		return 0
	}
	return min(e.mean+hopDeviations*e.deviation, time.Duration(maxHopShare*float64(objective)))
}
