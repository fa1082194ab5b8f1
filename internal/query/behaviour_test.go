package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func twoSnapshots() *Catalog {
	return catalogOf(snapshotOf("s2", 2, 2, 1), snapshotOf("s1", 1, 3, 2))
}

func onlyOldSnapshot() *Catalog { return catalogOf(snapshotOf("s1", 1, 3, 2)) }

// Guards against an answer with hits of two snapshots, and against giving up
// while another replica or a newer snapshot could answer.
func TestVanishedSnapshot(t *testing.T) {
	h := start(DefaultPolicy(), testQuery(), onlyOldSnapshot(), budgets())
	h.at(ms(1), CatalogChanged{twoSnapshots()})
	h.refuse(ms(2), 1, CodeSnapshotGone)
	require.Len(t, h.order, 4, "another replica of the same snapshot is tried first")
	require.Equal(t, "s1", h.sent[4].IndexSnapshot)
	h.ok(ms(3), 2, Hit{ID: "old"})
	h.refuse(ms(4), 4, CodeSnapshotGone)
	require.Len(t, h.order, 6, "then the query restarts on the newer snapshot")
	require.True(t, h.cancelled[3])
	h.ok(ms(5), 3, Hit{ID: "old too"})
	require.Equal(t, 1, h.Counters().Late)
	h.ok(ms(6), 5, Hit{ID: "new"})
	h.ok(ms(6), 6)
	a := h.end.Answer
	require.Equal(t, "s2", a.IndexSnapshot)
	require.Equal(t, []Hit{{ID: "new"}}, a.Hits)
	require.Equal(t, 2, a.Coverage.Total)
	require.Equal(t, 1, a.Restarts)
}

// Guards against a restart that cannot answer in time or that would reduce
// the coverage.
func TestVanishedSnapshotWithoutRestart(t *testing.T) {
	incomplete := snapshotOf("s2", 2, 3, 1)
	incomplete.Replicas[0], incomplete.Replicas[1] = nil, nil
	cases := map[string]struct {
		catalog *Catalog
		at      int
	}{
		"too late":            {twoSnapshots(), 90},
		"newer is incomplete": {catalogOf(incomplete, snapshotOf("s1", 1, 3, 2)), 10},
		"no newer one listed": {onlyOldSnapshot(), 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := DefaultPolicy()
			p.HedgeDelay = 0
			h := start(p, testQuery(), onlyOldSnapshot(), budgets())
			h.at(ms(1), CatalogChanged{c.catalog})
			h.refuse(ms(c.at), 1, CodeSnapshotGone)
			h.ok(ms(c.at), 2)
			h.ok(ms(c.at), 3)
			h.refuse(ms(c.at), 4, CodeSnapshotGone)
			require.Equal(t, "s1", h.end.Answer.IndexSnapshot)
			require.Equal(t, []MissingShard{{"s1/00", ReasonSnapshotGone}}, h.end.Answer.Coverage.Missing)
		})
	}
}

// Guards against waiting for the deadline when the catalog drops the pinned
// snapshot and its searchers no longer reply.
func TestSnapshotLeavesCatalog(t *testing.T) {
	h := start(DefaultPolicy(), testQuery(), onlyOldSnapshot(), budgets())
	h.at(ms(1), CatalogChanged{catalogOf(snapshotOf("s2", 2, 2, 1))})
	h.ok(ms(2), 1)
	require.Len(t, h.order, 3, "attempts in flight may still answer")
	h.at(ms(50), Tick{})
	require.Equal(t, "s2", h.sent[4].IndexSnapshot)
}

// Guards against an answer with hits of another snapshot or shard.
func TestMismatchedReplyCountsAsFailed(t *testing.T) {
	h := start(DefaultPolicy(), testQuery(), catalogOf(snapshotOf("s1", 1, 1, 1)), budgets())
	h.at(ms(1), ReplyArrived{Reply{Attempt: 1, IndexSnapshot: "s0", Shard: "s1/00", Hits: []Hit{{ID: "x"}}}})
	require.Error(t, h.end.Err)
	require.Equal(t, verdict.Ran, verdict.Of(h.end.Err))
	require.Equal(t, 1, h.Counters().Mismatched)
}

