package forward

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// subRequest is the part of a run that one service answers.
type subRequest struct {
	service   string
	attempts  []*Attempt
	good      *Attempt
	failed    *Attempt      // ended with SearcherFailed; its reply goes to callers of a single service
	notBefore time.Time     // earliest retry at a searcher that rejected the request
	nextHedge time.Time     // earliest next hedge, after one was not possible
	resume    time.Time     // end of the pauses that all of its searchers asked for; zero for none
	waiting   bool          // for capacity at a searcher
	crowded   bool          // given up because its turn would come too late
	wait      time.Duration // expected until its turn when it was given up for that
	givenUp   bool          // no further attempt is made
}

// openAttempt returns the latest attempt in flight.
func (sub *subRequest) openAttempt() *Attempt {
	for i := len(sub.attempts) - 1; i >= 0; i-- {
		if sub.attempts[i].Open {
			return sub.attempts[i]
		}
	}
	return nil
}

func (sub *subRequest) countMayHaveRun() (n int) {
	for _, a := range sub.attempts {
		if a.Open || a.Result.Verdict() != verdict.NotRun {
			n++
		}
	}
	return n
}

// mayHaveReached reports whether an attempt may have reached a searcher, which
// makes a further one an extra attempt.
func (sub *subRequest) mayHaveReached() bool {
	for _, a := range sub.attempts {
		if a.Open || a.Result != Unsent {
			return true
		}
	}
	return false
}

func (sub *subRequest) tried() []*Searcher {
	out := make([]*Searcher, len(sub.attempts))
	for i, a := range sub.attempts {
		out[i] = a.Searcher
	}
	return out
}

// hedges returns how many attempts are in flight beyond the first.
func (sub *subRequest) hedges() int {
	open := 0
	for _, a := range sub.attempts {
		if a.Open {
			open++
		}
	}
	return max(open-1, 0)
}

func (sub *subRequest) lastResult() Result { return sub.attempts[len(sub.attempts)-1].Result }
