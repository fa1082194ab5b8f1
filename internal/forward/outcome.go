package forward

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Outcome is how a run ended. Err is nil on success. If a single service itself
// reported a failure, Replies holds that reply beside Err, and the caller gets
// it unchanged.
type Outcome struct {
	Replies []*Attempt // whose replies make up the answer
	Missing int        // shards without a reply
	Err     *verdict.Error
}

// The answer margin is how long before it should leave a gathered answer is given
// without its outstanding shards, to leave time for merging and writing it.
const (
	answerMarginShare = 0.07 // of the objective
	minAnswerMargin   = 5 * time.Millisecond
)

// settle ends the run if its outcome is known, and returns the pending effects.
func (r *Run) settle(now time.Time) []Effect {
	if o, done := r.outcome(now); done && !r.finished {
		r.finished = true
		r.effects = append(r.effects, Finish{Outcome: o})
	}
	return r.effects
}

func (r *Run) outcome(now time.Time) (Outcome, bool) {
	if r.route.Gather != nil {
		return r.gatherOutcome(now)
	}
	sub := r.subs[0]
	switch {
	case sub.good != nil:
		return Outcome{Replies: []*Attempt{sub.good}}, true
	case sub.givenUp && sub.openAttempt() == nil, !now.Before(r.deadline):
		return r.singleFailure(now), true
	}
	return Outcome{}, false
}

func (r *Run) singleFailure(now time.Time) Outcome {
	sub := r.subs[0]
	o := Outcome{Err: r.failure(now, "the service")}
	if sub.failed != nil {
		o.Replies = []*Attempt{sub.failed}
	}
	return o
}

func (r *Run) gatherOutcome(now time.Time) (Outcome, bool) {
	settled := r.good + r.unanswerable()
	switch {
	case settled == len(r.subs) && r.good >= r.minShards, !now.Before(r.cutoff) && r.good >= r.minEarly:
		return r.answer(), true
	case len(r.subs)-r.unanswerable() < r.minShards, !now.Before(r.deadline):
		return Outcome{Missing: len(r.subs) - r.good, Err: r.failure(now, "too many shards")}, true
	}
	return Outcome{}, false
}

// unanswerable counts the sub-requests that can no longer succeed. One that was
// given up still can while an attempt is in flight.
func (r *Run) unanswerable() int {
	if !r.anyGivenUp {
		return 0 // the common case; called after every event
	}
	n := 0
	for _, sub := range r.subs {
		if sub.givenUp && sub.openAttempt() == nil {
			n++
		}
	}
	return n
}

func (r *Run) answer() Outcome {
	o := Outcome{Missing: len(r.subs) - r.good, Replies: make([]*Attempt, 0, r.good)}
	for _, sub := range r.subs {
		if sub.good != nil {
			o.Replies = append(o.Replies, sub.good)
		}
	}
	return o
}

// RetryAfterStop is the retry hint for a request that this host can't serve because it
// stops. It is short because the load balancer sends the next connection to another
// host.
const RetryAfterStop = 20 * time.Millisecond

// resumeAt returns when enough searchers end the pauses that they asked for that
// the request could be served, or the zero time if no pause is the reason.
func (r *Run) resumeAt() time.Time {
	var resumes []time.Time
	for _, sub := range r.subs {
		if sub.givenUp && sub.good == nil && !sub.resume.IsZero() {
			resumes = append(resumes, sub.resume)
		}
	}
	needed := 1
	if r.route.Gather != nil {
		needed = r.minShards - (len(r.subs) - r.unanswerable())
	}
	if needed < 1 || needed > len(resumes) {
		return time.Time{}
	}
	slices.SortFunc(resumes, time.Time.Compare)
	return resumes[needed-1]
}

// failure returns the error of a run without a usable answer.
func (r *Run) failure(now time.Time, subject string) *verdict.Error {
	v, rejected, crowded := verdict.NotRun, false, false
	for _, sub := range r.subs {
		crowded = crowded || sub.crowded
		for _, a := range sub.attempts {
			av := a.Result.Verdict()
			if a.Open {
				av = verdict.MayHaveRun
			}
			v = verdict.Join(v, av)
			rejected = rejected || !a.Open && a.Result == Rejected
		}
	}
	resume := r.resumeAt()
	switch {
	case r.endsEarly && v == verdict.NotRun && (r.tooLate || !now.Before(r.deadline)):
		return verdict.New(v, verdict.CodeHostStops, "this host stops before %s would answer", subject).WithRetryAfter(RetryAfterStop)
	case r.endsEarly && !now.Before(r.deadline):
		return verdict.New(v, verdict.CodeHostStops, "this host stops before %s has answered", subject)
	case v == verdict.NotRun && resume.After(now):
		return verdict.New(v, CodePaused, "%s asked for no requests until after the deadline", subject).WithRetryAfter(resume.Sub(now))
	case !now.Before(r.deadline):
		return verdict.New(v, verdict.CodeDeadlineExceeded, "%s did not answer in time", subject).WithRetryAfter(r.retryHint(now, r.drainTime()))
	case v == verdict.NotRun && rejected:
		return verdict.New(v, CodeOverloaded, "%s rejected the request", subject).WithRetryAfter(r.retryHint(now, r.drainTime()))
	case v == verdict.NotRun && crowded:
		return verdict.New(v, CodeOverloaded, "%s has no room before the deadline", subject).WithRetryAfter(r.retryHint(now, r.drainTime()))
	case v == verdict.NotRun:
		return verdict.New(v, CodeNoSearcher, "%s can't be reached", subject).WithRetryAfter(r.retryHint(now, drainOutage))
	case r.route.Gather != nil:
		return verdict.New(v, CodeFewShards, "%d of %d shards answered, at least %d are needed", r.good, len(r.subs), r.minShards)
	default:
		return verdict.New(v, CodeLostAttempt, "no usable answer came from %s", subject)
	}
}
