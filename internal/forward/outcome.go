package forward

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Outcome is the end of a run. Err is nil for a success. A single service's
// own failure is a Reply with Err set, and is passed on as it is.
type Outcome struct {
	Replies []*Attempt // whose replies make the answer
	Missing int        // shards without a reply
	Err     *verdict.Error
}

// Answer margins: how long before its objective a gathered answer is given
// without the shards that are still out. They cover the way to the caller.
const (
	answerMarginShare = 0.07
	minAnswerMargin   = 5 * time.Millisecond
)

// settle ends the run if its outcome is known.
func (r *Run) settle(now time.Time) []Effect {
	if o, done := r.outcome(now); done && !r.finished {
		r.finished = true
		r.effects = append(r.effects, Finish{Outcome: o})
	}
	return r.effects
}

func (r *Run) outcome(now time.Time) (Outcome, bool) {
	if r.route.Gather != nil {
		return r.gathered(now)
	}
	l := r.legs[0]
	switch {
	case l.good != nil:
		return Outcome{Replies: []*Attempt{l.good}}, true
	case l.dead && l.open() == nil, !now.Before(r.deadline):
		return r.failedSingle(now), true
	}
	return Outcome{}, false
}

func (r *Run) failedSingle(now time.Time) Outcome {
	l := r.legs[0]
	o := Outcome{Err: r.failure(now, "the service")}
	if l.failed != nil {
		o.Replies = []*Attempt{l.failed}
	}
	return o
}

func (r *Run) gathered(now time.Time) (Outcome, bool) {
	settled := r.good + r.deadLegs()
	switch {
	case r.good >= r.least && (settled == len(r.legs) || !now.Before(r.cutoff)):
		return r.answer(), true
	case len(r.legs)-r.deadLegs() < r.least, !now.Before(r.deadline):
		return Outcome{Missing: len(r.legs) - r.good, Err: r.failure(now, "too many shards")}, true
	}
	return Outcome{}, false
}

// deadLegs counts the legs that can't answer any more. A leg whose attempt is
// still in progress can, even if nothing further may be tried.
func (r *Run) deadLegs() int {
	if !r.anyDead {
		return 0 // the usual case, asked after every event
	}
	n := 0
	for _, l := range r.legs {
		if l.dead && l.open() == nil {
			n++
		}
	}
	return n
}

func (r *Run) answer() Outcome {
	o := Outcome{Missing: len(r.legs) - r.good, Replies: make([]*Attempt, 0, r.good)}
	for _, l := range r.legs {
		if l.good != nil {
			o.Replies = append(o.Replies, l.good)
		}
	}
	return o
}

// retryAfterOutage is the hint to a caller whose request met no working
// searcher. A crashed searcher needs seconds to return, and after a start of
// this host its targets announce themselves within about a second.
const retryAfterOutage = time.Second

// retryAfterOverload is the hint to a caller whose request the searchers
// rejected. Their queues are a dozen requests long.
const retryAfterOverload = 150 * time.Millisecond

// failure returns the error of a run without a usable answer.
func (r *Run) failure(now time.Time, what string) *verdict.Error {
	v, rejected := verdict.NotRun, false
	for _, l := range r.legs {
		for _, a := range l.attempts {
			av := a.Result.Verdict()
			if a.Open {
				av = verdict.MayHaveRun
			}
			v = verdict.Join(v, av)
			rejected = rejected || !a.Open && a.Result == Rejected
		}
	}
	switch {
	case !now.Before(r.deadline):
		return verdict.New(v, verdict.CodeDeadlineExceeded, "%s did not answer in time", what).WithRetryAfter(retryAfterOverload)
	case v == verdict.NotRun && rejected:
		return verdict.New(v, CodeOverloaded, "%s rejected the request", what).WithRetryAfter(retryAfterOverload)
	case v == verdict.NotRun:
		return verdict.New(v, CodeNoSearcher, "%s can't be reached", what).WithRetryAfter(retryAfterOutage)
	case r.route.Gather != nil:
		return verdict.New(v, CodeFewShards, "%d of %d shards answered, at least %d are needed", r.good, len(r.legs), r.least)
	default:
		return verdict.New(v, CodeLostAttempt, "no usable answer came from %s", what)
	}
}
