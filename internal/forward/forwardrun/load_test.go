package forwardrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// loadWire reports a load in every reply.
type loadWire struct {
	testWire
	load workload.Report
}

func (w loadWire) ParseHeader(status int, h http.Header) ReplyMeta {
	meta := w.testWire.ParseHeader(status, h)
	meta.Load = w.load
	return meta
}

// Guards against replies whose response time and reported load do not reach the estimates
// that the next request is sent by.
func TestRepliesFeedTheEstimates(t *testing.T) {
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, record("a"))) })
	report := workload.Report{Stated: true, Running: 1, Waiting: 2, Slots: 2, Pace: 1.5}
	e := New(Config{Wire: loadWire{load: report}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}})
	e.SetSearchers(map[string][]forward.SearcherSpec{"a": {s.spec("a")}})
	t.Cleanup(e.Close)
	route := &routeplan.Route{Name: "g", Idempotent: true, MaxAttempts: 2, Timeout: testTimeout, Objective: testTimeout, Gather: &routeplan.Gather{Services: []string{"a"}, TopK: 3, MinRatio: 1}}
	for n := range 3 {
		now := time.Now()
		_, err := e.Do(context.Background(), &Call{ID: fmt.Sprint(n), Method: http.MethodGet, URI: "/", Route: route, Arrived: now, Deadline: now.Add(testTimeout)})
		require.Nil(t, err)
	}
	e.routesMu.Lock()
	work := e.costs.Estimate(time.Now(), workload.Features{Route: "g"}).Work
	e.routesMu.Unlock()
	require.Positive(t, work)
	kinds := e.Estimates()
	require.Len(t, kinds, 1)
	require.Equal(t, "g", kinds[0].Kind)
	require.EqualValues(t, 2, kinds[0].Attempts, "the work of the first one was not known")
	require.Positive(t, kinds[0].Expected)
	svc := e.service("a")
	svc.mu.Lock()
	defer svc.mu.Unlock()
	searcher := svc.group.Searchers()[0]
	got, at := searcher.Load().LastReport()
	require.Equal(t, report, got)
	require.False(t, at.IsZero())
	require.Zero(t, searcher.Load().InFlight())
}

// Guards against metrics with a label for each of many routes.
func TestEstimatesByKindAreBounded(t *testing.T) {
	e := New(Config{Wire: testWire{}})
	for i := range 10 * maxKindEstimates {
		e.routesMu.Lock()
		e.estimatesOf(fmt.Sprint(i)).record(workload.Observation{Took: 30 * time.Millisecond, Expected: 10 * time.Millisecond})
		e.routesMu.Unlock()
	}
	kinds := e.Estimates()
	require.Len(t, kinds, maxKindEstimates)
	var attempts, missed int64
	for _, k := range kinds {
		attempts, missed = attempts+k.Attempts, missed+k.Missed
	}
	require.EqualValues(t, 10*maxKindEstimates, attempts)
	require.EqualValues(t, attempts, missed)
}

// Guards against searchers that misreport their load without anybody being told.
func TestMisreportingSearchersAreLogged(t *testing.T) {
	e := New(Config{Wire: testWire{}})
	id := forward.Identity{Target: "t", Incarnation: 1}
	e.SetSearchers(map[string][]forward.SearcherSpec{"a": {{Identity: id, Slots: 2, Capacity: 8, OnDemand: true}}})
	t.Cleanup(e.Close)
	require.Zero(t, e.TakeUsage().Contradicted)
	svc := e.service("a")
	now, work := time.Now(), 10*time.Millisecond
	for range 30 {
		searcher, _, _ := svc.begin(now, forward.Criteria{MedianTime: work}, forward.AttemptOptions{}, rand.New(rand.NewPCG(1, 2)))
		svc.group.End(now.Add(8*work), now, searcher, work, forward.Good)
		now = now.Add(8 * work)
		svc.group.Report(now, searcher, workload.Report{Stated: true, Slots: 2, Pace: 1})
	}
	u := e.TakeUsage()
	require.Equal(t, 1, u.Contradicted)
	var out strings.Builder
	u.Log(eventlog.New(&out, zerolog.InfoLevel, "h"))
	require.Contains(t, out.String(), `"event":8020`)
	require.Contains(t, out.String(), `"one":"a/t"`)
}
