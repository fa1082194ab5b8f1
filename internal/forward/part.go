package forward

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Allowance is how many of its shards a part of a divided gather may lack.
type Allowance struct {
	// Early is how many an answer may lack that is given before all shards have
	// answered or failed. The parts share what the whole answer may lack, since none
	// knows how many the others will lack.
	Early int
	// Settled is how many may be lacking once there is nothing more to wait for. The
	// host that merges the parts sees whether they lack too many together.
	Settled int
}

// PartAllowance returns the allowance of a part of a gather. unanswerable marks the
// shards of the whole gather that no searcher can answer now, part holds the indexes of
// the part's shards, and maxMissing is how many shards the whole answer may lack. It is
// not ok if that many shards can't be answered already: every part is then refused
// before anything is sent.
func PartAllowance(unanswerable []bool, part []int, maxMissing int) (a Allowance, ok bool) {
	down, own := 0, 0
	for _, u := range unanswerable {
		if u {
			down++
		}
	}
	for _, i := range part {
		if unanswerable[i] {
			own++
		}
	}
	if down > maxMissing {
		return a, false
	}
	share := (maxMissing - down) * len(part) / len(unanswerable)
	return Allowance{Early: min(own+share, len(part)), Settled: min(maxMissing-down+own, len(part))}, true
}

// RefusePart returns the error for a part of a divided gather that has no allowance. left
// and u are as for RetryHint.
func RefusePart(shards int, left time.Duration, u float64) *verdict.Error {
	return verdict.New(verdict.NotRun, CodeNoSearcher, "too many of the %d shards can't be reached", shards).WithRetryAfter(RetryHint(left, drainOutage, u))
}
