package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives a queue and keeps the latest decision for each query.
type harness struct {
	*Queue
	now    time.Time
	nextID uint64
	last   map[uint64]Decision
}

func newHarness(cfg Config, groups ...routing.Group) *harness {
	h := &harness{Queue: New(cfg), now: epoch, last: map[uint64]Decision{}}
	h.step(Configure{Groups: groups})
	return h
}

func (h *harness) step(ev Event) []Decision {
	out := h.Step(h.now, ev)
	for _, d := range out {
		h.last[d.ID] = d
	}
	return out
}

func (h *harness) arrive(group, caller string, timeout time.Duration) uint64 {
	h.nextID++
	h.step(Arrive{ID: h.nextID, Group: group, Team: "team-" + caller[:1], Caller: caller, Deadline: h.now.Add(timeout)})
	return h.nextID
}

func (h *harness) arriveN(n int, group, caller string, timeout time.Duration) []uint64 {
	ids := make([]uint64, n)
	for i := range ids {
		ids[i] = h.arrive(group, caller, timeout)
	}
	return ids
}

func (h *harness) count(kind DecisionKind, ids []uint64) int {
	n := 0
	for _, id := range ids {
		if d, ok := h.last[id]; ok && d.Kind == kind {
			n++
		}
	}
	return n
}

func newRoutingGroup(name string, p routing.Priority) routing.Group {
	return routing.Group{Name: name, Priority: p}
}

// Guards against an overloaded group that keeps another group from its minimum
// share, even if the overloaded group has the higher priority.
func TestOverloadOfOneGroupStarvesNoOther(t *testing.T) {
	h := newHarness(Config{Concurrency: 10}, newRoutingGroup("high", routing.PriorityHigh), newRoutingGroup("low", routing.PriorityLow))
	first := h.arrive("low", "b", time.Minute)
	h.step(Done{ID: first})
	flood := h.arriveN(100, "high", "a", time.Minute)
	require.Equal(t, 9, h.count(Admit, flood), "one slot is kept for the other active group")
	low := h.arrive("low", "b", time.Minute)
	require.Equal(t, Admit, h.last[low].Kind)

	h.now = h.now.Add(DefaultActiveWindow)
	h.step(Done{ID: low})
	require.Equal(t, 10, h.count(Admit, flood), "other groups may use an idle group's share")
	low = h.arrive("low", "b", time.Minute)
	require.Equal(t, Wait, h.last[low].Kind)
	h.step(Done{ID: flood[0]})
	require.Equal(t, Admit, h.last[low].Kind, "the first free slot goes to the group below its share")
}

// Guards against a caller with many queries that delays callers with few, and
// against an order other than by deadline within a caller.
func TestCallersTakeTurns(t *testing.T) {
	h := newHarness(Config{Concurrency: 1}, newRoutingGroup("g", routing.PriorityNormal))
	running := h.arrive("g", "x", time.Hour)
	late := h.arrive("g", "a", 2*time.Hour)
	early := h.arrive("g", "a", time.Hour)
	h.arriveN(50, "g", "a", 3*time.Hour)
	other := h.arrive("g", "b", 3*time.Hour)
	for _, want := range []uint64{early, other, late} {
		h.step(Done{ID: running})
		require.Equal(t, Admit, h.last[want].Kind, "query %d", want)
		running = want
	}
}

// Guards against one caller or team that uses all slots of a group.
func TestLimitsPerCallerAndTeam(t *testing.T) {
	g := newRoutingGroup("g", routing.PriorityNormal)
	g.Limits = routing.Limits{CallerConcurrency: 2, TeamConcurrency: 3}
	h := newHarness(Config{Concurrency: 20}, g)
	a1 := h.arriveN(5, "g", "a1", time.Minute)
	a2 := h.arriveN(5, "g", "a2", time.Minute)
	other := h.arriveN(5, "g", "b1", time.Minute)
	require.Equal(t, 2, h.count(Admit, a1))
	require.Equal(t, 1, h.count(Admit, a2), "the team's limit")
	require.Equal(t, 2, h.count(Admit, other))
}

