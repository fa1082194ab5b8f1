// Package ordersrun runs orders. Each orders.Execution has a goroutine that
// carries out its effects and continues after the caller is answered until the
// claim is settled.
package ordersrun

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Limits of a driver and of its calls to the ledger.
const (
	commandTimeout = 3 * time.Second
	// watchInterval is the polling interval for a request that another host
	// has claimed.
	watchInterval = 100 * time.Millisecond
	// fenceStep is the difference between the fences of consecutive executions,
	// whose low bits stay zero.
	fenceStep = 1 << 16
	// maxOpen bounds the open executions, which accumulate while the ledger
	// is unreachable.
	maxOpen        = 4096
	retryAfterFull = time.Second
)

// Ledger is a client of the replicated ledger.
type Ledger interface {
	// Commit appends a command. The error's verdict is NotRun only if the
	// command certainly never reached the log.
	Commit(ctx context.Context, c orders.Command) (orders.Reply, error)
	LookUp(ctx context.Context, requestID string) (orders.Reply, error)
}

// Dispatch sends the order to a target. It must not retry an order that may
// have run. Its context ends at the order's deadline.
type Dispatch func(ctx context.Context) orders.TargetReplied

// Driver runs executions. It is safe for concurrent use.
type Driver struct {
	ledger      Ledger
	host        string
	incarnation atomic.Uint64
	fence       atomic.Uint64
	ctx         context.Context
	stop        context.CancelFunc
	running     sync.WaitGroup
	open        atomic.Int64
}

// New returns a driver that claims for a host. The incarnation must be higher
// than that of every earlier process of the host.
func New(ledger Ledger, host string, incarnation uint64) *Driver {
	ctx, stop := context.WithCancel(context.Background())
	d := &Driver{ledger: ledger, host: host, ctx: ctx, stop: stop}
	d.incarnation.Store(incarnation)
	d.fence.Store(rand.Uint64N(1<<16) * fenceStep)
	return d
}

// Open returns the number of executions that have not ended.
func (d *Driver) Open() int { return int(d.open.Load()) }

// Claimant returns the identity under which this host claims.
func (d *Driver) Claimant() orders.Claimant {
	return orders.Claimant{Host: d.host, Incarnation: d.incarnation.Load()}
}

// renew raises the incarnation after the ledger declared the current one dead,
// as it does with a host that was partitioned for long.
func (d *Driver) renew(now time.Time, old orders.Claimant) {
	d.incarnation.CompareAndSwap(old.Incarnation, max(old.Incarnation+1, uint64(now.UnixNano())))
}

// Run executes one order and returns its answer. The execution continues after
// ctx ends if the order has been dispatched.
func (d *Driver) Run(ctx context.Context, req orders.Request, dispatch Dispatch) (*orders.Result, error) {
	if d.open.Add(1) > maxOpen {
		d.open.Add(-1)
		return nil, verdict.New(verdict.NotRun, CodeTooManyOrders, "%d orders of this host are not settled yet", maxOpen).WithRetryAfter(retryAfterFull)
	}
	d.running.Add(1)
	e := &execution{
		driver: d, dispatch: dispatch, deadline: req.Deadline, claimant: d.Claimant(),
		events: make(chan orders.Event, 16), answer: make(chan orders.Answer, 1), caller: ctx.Done(),
	}
	fence := d.fence.Add(fenceStep)
	e.release = orders.Release{RequestID: req.ID, Token: orders.Token{Claimant: e.claimant, Fence: fence}}
	e.run = orders.NewExecution(req, e.claimant, fence)
	go e.loop()
	a := <-e.answer
	return a.Result, a.Err
}

// Close waits for the executions until ctx ends and then abandons the rest.
// Their open claims end as may_have_run.
func (d *Driver) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	d.stop()
	<-done
}

type execution struct {
	driver   *Driver
	run      *orders.Execution
	claimant orders.Claimant
	dispatch Dispatch
	deadline time.Time
	events   chan orders.Event
	answer   chan orders.Answer
	caller   <-chan struct{}
	answered bool
	timer    *time.Timer
	calls    sync.WaitGroup
	watching context.Context // ends with the execution
	// unresolved is set once the outcome of a claim is not known: it may still be
	// granted after the execution has ended. release gives that claim back.
	unresolved atomic.Bool
	release    orders.Release
}

func (e *execution) loop() {
	defer e.driver.running.Done()
	defer e.driver.open.Add(-1)
	e.timer = time.NewTimer(time.Hour)
	defer e.timer.Stop()
	ctx, cancel := context.WithCancel(e.driver.ctx)
	defer e.calls.Wait()
	defer cancel()
	watching, endWatch := context.WithCancel(ctx)
	defer endWatch()
	e.watching = watching
	e.step(ctx, orders.Start{})
	for !e.run.Closed() {
		select {
		case ev := <-e.events:
			e.step(ctx, ev)
		case <-e.timer.C:
			e.step(ctx, orders.Tick{})
		case <-e.caller:
			e.caller = nil
			e.step(ctx, orders.CallerGone{})
			e.reply(orders.Answer{Err: verdict.New(verdict.MayHaveRun, orders.CodeCallerGone, "the caller left before the order was answered")})
		case <-ctx.Done():
			e.reply(orders.Answer{Err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "this host stopped before the order was settled")})
			return
		}
	}
	endWatch()
	e.releaseLateClaim(ctx)
}

