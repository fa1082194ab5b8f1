// Package admissionrun wraps package admission for concurrent use. Goroutines
// block until their queries are admitted or refused.
package admissionrun

import (
	"context"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// CodeCanceled is the error code of a query that was canceled while it waited.
const CodeCanceled verdict.Code = "canceled"

const logInterval = time.Second

// Query identifies the group and the caller of a query.
type Query struct {
	Group  string
	Team   string
	Caller string
}

// Controller is an admission.Queue with a lock and an expiry timer. It is safe
// for concurrent use.
type Controller struct {
	log *eventlog.Logger

	mu            sync.Mutex
	queue         *admission.Queue
	nextID        uint64
	waiting       map[uint64]chan error
	timer         *time.Timer
	timerAt       time.Time // when the timer fires; zero if it is not set
	refused       int       // since the last log record
	lastLog       time.Time
	admittedTotal uint64
	refusedTotal  uint64
}

// New returns a controller without groups, which refuses every query.
func New(cfg admission.Config, log *eventlog.Logger) *Controller {
	return &Controller{log: log, queue: admission.New(cfg), waiting: map[uint64]chan error{}}
}

// SetGroups replaces the groups.
func (c *Controller) SetGroups(groups []routing.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepLocked(admission.Configure{Groups: groups})
}

// Admit blocks until the query is admitted or refused. The context must have a
// deadline. Every error carries the verdict not_run. The caller must call
// release when an admitted query ends.
func (c *Controller) Admit(ctx context.Context, q Query) (release func(admission.Result), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "a query needs a deadline")
	}
	result := make(chan error, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.waiting[id] = result
	c.stepLocked(admission.Arrive{ID: id, Group: q.Group, Team: q.Team, Caller: q.Caller, Deadline: deadline})
	c.mu.Unlock()

	select {
	case err = <-result:
	case <-ctx.Done():
		err = c.withdraw(ctx, id, result)
	}
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func(r admission.Result) { once.Do(func() { c.finish(id, r) }) }, nil
}

// withdraw removes a query whose context ended. If the query was decided at the
// same time, it returns the decision.
func (c *Controller) withdraw(ctx context.Context, id uint64, result chan error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-result:
		return err
	default:
	}
	delete(c.waiting, id)
	c.stepLocked(admission.Done{ID: id, Result: admission.Abandoned})
	code := CodeCanceled
	if ctx.Err() == context.DeadlineExceeded {
		code = verdict.CodeDeadlineExceeded
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, code, "wait for admission")
}

func (c *Controller) finish(id uint64, r admission.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepLocked(admission.Done{ID: id, Result: r})
}

// stepLocked applies an event, delivers the decisions, and sets the timer.
func (c *Controller) stepLocked(ev admission.Event) {
	now := time.Now()
	for _, d := range c.queue.Step(now, ev) {
		if d.Kind == admission.Wait {
			continue
		}
		result := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if d.Kind == admission.Admit {
			c.admittedTotal++
			result <- nil
			continue
		}
		c.refusedTotal++
		c.countRefusalLocked(now, d.Err)
		result <- d.Err
	}
	c.armLocked(now)
}

func (c *Controller) countRefusalLocked(now time.Time, err *verdict.Error) {
	if err.Code == routing.CodeUnknownGroup {
		return // the caller's mistake, which says nothing about the load
	}
	c.refused++
	if now.Sub(c.lastLog) < logInterval {
		return
	}
	c.log.Log(eventQueriesRefused).Int("refused", c.refused).Str("last_code", string(err.Code)).Send()
	c.refused = 0
	c.lastLog = now
}

// armLocked sets the timer to the next expiry. It never delays a set timer:
// when a timer fires too early, it is set again.
func (c *Controller) armLocked(now time.Time) {
	at, ok := c.queue.NextExpiry()
	if !ok || !c.timerAt.IsZero() && !at.Before(c.timerAt) {
		return
	}
	c.timerAt = at
	if c.timer == nil {
		c.timer = time.AfterFunc(at.Sub(now), c.expire)
		return
	}
	c.timer.Reset(at.Sub(now))
}

func (c *Controller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerAt = time.Time{}
	c.stepLocked(admission.Expire{})
}

// Totals counts queries since the process started.
type Totals struct {
	Admitted uint64
	Refused  uint64
}

// Snapshot returns the current counts and the totals.
func (c *Controller) Snapshot() (admission.Stats, Totals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Snapshot(), Totals{Admitted: c.admittedTotal, Refused: c.refusedTotal}
}
