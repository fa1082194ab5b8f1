// Package queryrun drives queries: it executes the effects of a query.Run
// over a transport and passes it replies, timer ticks and catalog changes. The
// goroutine that calls Do is the query's traffic goroutine.
package queryrun

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Transport sends one sub-request and returns its reply. It must return soon
// after ctx ends. Its errors carry a verdict.
type Transport interface {
	Search(ctx context.Context, req query.SubRequest) query.Reply
}

// Catalogs returns the current catalog of a group and a channel that is closed
// when a newer one is available.
type Catalogs interface {
	Catalog(group string) (*query.Catalog, <-chan struct{})
}

// Config holds the dependencies and limits of a Driver.
type Config struct {
	Transport   Transport
	Catalogs    Catalogs
	Log         *eventlog.Logger
	OnDrain     func(query.DrainObserved) // must not block; may be nil
	MaxInFlight int                       // sub-requests in flight on this host; zero means no limit
	Seed        uint64                    // of the retry jitter
}

// Stats are totals over all queries.
type Stats struct {
	LateReplies int64 // replies that arrived after their query had ended
	InFlight    int64 // sub-requests whose transport has not returned
	Overflow    int64 // sub-requests refused because MaxInFlight was reached
}

// Driver runs queries. It is safe for concurrent use.
type Driver struct {
	cfg      Config
	queries  atomic.Uint64
	inFlight atomic.Int64
	late     atomic.Int64
	overflow atomic.Int64
	workers  sync.WaitGroup
}

// New returns a driver.
func New(cfg Config) *Driver {
	if cfg.Log == nil {
		cfg.Log = eventlog.Nop()
	}
	return &Driver{cfg: cfg}
}

// Stats returns the totals so far.
func (d *Driver) Stats() Stats {
	return Stats{LateReplies: d.late.Load(), InFlight: d.inFlight.Load(), Overflow: d.overflow.Load()}
}

// Wait returns once every transport call has returned. No query may start
// during or after the call.
func (d *Driver) Wait() { d.workers.Wait() }

// Do runs one query until it finishes or ctx ends, which means that the caller
// is gone. The run decides which sub-requests to cancel; all that are in flight
// have been cancelled when Do returns.
func (d *Driver) Do(ctx context.Context, q query.Query, group *query.Group, chooser query.Chooser) (*query.Answer, error) {
	now := time.Now()
	policy := group.Policy(now)
	policy.Rand = rand.New(rand.NewPCG(d.cfg.Seed, d.queries.Add(1)))
	catalog, changed := d.cfg.Catalogs.Catalog(q.Group)
	if catalog != nil && len(catalog.Snapshots) > 0 {
		group.SetShards(len(catalog.Snapshots[0].Layout))
	}
	g := &gather{
		driver:  d,
		query:   q,
		run:     query.NewRun(policy, q, catalog, chooser, group, now),
		ctx:     context.WithoutCancel(ctx),
		inbox:   newInbox(),
		changed: changed,
	}
	return g.loop(ctx, now)
}

// gather is one query in progress.
type gather struct {
	driver  *Driver
	query   query.Query
	run     *query.Run
	ctx     context.Context      // never ends, so that a child context need not register with it
	cancels []context.CancelFunc // by attempt number - 1; nil once called
	inbox   *inbox
	batch   []query.Reply // taken from the inbox
	applied int           // replies of the batch already passed to the run
	changed <-chan struct{}
	timer   *time.Timer
	end     *query.Finish
}

func (g *gather) loop(ctx context.Context, now time.Time) (*query.Answer, error) {
	g.timer = time.NewTimer(g.query.Deadline.Sub(now))
	defer g.timer.Stop()
	g.execute(g.run.Start(now))
	for g.end == nil {
		ev := g.next(ctx)
		g.execute(g.run.Step(time.Now(), ev))
	}
	g.driver.late.Add(int64(g.inbox.close() + len(g.batch) - g.applied))
	g.report()
	return g.end.Answer, g.end.Err
}