// releaseLateClaim waits for the claims that are in flight when an execution ends,
// and releases the claim if one was granted or may yet be granted. It would
// otherwise keep the request ID in progress until this host's next incarnation.
func (e *execution) releaseLateClaim(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.calls.Wait()
		close(done)
	}()
	granted := false
	for waiting := true; waiting; {
		select {
		case ev := <-e.events:
			granted = granted || isGrant(ev)
		case <-done:
			waiting = false
		}
	}
	for len(e.events) > 0 {
		granted = isGrant(<-e.events) || granted
	}
	if !granted && !e.unresolved.Load() {
		return
	}
	for wait := firstReleaseRetry; ; wait = min(2*wait, maxReleaseRetry) {
		if _, failed := e.settle(ctx, e.release).(orders.SettleFailed); !failed {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return // the leader ends the claims of a process that is gone
		}
	}
}

// Delays between attempts to release a claim after the execution has ended.
const (
	firstReleaseRetry = 100 * time.Millisecond
	maxReleaseRetry   = 5 * time.Second
)

func isGrant(ev orders.Event) bool {
	answer, ok := ev.(orders.ClaimAnswered)
	return ok && answer.Reply.Outcome == orders.Granted
}

func (e *execution) reply(a orders.Answer) {
	if !e.answered {
		e.answered = true
		e.answer <- a
	}
}

func (e *execution) step(ctx context.Context, ev orders.Event) {
	for _, effect := range e.run.Step(time.Now(), ev) {
		switch effect := effect.(type) {
		case orders.ProposeClaim:
			e.call(ctx, func(ctx context.Context) orders.Event { return e.claim(ctx, effect.Claim) })
		case orders.Dispatch:
			e.call(ctx, e.dispatchOnce)
		case orders.ProposeSettle:
			e.call(ctx, func(ctx context.Context) orders.Event { return e.settle(ctx, effect.Command) })
		case orders.Watch:
			e.call(e.watching, func(ctx context.Context) orders.Event { return e.watch(ctx, effect.RequestID) })
		case orders.WakeAt:
			e.timer.Reset(time.Until(effect.At))
		case orders.Answer:
			e.reply(effect)
		}
	}
}

// call runs f on a goroutine and passes its event to the loop.
func (e *execution) call(ctx context.Context, f func(context.Context) orders.Event) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		ev := f(ctx)
		if ev == nil {
			return
		}
		select {
		case e.events <- ev:
		case <-ctx.Done():
		}
	}()
}

func (e *execution) claim(ctx context.Context, c orders.Claim) orders.Event {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply, err := e.driver.ledger.Commit(ctx, c)
	if err != nil {
		sent := verdict.Of(err) != verdict.NotRun
		if sent {
			e.unresolved.Store(true)
		}
		return orders.ClaimFailed{Sent: sent}
	}
	if reply.Outcome == orders.ClaimEnded {
		e.driver.renew(time.Now(), e.claimant)
	}
	return orders.ClaimAnswered{Reply: reply}
}

func (e *execution) settle(ctx context.Context, c orders.Command) orders.Event {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply, err := e.driver.ledger.Commit(ctx, c)
	if err != nil {
		return orders.SettleFailed{}
	}
	return orders.SettleAnswered{Reply: reply}
}

func (e *execution) dispatchOnce(ctx context.Context) orders.Event {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	return e.dispatch(ctx)
}

// watch polls a request until another claim on it has ended, or until a delayed copy
// of this execution's own claim has been granted.
func (e *execution) watch(ctx context.Context, requestID string) orders.Event {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		reply, err := e.driver.ledger.LookUp(ctx, requestID)
		own := reply.Outcome == orders.InProgress && reply.Token == e.release.Token
		if err == nil && (own || reply.Outcome != orders.InProgress && reply.Outcome != orders.Unknown) {
			return orders.RequestChanged{Reply: reply}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// LookUp returns the result of an order, or an error with its verdict.
func (d *Driver) LookUp(ctx context.Context, requestID string) (*orders.Result, error) {
	reply, err := d.ledger.LookUp(ctx, requestID)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "look up the order")
	}
	switch reply.Outcome {
	case orders.Recorded:
		return reply.Result, nil
	case orders.Unknown, orders.Claimable:
		return nil, errors.WithStack(verdict.New(verdict.NotRun, CodeNotFound, "no order ran under request ID %q", requestID))
	case orders.InProgress:
		return nil, verdict.New(verdict.MayHaveRun, orders.CodeInProgress, "request ID %q is in progress", requestID)
	case orders.Expired:
		return nil, verdict.New(verdict.MayHaveRun, orders.CodeExpired, "request ID %q has expired; its order may have run", requestID)
	default:
		return nil, verdict.New(verdict.MayHaveRun, orders.CodeOutcomeUnknown, "the order with request ID %q may have run", requestID)
	}
}

// Codes of the errors of this package.
const (
	CodeNotFound      verdict.Code = "order_not_found" // a lookup found no order that ran
	CodeTooManyOrders verdict.Code = "too_many_orders"
)