// Guards against an unbounded queue, against a caller whose queries keep those
// of other callers out of the queue, and against refusals without a verdict or
// a retry hint.
func TestFullQueueRefusesCallerWithMostWaiting(t *testing.T) {
	g := newRoutingGroup("g", routing.PriorityNormal)
	g.Limits.QueueLength = 4
	h := newHarness(Config{Concurrency: 1}, g)
	h.arrive("g", "x", time.Minute)
	greedy := h.arriveN(6, "g", "a", time.Minute)
	require.Equal(t, 4, h.count(Wait, greedy))
	require.Equal(t, 2, h.count(Refuse, greedy))
	err := h.last[greedy[5]].Err
	require.Equal(t, CodeQueueFull, err.Code)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Positive(t, err.RetryAfter)
	other := h.arriveN(2, "g", "b", time.Minute)
	require.Equal(t, 2, h.count(Wait, other))
	require.Equal(t, 4, h.count(Refuse, greedy))
	require.Equal(t, 4, h.Snapshot().Waiting)
}

// Guards against queries that wait although they can't start in time: they are
// refused on arrival if that is known, otherwise when they expire.
func TestRefusalByDeadline(t *testing.T) {
	h := newHarness(Config{Concurrency: 1}, newRoutingGroup("g", routing.PriorityNormal))
	first := h.arrive("g", "a", time.Minute)
	h.now = h.now.Add(100 * time.Millisecond)
	h.step(Done{ID: first}) // takes 100 ms
	h.arrive("g", "a", time.Minute)
	waiting := h.arrive("g", "b", 310*time.Millisecond)
	require.Equal(t, Wait, h.last[waiting].Kind, "one query before it and twice the mean duration take 300 ms")
	refused := h.arrive("g", "c", 310*time.Millisecond)
	require.Equal(t, Refuse, h.last[refused].Kind, "two queries before it and twice the mean duration take 400 ms")
	require.Equal(t, CodeOverloaded, h.last[refused].Err.Code)
	require.GreaterOrEqual(t, h.last[refused].Err.RetryAfter, 100*time.Millisecond)

	at, ok := h.NextExpiry()
	require.True(t, ok)
	require.Equal(t, h.now.Add(310*time.Millisecond-DefaultMinRunTime), at)
	h.now = at.Add(-1)
	require.Empty(t, h.step(Expire{}))
	h.now = at
	h.step(Expire{})
	require.Equal(t, verdict.CodeDeadlineExceeded, h.last[waiting].Err.Code)
	_, ok = h.NextExpiry()
	require.False(t, ok)
	late := h.arrive("g", "a", time.Millisecond)
	require.Equal(t, verdict.CodeDeadlineExceeded, h.last[late].Err.Code)
}

// Guards against a query that starts after a wait with too little time left to
// finish, and so takes slots from queries that could.
func TestQueryThatWaitedTooLongIsNotStarted(t *testing.T) {
	h := newHarness(Config{Concurrency: 1}, newRoutingGroup("g", routing.PriorityNormal))
	first := h.arrive("g", "a", time.Minute)
	h.now = h.now.Add(100 * time.Millisecond)
	h.step(Done{ID: first}) // takes 100 ms
	running := h.arrive("g", "a", time.Minute)
	late := h.arrive("g", "b", 310*time.Millisecond)
	inTime := h.arrive("g", "c", time.Minute)
	h.now = h.now.Add(150 * time.Millisecond)
	h.step(Done{ID: running})
	require.Equal(t, Refuse, h.last[late].Kind)
	require.Equal(t, verdict.NotRun, h.last[late].Err.Verdict)
	require.Equal(t, Admit, h.last[inTime].Kind)
}

// Guards against more queries in progress than the targets can handle: overload
// must lower the group's limit, even below its minimum share, which is a share
// of the host's capacity and not of the targets'. Guards also against a limit
// that stays low after the targets recover.
func TestGroupLimitAdapts(t *testing.T) {
	h := newHarness(Config{Concurrency: 20}, newRoutingGroup("a", routing.PriorityNormal), newRoutingGroup("b", routing.PriorityNormal))
	for range 100 {
		id := h.arrive("a", "a", time.Minute)
		h.now = h.now.Add(50 * time.Millisecond)
		h.step(Done{ID: id, Result: Overloaded})
	}
	st := h.Snapshot().Groups[0]
	require.Equal(t, 8, st.Guaranteed)
	require.Equal(t, lowestLimit, st.Limit)
	for range 200 {
		first, second := h.arrive("a", "a", time.Minute), h.arrive("a", "b", time.Minute)
		h.now = h.now.Add(10 * time.Millisecond)
		h.step(Done{ID: first, Result: Completed})
		h.step(Done{ID: second, Result: Completed})
	}
	require.Greater(t, h.Snapshot().Groups[0].Limit, lowestLimit)
}

