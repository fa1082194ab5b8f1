// Package admissionrun makes the decisions of package admission usable by
// many goroutines, which block until they are admitted or refused.
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

// CodeCanceled is the code of a query whose caller left while it waited.
const CodeCanceled verdict.Code = "canceled"

const logInterval = time.Second

// Query names who asks for what.
type Query struct {
	Group  string
	Team   string
	Caller string
}

// Gate is an admission.Queue with a lock and one timer. It is safe for
// concurrent use.
type Gate struct {
	log *eventlog.Logger

	mu       sync.Mutex
	queue    *admission.Queue
	nextID   uint64
	waiting  map[uint64]chan error
	timer    *time.Timer
	timerAt  time.Time // when the timer fires; zero if it is not armed
	refused  int       // since the last log record
	lastLog  time.Time
	totalRun uint64
	totalRef uint64
}

// New returns a gate without groups, which refuses every query.
func New(cfg admission.Config, log *eventlog.Logger) *Gate {
	return &Gate{log: log, queue: admission.New(cfg), waiting: map[uint64]chan error{}}
}

// SetGroups replaces the groups.
func (g *Gate) SetGroups(groups []routing.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(admission.Configure{Groups: groups})
}

// Enter blocks until the query is admitted or refused. The context must have
// a deadline. Every error carries the verdict not_run. An admitted query must
// call leave once.
func (g *Gate) Enter(ctx context.Context, q Query) (leave func(admission.Result), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "a query needs a deadline")
	}
	answer := make(chan error, 1)
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	g.waiting[id] = answer
	g.stepLocked(admission.Arrive{ID: id, Group: q.Group, Team: q.Team, Caller: q.Caller, Deadline: deadline})
	g.mu.Unlock()

	select {
	case err = <-answer:
	case <-ctx.Done():
		err = g.abandon(ctx, id, answer)
	}
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func(r admission.Result) { once.Do(func() { g.leave(id, r) }) }, nil
}

// abandon withdraws a query whose context ended, unless it has been answered
// in the same moment.
func (g *Gate) abandon(ctx context.Context, id uint64, answer chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-answer:
		return err
	default:
	}
	delete(g.waiting, id)
	g.stepLocked(admission.Done{ID: id, Result: admission.Abandoned})
	code := CodeCanceled
	if ctx.Err() == context.DeadlineExceeded {
		code = verdict.CodeDeadlineExceeded
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, code, "wait for admission")
}

func (g *Gate) leave(id uint64, r admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(admission.Done{ID: id, Result: r})
}

// stepLocked applies an event, delivers the decisions and arms the timer.
func (g *Gate) stepLocked(ev admission.Event) {
	now := time.Now()
	for _, d := range g.queue.Step(now, ev) {
		if d.Kind == admission.Wait {
			continue
		}
		answer := g.waiting[d.ID]
		delete(g.waiting, d.ID)
		if d.Kind == admission.Admit {
			g.totalRun++
			answer <- nil
			continue
		}
		g.totalRef++
		g.countRefusalLocked(now, d.Err)
		answer <- d.Err
	}
	g.armLocked(now)
}

func (g *Gate) countRefusalLocked(now time.Time, err *verdict.Error) {
	g.refused++
	if now.Sub(g.lastLog) < logInterval {
		return
	}
	g.log.Log(eventRefusing).Int("refused", g.refused).Str("last_code", string(err.Code)).Send()
	g.refused = 0
	g.lastLog = now
}

// armLocked makes the timer fire at the next expiry. A timer that fires too
// early only arms itself again, so it is never moved back.
func (g *Gate) armLocked(now time.Time) {
	at, ok := g.queue.NextExpiry()
	if !ok || !g.timerAt.IsZero() && !at.Before(g.timerAt) {
		return
	}
	g.timerAt = at
	if g.timer == nil {
		g.timer = time.AfterFunc(at.Sub(now), g.expire)
		return
	}
	g.timer.Reset(at.Sub(now))
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = time.Time{}
	g.stepLocked(admission.Expire{})
}

// Totals counts queries since the start.
type Totals struct {
	Admitted uint64
	Refused  uint64
}

// Snapshot returns the present counts and the totals.
func (g *Gate) Snapshot() (admission.Stats, Totals) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Snapshot(), Totals{Admitted: g.totalRun, Refused: g.totalRef}
}
