package query

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// handleReply applies a reply to its attempt. Only the first reply to an
// attempt counts, and a shard is answered at most once.
func (r *Run) handleReply(at time.Duration, rep *Reply) {
	k := int(rep.Attempt) - 1
	if k < 0 || k >= len(r.attempts) {
		r.counters.Unknown++
		return
	}
	a := &r.attempts[k]
	if a.state == attemptReplied {
		r.counters.Duplicate++
		return
	}
	r.recordVerdict(rep)
	inFlight := a.state == attemptInFlight
	a.state = attemptReplied
	if !r.finished && (rep.Draining || rep.Err != nil && verdict.CodeOf(rep.Err) == CodeDraining) {
		r.recordDraining(a.replica)
	}
	if !inFlight || r.finished {
		r.counters.Late++
		return
	}
	i := int(a.shard)
	r.shards[i].inFlight--
	reason := r.check(i, rep)
	if reason == "" {
		r.observe(at, a, true)
		r.recordAnswer(at, i, k, rep)
		return
	}
	r.counters.Failed++
	a.shed = reason == ReasonShed
	r.shards[i].reason = reason
	if r.shards[i].inFlight == 0 {
		r.retry(at, i)
	}
}

// recordVerdict records whether the attempt ran.
func (r *Run) recordVerdict(rep *Reply) {
	if rep.Err == nil {
		r.ran = true
		return
	}
	switch verdict.Of(rep.Err) {
	case verdict.Ran:
		r.ran = true
	case verdict.NotRun:
		r.notRun++
	}
}

// check returns why a reply does not answer its shard, or "".
func (r *Run) check(i int, rep *Reply) Reason {
	if rep.Err != nil {
		return reasonOf(rep.Err)
	}
	if rep.IndexSnapshot != r.snapshot.Name || rep.Shard != r.snapshot.Layout[i] {
		r.counters.Mismatched++
		return ReasonFailed
	}
	return ""
}

func reasonOf(err error) Reason {
	switch verdict.CodeOf(err) {
	case CodeSnapshotGone:
		return ReasonSnapshotGone
	case CodeShed:
		return ReasonShed
	case verdict.CodeDeadlineExceeded:
		return ReasonTimeout
	default:
		return ReasonFailed
	}
}

// recordAnswer marks a shard as answered and cancels its other attempts.
func (r *Run) recordAnswer(at time.Duration, i, k int, rep *Reply) {
	s := &r.shards[i]
	s.status = shardAnswered
	s.retryAt = 0
	r.open--
	r.answered++
	r.hits.add(rep.Hits)
	if s.inFlight > 0 {
		r.cancelShard(at, i)
	}
	if r.attempts[k].hedge {
		r.counters.HedgeWins++
	}
}

// callerGone ends the query without an answer.
func (r *Run) callerGone(at time.Duration) {
	if r.finished {
		return
	}
	r.cancelAll(at)
	r.fail(verdict.New(r.verdict(), CodeCancelled, "the caller cancelled query %s", r.query.RequestID))
}

// verdict returns Ran if an attempt is known to have run, NotRun if every
// attempt is known not to have run, and MayHaveRun otherwise.
func (r *Run) verdict() verdict.Verdict {
	switch {
	case r.ran:
		return verdict.Ran
	case r.notRun == len(r.attempts):
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// finish ends the query with an answer, or with an error if its coverage is
// below the minimum, no shard answered, or the deadline has passed.
func (r *Run) finish(at time.Duration) {
	coverage := r.coverage()
	r.cancelAll(at)
	if deadline := r.answerBy + r.policy.AnswerTime; at >= deadline {
		r.fail(r.lateError(at - deadline))
		return
	}
	if r.answered == 0 || coverage.Ratio() < r.query.MinCoverage {
		r.fail(r.coverageError(coverage))
		return
	}
	r.finished = true
	r.effects = append(r.effects, Finish{Answer: &Answer{
		RequestID:     r.query.RequestID,
		Group:         r.query.Group,
		IndexSnapshot: r.snapshot.Name,
		Verdict:       r.verdict(),
		Coverage:      coverage,
		Hits:          r.hits.sorted(),
		Attempts:      r.counters.Sent,
		Hedges:        r.counters.Hedges,
		Retries:       r.counters.Retries,
		Restarts:      r.counters.Restarts,
	}})
}

func (r *Run) fail(err error) {
	r.finished = true
	r.effects = append(r.effects, Finish{Err: err})
}

// coverage lists every shard of the pinned snapshot as answered or missing.
func (r *Run) coverage() Coverage {
	c := Coverage{Total: len(r.shards), Answered: make([]string, 0, r.answered)}
	if missing := len(r.shards) - r.answered; missing > 0 {
		c.Missing = make([]MissingShard, 0, missing)
	}
	for i := range r.shards {
		name := r.snapshot.Layout[i]
		if r.shards[i].status == shardAnswered {
			c.Answered = append(c.Answered, name)
			continue
		}
		c.Missing = append(c.Missing, MissingShard{Shard: name, Reason: r.missingReason(&r.shards[i])})
	}
	return c
}

// missingReason returns the reason of the latest failure of a shard, or
// ReasonTimeout if an attempt is still in flight.
func (r *Run) missingReason(s *shard) Reason {
	if s.inFlight > 0 || s.reason == "" {
		return ReasonTimeout
	}
	return s.reason
}