// Guards, for any sequence of events, against too many queries in progress, a
// query that gets no final decision or two, unused capacity while a query may
// start, and records that are never removed.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := []routing.Group{newRoutingGroup("a", routing.PriorityHigh), newRoutingGroup("b", routing.PriorityNormal), newRoutingGroup("c", routing.PriorityLow)}
		for i := range groups {
			groups[i].Limits = routing.Limits{QueueLength: 5, CallerConcurrency: 2, TeamConcurrency: 3}
		}
		cfg := Config{Concurrency: rapid.IntRange(1, 8).Draw(t, "concurrency")}
		h := newHarness(cfg, groups...)
		open := map[uint64]bool{} // in progress: true, waiting: false
		apply := func(ev Event) {
			for _, d := range h.step(ev) {
				inProgress, known := open[d.ID]
				require.False(t, known && inProgress, "decision for a query in progress")
				switch d.Kind {
				case Admit:
					open[d.ID] = true
				case Wait:
					require.False(t, known)
					open[d.ID] = false
				case Refuse:
					require.Equal(t, verdict.NotRun, d.Err.Verdict)
					delete(open, d.ID)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				h.nextID++
				name := rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(t, "group")
				caller := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller"))
				timeout := time.Duration(rapid.IntRange(0, 300).Draw(t, "timeout")) * time.Millisecond
				apply(Arrive{ID: h.nextID, Group: name, Team: "t", Caller: caller, Deadline: h.now.Add(timeout)})
			case 3:
				apply(Expire{})
			case 4:
				apply(Configure{Groups: groups[:rapid.IntRange(2, 3).Draw(t, "groups")]})
			default:
				id := uint64(rapid.IntRange(1, 80).Draw(t, "id"))
				delete(open, id)
				apply(Done{ID: id, Result: Result(rapid.IntRange(0, 2).Draw(t, "result"))})
			}
			checkCounts(t, h, open)
		}
		for id := range open {
			delete(open, id)
			apply(Done{ID: id})
		}
		for len(open) > 0 {
			for id := range open {
				delete(open, id)
				apply(Done{ID: id})
			}
		}
		checkCounts(t, h, open)
		require.Empty(t, h.requests)
		for _, g := range h.groups {
			require.Empty(t, g.callers)
			require.Empty(t, g.teams)
			require.Empty(t, g.roundRobin)
		}
	})
}

func checkCounts(t *rapid.T, h *harness, open map[uint64]bool) {
	running, waiting := 0, 0
	for _, inProgress := range open {
		if inProgress {
			running++
		} else {
			waiting++
		}
	}
	require.Equal(t, running, h.running)
	require.Equal(t, waiting, len(h.waiting))
	require.LessOrEqual(t, running, h.cfg.Concurrency)
	if h.running < h.cfg.Concurrency {
		// The slots kept for a group that becomes inactive are used only at the
		// next event. So this checks for a time when the group was still active.
		require.Nil(t, h.choose(h.now.Add(-DefaultActiveWindow)), "a query waits although it may start")
	}
	for _, g := range h.groups {
		require.LessOrEqual(t, g.waiting, 5)
		for _, c := range g.callers {
			require.LessOrEqual(t, c.running, 2)
		}
		for _, n := range g.teams {
			require.LessOrEqual(t, n, 3)
		}
	}
}

func BenchmarkArriveDone(b *testing.B) {
	q := newHarness(Config{}, newRoutingGroup("a", routing.PriorityHigh), newRoutingGroup("b", routing.PriorityNormal))
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		now := epoch.Add(time.Duration(id) * time.Microsecond)
		q.Step(now, Arrive{ID: id, Group: "a", Team: "t", Caller: "c", Deadline: now.Add(time.Second)})
		q.Step(now, Done{ID: id})
	}
}