// Guards against a partial answer below the caller's minimum coverage, and
// against a verdict that hides attempts that may have run.
func TestErrorsCarryTrueVerdict(t *testing.T) {
	cases := map[string]struct {
		end     func(h *harness)
		code    verdict.Code
		verdict verdict.Verdict
	}{
		"one shard ran": {func(h *harness) {
			h.ok(ms(1), 1)
			h.at(ms(98), Tick{})
		}, CodeCoverageBelowMinimum, verdict.Ran},
		"all refused": {func(h *harness) {
			h.refuse(ms(1), 1, CodeDraining)
			h.refuse(ms(1), 2, CodeDraining)
		}, CodeCoverageBelowMinimum, verdict.NotRun},
		"one did not reply": {func(h *harness) {
			h.refuse(ms(1), 1, CodeDraining)
			h.at(ms(98), Tick{})
		}, CodeCoverageBelowMinimum, verdict.MayHaveRun},
		"caller gone":       {func(h *harness) { h.at(ms(1), CallerGone{}) }, CodeCancelled, verdict.MayHaveRun},
		"past the deadline": {func(h *harness) { h.at(ms(100), Tick{}) }, verdict.CodeDeadlineExceeded, verdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := testQuery()
			q.MinCoverage = 0.9
			h := start(DefaultPolicy(), q, catalogOf(snapshotOf("s1", 1, 2, 1)), budgets())
			c.end(h)
			require.Equal(t, c.code, verdict.CodeOf(h.end.Err))
			require.Equal(t, c.verdict, verdict.Of(h.end.Err))
		})
	}
	h := start(DefaultPolicy(), testQuery(), nil, budgets())
	require.Equal(t, CodeNoSnapshot, verdict.CodeOf(h.end.Err))
	require.Equal(t, verdict.NotRun, verdict.Of(h.end.Err))
}

// Guards against sub-requests that are sent too late to answer in time.
func TestDeadlines(t *testing.T) {
	q := testQuery()
	h := start(DefaultPolicy(), q, onlyOldSnapshot(), budgets())
	require.Equal(t, ms(97), h.sent[1].Deadline, "the deadline less AnswerTime and NetworkTime")
	h.at(ms(97), ReplyArrived{Reply{Attempt: 1, Err: verdict.New(verdict.NotRun, CodeShed, "shed")}})
	require.Len(t, h.order, 3, "too late for a retry")
	q.Deadline = ms(3)
	h = start(DefaultPolicy(), q, onlyOldSnapshot(), budgets())
	require.Empty(t, h.order)
	require.Equal(t, verdict.NotRun, verdict.Of(h.end.Err))
}

// Guards against a hedge to the same failure domain, before its delay, beyond
// the budget or in a saturated group, and against a first attempt that is not
// cancelled when its hedge answers.
func TestHedge(t *testing.T) {
	p := DefaultPolicy()
	p.HedgeDelay = 20 * time.Millisecond
	catalog := catalogOf(snapshotOf("s1", 1, 1, 3))
	catalog.Snapshots[0].Replicas[0][1].FailureDomain = "d0"
	h := start(p, testQuery(), catalog, budgets())
	require.Equal(t, ms(20), h.wakeAt)
	h.at(ms(19), Tick{})
	require.Len(t, h.order, 1)
	h.at(ms(20), Tick{})
	require.Equal(t, "d2", h.sent[2].Replica.FailureDomain)
	require.True(t, h.sent[2].Hedge)
	h.ok(ms(21), 2)
	require.True(t, h.cancelled[1])
	require.Equal(t, 1, h.Counters().HedgeWins)

	b := NewSharedBudgets(BudgetLimits{HedgePermille: 30})
	h = start(p, testQuery(), catalog, b)
	h.at(ms(20), Tick{})
	require.Len(t, h.order, 1, "no budget")
	b = budgets()
	b.SetSaturated(true)
	h = start(p, testQuery(), catalog, b)
	h.at(ms(20), Tick{})
	require.Len(t, h.order, 1, "saturated")
}

// Guards against spending the hedge budget on shards that do not decide the
// query's latency when the whole group is slow.
func TestHedgeWaitsForTheTail(t *testing.T) {
	p := DefaultPolicy()
	p.HedgeDelay = 20 * time.Millisecond
	h := start(p, testQuery(), catalogOf(snapshotOf("s1", 1, 10, 2)), budgets())
	h.at(ms(20), Tick{})
	require.Len(t, h.order, 10)
	for k := uint32(1); k <= 8; k++ {
		h.ok(ms(30), k)
	}
	require.Len(t, h.order, 12)
	require.Equal(t, 8, h.sent[11].Shard)
	require.Equal(t, 9, h.sent[12].Shard)
}

