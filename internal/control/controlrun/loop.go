// Package controlrun runs the control goroutine of a host.
package controlrun

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

const (
	eventQueueLength = 4096
	// maxBatch bounds the events between two publications of the snapshot.
	maxBatch = 256
	// lateTickGap is the gap between two ticks above which it is logged.
	lateTickGap = 250 * time.Millisecond
	// loggedSuspension is the shortest suspension of the machine that is logged. Shorter
	// ones end no lease.
	loggedSuspension = 50 * time.Millisecond
)

// Executor carries out effects. Execute must not block.
type Executor interface {
	Execute(control.Effect)
}

// Loop runs the control goroutine and passes events to it.
type Loop struct {
	core     *control.Core
	executor Executor
	log      *eventlog.Logger
	events   chan control.Event

	current atomic.Pointer[published]
	token   atomic.Uint64
	// inFlight returns the number of callers' requests in progress. It is safe
	// for concurrent use.
	inFlight func() int

	mu      sync.Mutex
	waiting map[uint64]chan outcome
	clock   func() time.Time

	suspended time.Duration // total that was logged
}

// Now returns the time by which the control state is stepped. Every time in a snapshot
// is of this clock.
func (l *Loop) Now() time.Time { return l.clock() }

// published is a snapshot with the channel that is closed when the next one
// replaces it.
type published struct {
	snapshot *control.Snapshot
	replaced chan struct{}
}

type outcome struct {
	result any
	err    error
}

// New returns a loop that has not started. Its effects go to the executor that
// is passed to Run. The clock must never go back and should count the time for
// which the machine is suspended, as bootclock.Now does: the slices measure by it
// how long a lease or a confirmation holds.
func New(core *control.Core, inFlight func() int, log *eventlog.Logger, clock func() time.Time) *Loop {
	l := &Loop{
		clock:    clock,
		core:     core,
		log:      log,
		inFlight: inFlight,
		events:   make(chan control.Event, eventQueueLength),
		waiting:  make(map[uint64]chan outcome),
	}
	l.current.Store(&published{snapshot: core.Snapshot(l.Now()), replaced: make(chan struct{})})
	return l
}

// Run steps the core until ctx ends.
func (l *Loop) Run(ctx context.Context, executor Executor) {
	l.executor = executor
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	last := l.Now()
	l.execute(l.core.Start(last))
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
			l.drain()
		case <-ticker.C:
			now := l.Now()
			if gap := now.Sub(last); gap > lateTickGap {
				l.log.Log(control.EventControlSlow).Dur("gap", gap).Send()
			}
			last = now
			l.logSuspension()
			l.step(control.Tick{InFlight: l.inFlight()})
		}
		l.publish()
	}
}

// logSuspension logs a suspension of the machine since the last call.
func (l *Loop) logSuspension() {
	total := bootclock.Suspended()
	if total-l.suspended < loggedSuspension {
		return
	}
	l.log.Log(control.EventSuspended).Dur("for", total-l.suspended).Dur("total", total).Send()
	l.suspended = total
}

// drain handles the events that are already queued, at most maxBatch.
func (l *Loop) drain() {
	for range maxBatch {
		select {
		case ev := <-l.events:
			l.step(ev)
		default:
			return
		}
	}
}

func (l *Loop) step(ev control.Event) {
	l.execute(l.core.Step(l.Now(), ev))
}

func (l *Loop) execute(effects []control.Effect) {
	for _, e := range effects {
		if r, ok := e.(control.Resolve); ok {
			l.resolve(r)
			continue
		}
		l.executor.Execute(e)
	}
}

func (l *Loop) resolve(r control.Resolve) {
	l.mu.Lock()
	ch := l.waiting[r.Token]
	delete(l.waiting, r.Token)
	l.mu.Unlock()
	if ch != nil {
		ch <- outcome{r.Result, r.Err}
	}
}

func (l *Loop) publish() {
	s := l.core.Snapshot(l.Now())
	old := l.current.Load()
	if s == old.snapshot {
		return
	}
	l.current.Store(&published{snapshot: s, replaced: make(chan struct{})})
	close(old.replaced)
}

// Snapshot returns the latest published snapshot.
func (l *Loop) Snapshot() *control.Snapshot { return l.current.Load().snapshot }

// Watch returns the latest snapshot and a channel that is closed when a newer
// one is published.
func (l *Loop) Watch() (*control.Snapshot, <-chan struct{}) {
	p := l.current.Load()
	return p.snapshot, p.replaced
}

// Catalog returns the catalog of a group and a channel that is closed when a
// newer one may be available.
func (l *Loop) Catalog(group string) (*query.Catalog, <-chan struct{}) {
	s, replaced := l.Watch()
	if c := s.Catalogs[group]; c != nil {
		return c, replaced
	}
	return &query.Catalog{Group: group}, replaced
}

// Post queues an event for the control goroutine. It waits for room in the
// queue until ctx ends.
func (l *Loop) Post(ctx context.Context, ev control.Event) error {
	select {
	case l.events <- ev:
		return nil
	default:
	}
	select {
	case l.events <- ev:
		return nil
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "the control queue is full")
	}
}

// TryPost queues an event if there is room, and reports whether it did.
func (l *Loop) TryPost(ev control.Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// Call posts the event that build makes for a new token and waits for its
// result. If ctx ends while it waits, the verdict is MayHaveRun.
func (l *Loop) Call(ctx context.Context, build func(token uint64) control.Event) (any, error) {
	token := l.token.Add(1)
	ch := make(chan outcome, 1)
	l.mu.Lock()
	l.waiting[token] = ch
	l.mu.Unlock()
	if err := l.Post(ctx, build(token)); err != nil {
		l.forget(token)
		return nil, err
	}
	select {
	case o := <-ch:
		return o.result, o.err
	case <-ctx.Done():
		l.forget(token)
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, proposals.CodeUnknownOutcome, "the control goroutine did not answer in time")
	}
}

func (l *Loop) forget(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, token)
}
