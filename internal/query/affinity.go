package query

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// AffinityChooser sends the same terms to the same replica, so that targets
// which cache answer from their caches, and leaves the choice to Inner when
// that replica has Overflow or more sub-requests in flight. The replica is
// chosen by rendezvous hashing, so that all hosts agree on it. The idea is
// from "Reduce LLM latency with prefix-aware routing on Amazon SageMaker
// Inference" (AWS blog, 2026). One AffinityChooser serves one query.
type AffinityChooser struct {
	Inner    Chooser
	InFlight func(r *Replica) int // sub-requests of this host in flight to a replica
	Overflow int
	terms    uint64
}

// DefaultOverflow lets a host keep one sub-request in flight to a preferred
// replica. Higher bounds raise the tail under load.
const DefaultOverflow = 1

// NewAffinityChooser returns a chooser for a query with these terms.
func NewAffinityChooser(terms string, inner Chooser, inFlight func(r *Replica) int, overflow int) *AffinityChooser {
	return &AffinityChooser{Inner: inner, InFlight: inFlight, Overflow: overflow, terms: xxhash.Sum64String(terms)}
}

// Pick returns the preferred replica, or that of Inner.
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