// next waits for the next event.
func (g *gather) next(ctx context.Context) query.Event {
	for {
		if g.applied < len(g.batch) {
			rep := g.batch[g.applied]
			g.applied++
			g.release(rep.Attempt)
			return query.ReplyArrived{Reply: rep}
		}
		if ev := g.wait(ctx); ev != nil {
			return ev
		}
	}
}

// wait blocks until the next event and returns it. If replies arrived, it
// stores them in the batch and returns nil.
func (g *gather) wait(ctx context.Context) query.Event {
	select {
	case <-g.inbox.ready:
		g.batch, g.applied = g.inbox.take(g.batch), 0
		return nil
	case <-g.timer.C:
		return query.Tick{}
	case <-ctx.Done():
		return query.CallerGone{}
	case <-g.changed:
		var catalog *query.Catalog
		catalog, g.changed = g.driver.cfg.Catalogs.Catalog(g.query.Group)
		return query.CatalogChanged{Catalog: catalog}
	}
}

func (g *gather) execute(effects []query.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case query.Send:
			g.send(e.Request)
		case query.Cancel:
			g.release(e.Attempt)
		case query.WakeAt:
			g.timer.Reset(time.Until(e.At))
		case query.DrainObserved:
			g.reportDrain(e)
		case query.Finish:
			g.end = &e
		}
	}
}

// send starts the transport call of one attempt. At the limit of sub-requests
// in flight it refuses the attempt instead, with verdict NotRun.
func (g *gather) send(req query.SubRequest) {
	d := g.driver
	ctx, cancel := context.WithCancel(g.ctx)
	g.cancels = append(g.cancels, cancel)
	overflow := d.inFlight.Add(1) > int64(d.cfg.MaxInFlight) && d.cfg.MaxInFlight > 0
	if overflow {
		d.overflow.Add(1)
	}
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		rep := query.Reply{Attempt: req.Attempt}
		if overflow {
			rep.Err = verdict.New(verdict.NotRun, query.CodeShed, "the limit of %d sub-requests in flight on this host is reached", d.cfg.MaxInFlight)
		} else {
			rep = d.cfg.Transport.Search(ctx, req)
			rep.Attempt = req.Attempt
		}
		d.inFlight.Add(-1)
		if !g.inbox.put(rep) {
			d.late.Add(1)
		}
	}()
}

// release cancels the context of an attempt.
func (g *gather) release(attempt uint32) {
	k := int(attempt) - 1
	if g.cancels[k] != nil {
		g.cancels[k]()
		g.cancels[k] = nil
	}
}

func (g *gather) reportDrain(seen query.DrainObserved) {
	g.driver.cfg.Log.Log(eventDraining).Str("request_id", g.query.RequestID).Str("group", g.query.Group).
		Str("target", seen.Target).Uint64("incarnation", seen.Incarnation).Send()
	if g.driver.cfg.OnDrain != nil {
		g.driver.cfg.OnDrain(seen)
	}
}

// report logs restarts, mismatched replies, and a failed or partial result.
func (g *gather) report() {
	log := g.driver.cfg.Log
	c := g.run.Counters()
	id, group := g.query.RequestID, g.query.Group
	if c.Restarts > 0 {
		log.Log(eventRestarted).Str("request_id", id).Str("group", group).Int("restarts", c.Restarts).Send()
	}
	if c.Mismatched > 0 {
		log.Log(eventMismatched).Str("request_id", id).Str("group", group).Int("replies", c.Mismatched).Send()
	}
	if err := g.end.Err; err != nil {
		log.Log(eventFailed).Str("request_id", id).Str("group", group).Str("code", string(verdict.CodeOf(err))).
			Str("verdict", verdict.Of(err).String()).AnErr("error", err).Send()
		return
	}
	if a := g.end.Answer; len(a.Coverage.Missing) > 0 {
		first := a.Coverage.Missing[0]
		log.Log(eventPartial).Str("request_id", id).Str("group", group).Str("index_snapshot", a.IndexSnapshot).
			Int("answered", len(a.Coverage.Answered)).Int("total", a.Coverage.Total).
			Str("missing_shard", first.Shard).Str("reason", string(first.Reason)).Send()
	}
}
