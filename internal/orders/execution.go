package orders

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// The delay between attempts to commit a command doubles from retryInterval
// to maxRetryInterval.
const (
	retryInterval    = 100 * time.Millisecond
	maxRetryInterval = 5 * time.Second
)

// fullRetryAfter is the retry hint when the ledger is full.
const fullRetryAfter = time.Second

// Request is one submission of an order.
type Request struct {
	ID       string
	Content  Hash
	Deadline time.Time // the caller is answered by this time
	// First states that the caller has never submitted this ID before, and
	// won't again until it has this answer or no longer waits for it. Without
	// it, a submission that gets no reply from the ledger is answered
	// may_have_run, because another one under the same ID may have run.
	First bool
}

// Event is an input of an execution.
type Event interface{ executionEvent() }

// Start is the first event.
type Start struct{}

// ClaimAnswered carries the ledger's reply to a claim that was committed.
type ClaimAnswered struct{ Reply Reply }

// ClaimFailed reports that a claim is not known to be committed. Sent is false
// only if the claim certainly never reached the log.
type ClaimFailed struct{ Sent bool }

// RequestChanged carries the result of a lookup after a Watch.
type RequestChanged struct{ Reply Reply }

// TargetReplied reports the outcome of a Dispatch. Every Dispatch leads to
// exactly one, even after the deadline. Result is valid only with verdict Ran.
type TargetReplied struct {
	Verdict verdict.Verdict
	Reason  string
	Result  Result
}

// SettleAnswered carries the ledger's reply to a Record, Release or
// MarkMayHaveRun.
type SettleAnswered struct{ Reply Reply }

// SettleFailed reports that a Record, Release or MarkMayHaveRun may not have
// been committed.
type SettleFailed struct{}

// Tick reports that the time asked for by WakeAt has come.
type Tick struct{}

// CallerGone reports that the caller no longer waits.
type CallerGone struct{}

func (Start) executionEvent()          {}
func (ClaimAnswered) executionEvent()  {}
func (ClaimFailed) executionEvent()    {}
func (RequestChanged) executionEvent() {}
func (TargetReplied) executionEvent()  {}
func (SettleAnswered) executionEvent() {}
func (SettleFailed) executionEvent()   {}
func (Tick) executionEvent()           {}
func (CallerGone) executionEvent()     {}

// Effect is an action for the driver of an execution.
type Effect interface{ executionEffect() }

// ProposeClaim asks for a claim to be committed.
type ProposeClaim struct{ Claim Claim }

// Dispatch asks for the request to be sent to a target once, without retries.
type Dispatch struct{}

// ProposeSettle asks for a Record, Release or MarkMayHaveRun to be committed.
type ProposeSettle struct{ Command Command }

// Watch asks for a RequestChanged as soon as the request is no longer in
// progress under another claim.
type Watch struct{ RequestID string }

// WakeAt asks for a Tick at a time. It replaces an earlier WakeAt.
type WakeAt struct{ At time.Time }

// Answer is the answer to the caller. Result is set if the request is known to
// have run; otherwise Err carries the verdict.
type Answer struct {
	Result *Result
	Err    error
}

// Close ends the execution, which ignores further events. If a delayed copy of
// its claim is granted afterwards, the driver must propose a Release with that
// token. This is safe because an execution closes only once nothing can run
// under it.
type Close struct{}

func (ProposeClaim) executionEffect()  {}
func (Dispatch) executionEffect()      {}
func (ProposeSettle) executionEffect() {}
func (Watch) executionEffect()         {}
func (WakeAt) executionEffect()        {}
func (Answer) executionEffect()        {}
func (Close) executionEffect()         {}

// phase is the stage of an execution.
type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseWaiting    // another claim is open
	phaseDispatched // waiting for the target's reply
	phaseSettling   // the final command is not committed yet
	phaseClosed
)

// Execution is the claimant's side of one submission. Its driver carries out
// the effects in order, returns their outcomes as events, and sends a
// dispatched request over a transport that never retries by itself. An
// execution may outlive its caller until its claim is settled, so the driver
// limits the number of executions and rejects new orders beyond it.
type Execution struct {
	req      Request
	token    Token
	phase    phase
	answered bool      // or the caller no longer waits
	settle   Command   // final command, in phaseSettling
	result   *Result   // from the target; may not be recorded yet
	sent     bool      // a claim with this token may have reached the log
	retries  int       // in the current phase
	retryAt  time.Time // time of the next proposal, zero for none
	effects  []Effect
}

