package queryrun

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTransport answers after a delay that depends on the target. A target
// without a delay never answers.
type fakeTransport struct {
	delays  map[string]time.Duration
	started atomic.Int64
	ended   atomic.Int64
}

func (f *fakeTransport) Search(ctx context.Context, req query.SubRequest) query.Reply {
	f.started.Add(1)
	defer f.ended.Add(1)
	var answered <-chan time.Time
	if d, ok := f.delays[req.Replica.Target]; ok {
		answered = time.After(d)
	}
	select {
	case <-answered:
		return query.Reply{IndexSnapshot: req.IndexSnapshot, Shard: req.ShardName, Draining: req.Replica.Target == "leaving"}
	case <-ctx.Done():
		// A slow transport takes a while to notice its cancellation.
		time.Sleep(3 * time.Millisecond)
		return query.Reply{Err: verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "search")}
	}
}

// fakeCatalogs returns a catalog that can be replaced once.
type fakeCatalogs struct {
	current atomic.Pointer[query.Catalog]
	changed atomic.Pointer[chan struct{}]
}

func (f *fakeCatalogs) Catalog(string) (*query.Catalog, <-chan struct{}) {
	changed := *f.changed.Load()
	return f.current.Load(), changed
}

func (f *fakeCatalogs) replace(c *query.Catalog) {
	f.current.Store(c)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

func catalog(name string, shards int, targets ...string) *query.Catalog {
	s := query.Snapshot{Name: name, Generation: 1}
	for i := range shards {
		s.Layout = append(s.Layout, fmt.Sprintf("shard-%d", i))
		var reps []query.Replica
		for _, target := range targets {
			reps = append(reps, query.Replica{Target: target, FailureDomain: target})
		}
		s.Replicas = append(s.Replicas, reps)
	}
	return &query.Catalog{Group: "g", Snapshots: []query.Snapshot{s}}
}

// first picks the first replica, so that tests know which one is asked.
type first struct{}

func (first) Pick(time.Time, []query.Replica, string) (int, bool) { return 0, true }

type fixture struct {
	transport *fakeTransport
	catalogs  *fakeCatalogs
	driver    *Driver
	log       bytes.Buffer
	drains    []query.DrainObserved
}

func newFixture(c *query.Catalog, delays map[string]time.Duration, maxInFlight int) *fixture {
	f := &fixture{transport: &fakeTransport{delays: delays}, catalogs: &fakeCatalogs{}}
	f.catalogs.current.Store(c)
	changed := make(chan struct{})
	f.catalogs.changed.Store(&changed)
	f.driver = New(Config{
		Transport: f.transport, Catalogs: f.catalogs, Log: eventlog.New(&f.log, zerolog.DebugLevel, "h"),
		OnDrain: func(s query.DrainObserved) { f.drains = append(f.drains, s) }, MaxInFlight: maxInFlight,
	})
	return f
}

func (f *fixture) do(ctx context.Context, timeout time.Duration) (*query.Answer, error) {
	group := query.NewGroup(query.DefaultPolicy(), query.DefaultBudgetLimits())
	q := query.Query{RequestID: "q", Group: "g", K: 3, Deadline: time.Now().Add(timeout)}
	return f.driver.Do(ctx, q, group, first{})
}

// Guards against a hedge that is never sent, a first attempt that is not
// cancelled when its hedge answers, and an answer that waits for cancelled
// sub-requests.
func TestHedgeAnswersForSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog("s1", 1, "silent", "leaving"), map[string]time.Duration{"leaving": 5 * time.Millisecond}, 0)
		begin := time.Now()
		a, err := f.do(t.Context(), time.Second)
		require.NoError(t, err)
		require.Equal(t, 55*time.Millisecond, time.Since(begin))
		require.Equal(t, 1, a.Hedges)
		require.Equal(t, []query.DrainObserved{{Target: "leaving"}}, f.drains)
		f.driver.Wait()
		require.Equal(t, f.transport.started.Load(), f.transport.ended.Load())
		require.EqualValues(t, 1, f.driver.Stats().LateReplies)
		require.Contains(t, f.log.String(), `"event":6004`)
	})
}