// Guards against a retry storm when every target is down.
func TestRetriesStayInBudget(t *testing.T) {
	b := NewSharedBudgets(BudgetLimits{RetryPermille: 100, RetryBurst: 5})
	catalog := catalogOf(snapshotOf("s1", 1, 10, 3))
	total, retries := 0, 0
	for range 100 {
		h := start(DefaultPolicy(), testQuery(), catalog, b)
		for k := uint32(1); int(k) <= len(h.order); k++ {
			h.refuse(ms(1), k, verdict.CodeUnavailable)
		}
		require.NotNil(t, h.end)
		total += h.Counters().Sent
		retries += h.Counters().Retries
	}
	require.Equal(t, 1000, total-retries)
	require.LessOrEqual(t, retries, 5+100)
}

// Guards against new sub-requests to a target whose reply says that it is
// draining.
func TestDrainingTargetGetsNoMoreWork(t *testing.T) {
	s := snapshotOf("s1", 1, 2, 2)
	s.Replicas[1][0].Target = s.Replicas[0][0].Target
	s.Replicas[1] = s.Replicas[1][:1]
	h := start(DefaultPolicy(), testQuery(), catalogOf(s), budgets())
	h.refuse(ms(1), 1, CodeDraining)
	h.refuse(ms(2), 2, CodeShed)
	require.Equal(t, []DrainObserved{{Target: "t0-0"}}, h.drains)
	h.ok(ms(3), 3)
	require.Len(t, h.order, 3)
	require.Equal(t, []MissingShard{{"s1/01", ReasonShed}}, h.end.Answer.Coverage.Missing)
}

// Guards against giving up a shard whose only replica sheds one sub-request.
func TestShedReplicaIsTriedAgainAfterBackoff(t *testing.T) {
	h := start(DefaultPolicy(), testQuery(), catalogOf(snapshotOf("s1", 1, 1, 1)), budgets())
	h.refuse(ms(1), 1, CodeShed)
	require.Nil(t, h.end)
	h.at(ms(5), Tick{})
	h.ok(ms(7), 2)
	require.NoError(t, h.end.Err)
}

// Guards against latency quantiles that include old samples or are computed
// from too few.
func TestGroupPolicyFollowsLatencies(t *testing.T) {
	g := NewGroup(DefaultPolicy(), DefaultBudgetLimits())
	g.ObserveLatency(t0, time.Second, true)
	require.Equal(t, DefaultHedgeDelay, g.Policy(t0).HedgeDelay)
	for i := range 1000 {
		d := 5 * time.Millisecond
		if i%20 == 0 {
			d = 12 * time.Millisecond
		}
		g.ObserveLatency(ms(1), d, true)
	}
	p := g.Policy(ms(200))
	require.InDelta(t, 5, p.MinLatency.Seconds()*1000, 0.1)
	require.InDelta(t, 12, p.HedgeDelay.Seconds()*1000, 0.1, "the quantile of the hedge delay lies in the slow 5 %")
	for range 1100 {
		g.ObserveLatency(ms(2), 2*time.Millisecond, true)
	}
	require.InDelta(t, 8, g.Policy(ms(400)).HedgeDelay.Seconds()*1000, 0.1, "at most 4 times the median")
	for range 1000 {
		g.ObserveLatency(ms(20_000), 9*time.Millisecond, true)
	}
	require.InDelta(t, 9, g.Policy(ms(20_200)).MinLatency.Seconds()*1000, 0.1)
}

// Guards against hosts that disagree on the preferred replica, and against
// overloading that replica.
func TestAffinityOverflows(t *testing.T) {
	reps := snapshotOf("s1", 1, 1, 3).Replicas[0]
	busy := 0
	load := func(*Replica) int { return busy }
	preferred := map[string]bool{}
	for _, terms := range []string{"red", "green", "blue", "black", "white", "grey"} {
		c := NewAffinityChooser(terms, firstChooser{}, load, DefaultOverflow)
		i, ok := c.Pick(t0, reps, "")
		require.True(t, ok)
		swapped := []Replica{reps[2], reps[1], reps[0]}
		j, _ := c.Pick(t0, swapped, "")
		require.Equal(t, reps[i], swapped[j], "the order of candidates does not matter")
		preferred[reps[i].Target] = true
	}
	require.Len(t, preferred, 3)
	busy = DefaultOverflow
	i, _ := NewAffinityChooser("red", firstChooser{}, load, DefaultOverflow).Pick(t0, reps, "")
	require.Zero(t, i)
}