// NewExecution returns an execution that has not started. Fence must be
// unique among the claimant's executions. All claims of the execution have
// the same token, so that a delayed copy is never taken for the claim of
// another execution.
func NewExecution(req Request, claimant Claimant, fence uint64) *Execution {
	return &Execution{req: req, token: Token{Claimant: claimant, Fence: fence}}
}

// Closed reports whether the execution has ended.
func (x *Execution) Closed() bool { return x.phase == phaseClosed }

// Step handles an event and returns the effects to carry out, in order.
func (x *Execution) Step(now time.Time, ev Event) []Effect {
	x.effects = nil
	if x.phase == phaseClosed {
		return nil
	}
	x.handle(now, ev)
	if !x.answered && x.phase != phaseNew && !now.Before(x.req.Deadline) {
		x.onDeadline()
	}
	x.scheduleWake()
	return x.effects
}

func (x *Execution) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Start:
		if x.phase == phaseNew {
			x.claim(now)
		}
	case ClaimAnswered:
		if x.phase == phaseClaiming || x.phase == phaseWaiting && ev.Reply.Outcome == Granted {
			x.onClaim(now, ev.Reply)
		}
	case ClaimFailed:
		if x.phase == phaseClaiming {
			x.onClaimFailed(now, ev.Sent)
		}
	case RequestChanged:
		if x.phase == phaseWaiting {
			x.onChange(now, ev.Reply)
		}
	case TargetReplied:
		if x.phase == phaseDispatched {
			x.onTarget(now, ev)
		}
	case SettleAnswered:
		if x.phase == phaseSettling {
			x.finish()
		}
	case SettleFailed:
		if x.phase == phaseSettling {
			x.retryLater(now)
		}
	case Tick:
		x.onTick(now)
	case CallerGone:
		x.onCallerGone()
	}
}

func (x *Execution) emit(e Effect) { x.effects = append(x.effects, e) }

func (x *Execution) claim(now time.Time) {
	x.phase = phaseClaiming
	x.retryAt = time.Time{}
	x.emit(ProposeClaim{Claim{RequestID: x.req.ID, Content: x.req.Content, Token: x.token, At: now}})
}

