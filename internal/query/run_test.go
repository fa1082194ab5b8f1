package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Time { return t0.Add(time.Duration(n) * time.Millisecond) }

// firstChooser picks the first candidate.
type firstChooser struct{}

func (firstChooser) Pick(time.Time, []Replica, string) (int, bool) { return 0, true }

// snapshotOf returns a snapshot whose shards have n replicas each, in failure
// domains d0, d1 and so on.
func snapshotOf(name string, generation uint64, shards, n int) Snapshot {
	s := Snapshot{Name: name, Generation: generation}
	for i := range shards {
		var reps []Replica
		for j := range n {
			reps = append(reps, Replica{Target: fmt.Sprintf("t%d-%d", i, j), Searcher: "a", FailureDomain: fmt.Sprintf("d%d", j)})
		}
		s.Layout = append(s.Layout, fmt.Sprintf("%s/%02d", name, i))
		s.Replicas = append(s.Replicas, reps)
	}
	return s
}

func catalogOf(snapshots ...Snapshot) *Catalog { return &Catalog{Group: "g", Snapshots: snapshots} }

// harness runs a query and collects its effects by type.
type harness struct {
	*Run
	sent      map[uint32]SubRequest
	order     []uint32
	cancelled map[uint32]bool
	drains    []DrainObserved
	wakeAt    time.Time
	end       *Finish
}

func start(p Policy, q Query, c *Catalog, b Budgets) *harness {
	h := &harness{Run: NewRun(p, q, c, firstChooser{}, b, t0), sent: map[uint32]SubRequest{}, cancelled: map[uint32]bool{}}
	h.apply(h.Start(t0))
	return h
}

func (h *harness) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			h.sent[e.Request.Attempt] = e.Request
			h.order = append(h.order, e.Request.Attempt)
		case Cancel:
			h.cancelled[e.Attempt] = true
		case DrainObserved:
			h.drains = append(h.drains, e)
		case WakeAt:
			h.wakeAt = e.At
		case Finish:
			h.end = &e
		}
	}
}

func (h *harness) at(now time.Time, ev Event) { h.apply(h.Step(now, ev)) }

func (h *harness) ok(now time.Time, attempt uint32, hits ...Hit) {
	r := h.sent[attempt]
	h.at(now, ReplyArrived{Reply{Attempt: attempt, IndexSnapshot: r.IndexSnapshot, Shard: r.ShardName, Hits: hits}})
}

func (h *harness) refuse(now time.Time, attempt uint32, code verdict.Code) {
	h.at(now, ReplyArrived{Reply{Attempt: attempt, Err: verdict.New(verdict.NotRun, code, "refused")}})
}

func testQuery() Query {
	return Query{RequestID: "q", Group: "g", Terms: "x", K: 3, Deadline: ms(100)}
}

func budgets() *SharedBudgets { return NewSharedBudgets(DefaultBudgetLimits()) }

// Guards against wrongly merged hits, a shard counted twice and a missing
// coverage entry when all shards answer.
func TestAnswerMergesAllShards(t *testing.T) {
	h := start(DefaultPolicy(), testQuery(), catalogOf(snapshotOf("s2", 2, 3, 2), snapshotOf("s1", 1, 3, 2)), budgets())
	require.Len(t, h.order, 3)
	h.ok(ms(5), 3, Hit{ID: "b", Score: 2}, Hit{ID: "z", Score: 1})
	h.ok(ms(5), 1, Hit{ID: "a", Score: 2}, Hit{ID: "y", Score: 9})
	h.ok(ms(6), 1, Hit{ID: "again", Score: 99})
	require.Nil(t, h.end)
	h.ok(ms(7), 2)
	require.NoError(t, h.end.Err)
	a := h.end.Answer
	require.Equal(t, "s2", a.IndexSnapshot)
	require.Equal(t, []Hit{{ID: "y", Score: 9}, {ID: "a", Score: 2}, {ID: "b", Score: 2}}, a.Hits)
	require.Equal(t, Coverage{Total: 3, Answered: []string{"s2/00", "s2/01", "s2/02"}}, a.Coverage)
	require.Equal(t, verdict.Ran, a.Verdict)
	require.Equal(t, 1, h.Counters().Duplicate)
}

// Guards against pinning a newer snapshot with shards that have no replica
// while an older one is complete.
func TestPinPrefersCompleteSnapshot(t *testing.T) {
	incomplete := snapshotOf("s2", 2, 3, 1)
	incomplete.Replicas[1] = nil
	h := start(DefaultPolicy(), testQuery(), catalogOf(incomplete, snapshotOf("s1", 1, 2, 1)), budgets())
	require.Equal(t, "s1", h.sent[1].IndexSnapshot)
	h = start(DefaultPolicy(), testQuery(), catalogOf(incomplete), budgets())
	h.ok(ms(1), 1)
	h.ok(ms(1), 2)
	require.Equal(t, []MissingShard{{"s2/01", ReasonNoReplica}}, h.end.Answer.Coverage.Missing)
}