// Guards against an answer past its deadline, and against sub-requests that
// outlive the query.
func TestDeadlineCancelsSubRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog("s1", 40, "silent"), nil, 0)
		begin := time.Now()
		_, err := f.do(t.Context(), 30*time.Millisecond)
		require.Equal(t, verdict.CodeDeadlineExceeded, verdict.CodeOf(err))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Less(t, time.Since(begin), 30*time.Millisecond)
		f.driver.Wait()
		require.Equal(t, Stats{LateReplies: 40}, f.driver.Stats())
		require.Contains(t, f.log.String(), `"event":6001`)
	})
}

// Guards against sub-requests that continue after the caller has cancelled.
func TestCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog("s1", 4, "silent"), nil, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Millisecond)
		defer cancel()
		_, err := f.do(ctx, time.Second)
		require.Equal(t, query.CodeCancelled, verdict.CodeOf(err))
		f.driver.Wait()
		require.EqualValues(t, 4, f.transport.ended.Load())
	})
}

// Guards against an unbounded number of sub-requests in flight, and against
// giving up a shard whose sub-request this host refused.
func TestInFlightLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog("s1", 3, "a"), map[string]time.Duration{"a": 5 * time.Millisecond}, 2)
		a, err := f.do(t.Context(), time.Second)
		require.NoError(t, err)
		require.Empty(t, a.Coverage.Missing, "shards with refused sub-requests are retried")
		require.EqualValues(t, 2, f.driver.Stats().Overflow, "once at the start and once after the first backoff of 4 ms")
		f.driver.Wait()
	})
}

// Guards against a query that misses a catalog change, and against a partial
// answer that is not logged.
func TestCatalogChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog("s1", 2, "silent"), map[string]time.Duration{"a": 5 * time.Millisecond}, 0)
		f.catalogs.current.Load().Snapshots[0].Replicas[1] = nil
		go func() {
			time.Sleep(10 * time.Millisecond)
			next := catalog("s2", 2, "a")
			next.Snapshots[0].Generation = 2
			next.Snapshots[0].Replicas[1] = nil
			f.catalogs.replace(next)
		}()
		begin := time.Now()
		a, err := f.do(t.Context(), time.Second)
		require.NoError(t, err)
		require.Equal(t, "s2", a.IndexSnapshot)
		require.Equal(t, 55*time.Millisecond, time.Since(begin), "restarted when a hedge was due")
		require.Equal(t, []query.MissingShard{{Shard: "shard-1", Reason: query.ReasonNoReplica}}, a.Coverage.Missing)
		require.Contains(t, f.log.String(), `"event":6000`)
		require.Contains(t, f.log.String(), `"event":6002`)
		f.driver.Wait()
	})
}

// Guards against data races and leaks when many queries share one driver.
func TestManyQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog("s1", 12, "a", "b"), map[string]time.Duration{"a": 5 * time.Millisecond, "b": 9 * time.Millisecond}, 0)
		group := query.NewGroup(query.DefaultPolicy(), query.DefaultBudgetLimits())
		chooser := query.NewRandomChooser(rand.New(rand.NewPCG(1, 2)))
		errs := make(chan error, 50)
		for range cap(errs) {
			go func() {
				q := query.Query{RequestID: "q", Group: "g", Deadline: time.Now().Add(time.Second)}
				a, err := f.driver.Do(t.Context(), q, group, chooser)
				if err == nil && len(a.Coverage.Answered) != 12 {
					err = fmt.Errorf("coverage %v", a.Coverage)
				}
				errs <- err
			}()
		}
		for range cap(errs) {
			require.NoError(t, <-errs)
		}
		f.driver.Wait()
	})
}
