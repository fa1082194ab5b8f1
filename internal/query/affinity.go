package query

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// AffinityChooser picks the same replica for the same terms, so that targets
// can answer from their caches. If that replica has Overflow or more
// sub-requests in flight, Inner picks instead. The preferred replica is found
// by rendezvous hashing, so all hosts agree on it. The idea is from "Reduce
// LLM latency with prefix-aware routing on Amazon SageMaker Inference" (AWS
// blog, 2026). An AffinityChooser serves one query.
type AffinityChooser struct {
	Inner    Chooser
	InFlight func(r *Replica) int // sub-requests of this host in flight to a replica
	Overflow int
	terms    uint64
}

// DefaultOverflow lets a host keep one sub-request in flight to a preferred
// replica. Higher values raise the tail latency under load.
const DefaultOverflow = 1

// NewAffinityChooser returns a chooser for a query with the given terms.
func NewAffinityChooser(terms string, inner Chooser, inFlight func(r *Replica) int, overflow int) *AffinityChooser {
	return &AffinityChooser{Inner: inner, InFlight: inFlight, Overflow: overflow, terms: xxhash.Sum64String(terms)}
}

// Pick returns the preferred replica, or the one that Inner picks.
func (c *AffinityChooser) Pick(now time.Time, candidates []Replica, avoidDomain string) (int, bool) {
	best, bestWeight := -1, uint64(0)
	for i := range candidates {
		if w := c.weight(&candidates[i]); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return 0, false
	}
	if c.InFlight(&candidates[best]) >= c.Overflow {
		return c.Inner.Pick(now, candidates, avoidDomain)
	}
	return best, true
}

// weight combines the hashes of the terms and the replica. The finalizer is
// that of SplitMix64 (Steele, Lea and Flood, 2014).
func (c *AffinityChooser) weight(r *Replica) uint64 {
	x := c.terms ^ xxhash.Sum64String(r.Target) ^ xxhash.Sum64String(r.Searcher)<<1
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