// onClaim dispatches a granted claim only before the deadline and while the
// caller waits. Afterwards the caller may have been told not_run.
func (x *Execution) onClaim(now time.Time, r Reply) {
	x.sent = true
	switch r.Outcome {
	case Granted:
		if x.answered || !now.Before(x.req.Deadline) {
			x.answerErr(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline passed before the order could be sent")
			x.startSettling(x.release())
			return
		}
		x.phase = phaseDispatched
		x.emit(Dispatch{})
	case InProgress:
		x.phase = phaseWaiting
		x.emit(Watch{RequestID: x.req.ID})
	default:
		x.conclude(r)
	}
}

// onClaimFailed retries a claim that may have reached the log, with the same
// token, which the ledger grants only once. Otherwise the voters can't be
// reached, and it answers the caller.
func (x *Execution) onClaimFailed(now time.Time, sent bool) {
	if sent {
		x.sent = true
		x.retryLater(now)
		return
	}
	x.answerUnclaimed(verdict.CodeUnavailable, "no claim can be made because the voters can't be reached")
	if x.sent {
		x.startSettling(x.release())
		return
	}
	x.close()
}

func (x *Execution) retryLater(now time.Time) {
	x.retryAt = now.Add(min(maxRetryInterval, retryInterval<<min(x.retries, 10)))
	x.retries++
}

func (x *Execution) onChange(now time.Time, r Reply) {
	switch r.Outcome {
	case InProgress:
		// A delayed copy of this execution's claim may have been granted.
		if r.Token == x.token {
			x.onClaim(now, Reply{Outcome: Granted, Token: r.Token})
		}
	case Unknown:
	case Claimable:
		x.retries = 0
		x.claim(now)
	default:
		x.conclude(r)
	}
}

// conclude answers with the ledger's reply and ends the execution.
func (x *Execution) conclude(r Reply) {
	switch r.Outcome {
	case Recorded:
		x.answer(Answer{Result: r.Result})
	case Mismatch:
		x.answerErr(verdict.NotRun, CodeContentMismatch, "request ID %q was used for another order; send this one under a new ID", x.req.ID)
	case Expired:
		x.answerErr(verdict.MayHaveRun, CodeExpired, "request ID %q has expired; this submission was not run, but an earlier one may have run", x.req.ID)
	case BadIssueTime:
		x.answerErr(verdict.NotRun, CodeInvalidRequestID, "request ID %q was issued too long ago or in the future", x.req.ID)
	case Full:
		err := verdict.New(verdict.NotRun, CodeLedgerFull, "the ledger of orders is full")
		x.answer(Answer{Err: err.WithRetryAfter(fullRetryAfter)})
	case ClaimEnded:
		err := verdict.New(verdict.NotRun, CodeClaimRefused, "this host's claim was refused; send the order again")
		x.answer(Answer{Err: err.WithRetryAfter(retryInterval)})
	default:
		x.answerErr(verdict.MayHaveRun, CodeOutcomeUnknown, "an earlier submission of request ID %q may have run", x.req.ID)
	}
	x.close()
}

func (x *Execution) onTarget(now time.Time, ev TargetReplied) {
	switch ev.Verdict {
	case verdict.Ran:
		x.result = &ev.Result
		x.startSettling(Record{RequestID: x.req.ID, Token: x.token, Result: ev.Result, At: now})
	case verdict.NotRun:
		x.answerErr(verdict.NotRun, CodeTargetRefused, "the target did not run the order: %s", ev.Reason)
		x.startSettling(x.release())
	default:
		x.answerErr(verdict.MayHaveRun, CodeOutcomeUnknown, "the order was sent and its outcome is unknown: %s", ev.Reason)
		x.startSettling(MarkMayHaveRun{RequestID: x.req.ID, Token: x.token})
	}
}

// onDeadline answers with what is known. The execution continues until its
// claim is settled.
func (x *Execution) onDeadline() {
	switch x.phase {
	case phaseClaiming:
		x.answerUnclaimed(verdict.CodeDeadlineExceeded, "no claim was granted before the deadline")
		x.startSettling(x.release())
	case phaseWaiting:
		x.answerErr(verdict.MayHaveRun, CodeInProgress, "request ID %q is in progress at another host", x.req.ID)
		x.startSettling(x.release())
	case phaseDispatched:
		x.answerErr(verdict.MayHaveRun, CodeOutcomeUnknown, "the target had not answered by the deadline")
	case phaseSettling:
		x.answer(Answer{Result: x.result})
	}
}

// onCallerGone abandons an order that has not been dispatched. A dispatched
// order continues, so that a resubmission finds its result.
func (x *Execution) onCallerGone() {
	x.answered = true
	switch x.phase {
	case phaseNew:
		x.close()
	case phaseClaiming, phaseWaiting:
		x.startSettling(x.release())
	}
}

func (x *Execution) onTick(now time.Time) {
	if x.retryAt.IsZero() || now.Before(x.retryAt) {
		return
	}
	x.retryAt = time.Time{}
	switch x.phase {
	case phaseClaiming:
		x.claim(now)
	case phaseSettling:
		x.emit(ProposeSettle{Command: x.settle})
	}
}

func (x *Execution) release() Command {
	return Release{RequestID: x.req.ID, Token: x.token}
}

func (x *Execution) startSettling(c Command) {
	x.phase, x.settle, x.retryAt, x.retries = phaseSettling, c, time.Time{}, 0
	x.emit(ProposeSettle{Command: c})
}

// finish answers with the recorded result and ends the execution.
func (x *Execution) finish() {
	if x.result != nil {
		x.answer(Answer{Result: x.result})
	}
	x.close()
}

func (x *Execution) close() {
	x.phase = phaseClosed
	x.emit(Close{})
}

// answerUnclaimed answers a submission whose claim got no reply from the
// ledger. It did not run, but another one under the same ID may have.
func (x *Execution) answerUnclaimed(code verdict.Code, reason string) {
	if x.req.First {
		x.answerErr(verdict.NotRun, code, "%s", reason)
		return
	}
	x.answerErr(verdict.MayHaveRun, code, "%s; this submission was not run, but another one under the same ID may have run", reason)
}

func (x *Execution) answerErr(v verdict.Verdict, code verdict.Code, format string, args ...any) {
	x.answer(Answer{Err: verdict.New(v, code, format, args...)})
}

func (x *Execution) answer(a Answer) {
	if x.answered {
		return
	}
	x.answered = true
	x.emit(a)
}

// scheduleWake asks for a Tick at the deadline or the next retry.
func (x *Execution) scheduleWake() {
	if x.phase == phaseClosed {
		return
	}
	wake := x.retryAt
	if !x.answered && (wake.IsZero() || x.req.Deadline.Before(wake)) {
		wake = x.req.Deadline
	}
	if !wake.IsZero() {
		x.emit(WakeAt{At: wake})
	}
}
