package query

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// drawnBudgets allows hedges and retries at random and counts them.
type drawnBudgets struct {
	t                       *rapid.T
	hedges, retries, firsts int
}

func (b *drawnBudgets) AllowHedge() bool {
	ok := rapid.Bool().Draw(b.t, "allow hedge")
	if ok {
		b.hedges++
	}
	return ok
}

func (b *drawnBudgets) AllowRetry() bool {
	ok := rapid.Bool().Draw(b.t, "allow retry")
	if ok {
		b.retries++
	}
	return ok
}

func (b *drawnBudgets) OnFirstAttempt() { b.firsts++ }

// drawnChooser picks a random candidate or none.
type drawnChooser struct{ t *rapid.T }

func (c drawnChooser) Pick(_ time.Time, candidates []Replica, _ string) (int, bool) {
	i := rapid.IntRange(-1, len(candidates)-1).Draw(c.t, "pick")
	return i, i >= 0
}

func drawSnapshot(t *rapid.T, generation uint64) Snapshot {
	s := Snapshot{Name: fmt.Sprintf("s%d", generation), Generation: generation}
	for i := range rapid.IntRange(1, 5).Draw(t, "shards") {
		var reps []Replica
		for j := range rapid.IntRange(0, 3).Draw(t, "replicas") {
			reps = append(reps, Replica{Target: fmt.Sprintf("t%d", (i+j)%4), Searcher: fmt.Sprint(j), FailureDomain: fmt.Sprintf("d%d", j%2)})
		}
		s.Layout = append(s.Layout, fmt.Sprintf("%s/%d", s.Name, i))
		s.Replicas = append(s.Replicas, reps)
	}
	return s
}

// drawCatalog draws which snapshots are listed and which replicas they have.
// The layout of a snapshot stays the same once it is drawn.
func drawCatalog(t *rapid.T, layouts map[uint64]Snapshot) *Catalog {
	c := &Catalog{Group: "g"}
	for g := uint64(3); g > 0; g-- {
		if !rapid.Bool().Draw(t, "listed") {
			continue
		}
		s := drawSnapshot(t, g)
		if known, ok := layouts[g]; ok {
			for len(s.Replicas) < len(known.Layout) {
				s.Replicas = append(s.Replicas, nil)
			}
			s.Layout, s.Replicas = known.Layout, s.Replicas[:len(known.Layout)]
		}
		layouts[g] = s
		c.Snapshots = append(c.Snapshots, s)
	}
	return c
}

// world simulates the driver and the targets of a run, and knows what really
// happened to every attempt.
type world struct {
	t         *rapid.T
	run       *Run
	policy    Policy
	now       time.Time
	endedAt   time.Time
	deadline  time.Time
	sent      []SubRequest
	ran       []bool // whether the attempt really ran
	inFlight  map[uint32]bool
	attempts  map[string]int // by shard
	drained   map[string]bool
	finishes  int
	finish    Finish
	snapshots map[uint64]Snapshot
}

func (w *world) apply(effects []Effect) {
	for _, e := range effects {
		require.Zero(w.t, w.finishes, "effect after Finish: %#v", e)
		switch e := e.(type) {
		case Send:
			w.applySend(e.Request)
		case Cancel:
			require.True(w.t, w.inFlight[e.Attempt], "cancelled attempt %d was not in flight", e.Attempt)
			delete(w.inFlight, e.Attempt)
		case DrainObserved:
			require.False(w.t, w.drained[e.Target], "drain reported twice")
			w.drained[e.Target] = true
		case WakeAt:
			require.True(w.t, e.At.After(w.now), "a WakeAt that is not in the future makes the driver spin")
		case Finish:
			w.finishes++
			w.finish = e
			w.endedAt = w.now
		}
	}
}

func (w *world) applySend(r SubRequest) {
	require.EqualValues(w.t, len(w.sent)+1, r.Attempt)
	require.False(w.t, w.drained[r.Replica.Target], "sent to a draining target")
	require.False(w.t, w.now.Add(w.policy.MinLatency).After(w.deadline), "sent too late to answer")
	for attempt := range w.inFlight {
		require.Equal(w.t, w.sent[attempt-1].IndexSnapshot, r.IndexSnapshot, "two snapshots in flight")
	}
	w.sent = append(w.sent, r)
	w.ran = append(w.ran, rapid.Bool().Draw(w.t, "ran"))
	w.inFlight[r.Attempt] = true
	w.attempts[r.ShardName]++
	require.LessOrEqual(w.t, w.attempts[r.ShardName], w.policy.MaxAttempts)
}

// reply draws a reply to any attempt, also to one that has replied already or
// was cancelled. The reply is consistent with whether the attempt ran.
func (w *world) reply() ReplyArrived {
	if len(w.sent) == 0 || rapid.IntRange(0, 19).Draw(w.t, "unknown") == 0 {
		return ReplyArrived{Reply{Attempt: uint32(len(w.sent) + 1)}}
	}
	k := rapid.IntRange(0, len(w.sent)-1).Draw(w.t, "attempt")
	r := w.sent[k]
	delete(w.inFlight, r.Attempt)
	rep := Reply{Attempt: r.Attempt, IndexSnapshot: r.IndexSnapshot, Shard: r.ShardName, Draining: rapid.IntRange(0, 9).Draw(w.t, "draining") == 0}
	code := rapid.SampledFrom([]verdict.Code{CodeSnapshotGone, CodeShed, CodeDraining, verdict.CodeDeadlineExceeded}).Draw(w.t, "code")
	switch {
	case !w.ran[k]:
		v := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun}).Draw(w.t, "verdict")
		rep.Err = verdict.New(v, code, "refused")
	case rapid.IntRange(0, 4).Draw(w.t, "broken") == 0:
		rep.Err = verdict.New(verdict.MayHaveRun, code, "broken")
	case rapid.IntRange(0, 4).Draw(w.t, "mismatch") == 0:
		rep.IndexSnapshot = "s9"
	}
	rep.Hits = []Hit{{ID: fmt.Sprintf("%s@%d", r.ShardName, r.Attempt), Score: 1}}
	return ReplyArrived{rep}
}

func (w *world) event() Event {
	switch n := rapid.IntRange(0, 29).Draw(w.t, "event"); {
	case n < 20:
		return w.reply()
	case n < 26:
		return Tick{}
	case n < 29:
		return CatalogChanged{drawCatalog(w.t, w.snapshots)}
	default:
		return CallerGone{}
	}
}

func (w *world) checkVerdict(v verdict.Verdict) {
	anyRan := slices.Contains(w.ran, true)
	if v == verdict.NotRun {
		require.False(w.t, anyRan, "not_run although an attempt ran")
	}
	if v == verdict.Ran {
		require.True(w.t, anyRan, "ran although no attempt did")
	}
	if len(w.sent) == 0 {
		require.Equal(w.t, verdict.NotRun, v)
	}
}

func (w *world) checkAnswer(a *Answer, minCoverage float64) {
	var layout []string
	for _, s := range w.snapshots {
		if s.Name == a.IndexSnapshot {
			layout = slices.Clone(s.Layout)
		}
	}
	listed := slices.Clone(a.Coverage.Answered)
	for _, m := range a.Coverage.Missing {
		require.NotEmpty(w.t, m.Reason)
		listed = append(listed, m.Shard)
	}
	slices.Sort(listed)
	require.Equal(w.t, layout, listed, "coverage lists every shard once")
	require.Equal(w.t, len(layout), a.Coverage.Total)
	require.GreaterOrEqual(w.t, a.Coverage.Ratio(), minCoverage)
	require.Len(w.t, a.Hits, len(a.Coverage.Answered), "one reply counts per answered shard")
	for _, h := range a.Hits {
		shard, _, _ := strings.Cut(h.ID, "@")
		require.Contains(w.t, a.Coverage.Answered, shard)
	}
}

// Guards against a violated invariant of a run under any order of replies,
// duplicates, missing replies, catalog changes and cancellations.
func TestRunInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "max attempts")
		policy.MaxRestarts = rapid.IntRange(0, 2).Draw(t, "max restarts")
		policy.HedgeDelay = rapid.SampledFrom([]time.Duration{0, time.Millisecond, 9 * time.Millisecond}).Draw(t, "hedge delay")
		w := &world{t: t, policy: policy, now: t0, inFlight: map[uint32]bool{}, attempts: map[string]int{}, drained: map[string]bool{}, snapshots: map[uint64]Snapshot{}}
		q := testQuery()
		q.K = 100
		q.MinCoverage = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "min coverage")
		w.deadline = q.Deadline.Add(-policy.AnswerTime)
		b := &drawnBudgets{t: t}
		w.run = NewRun(policy, q, drawCatalog(t, w.snapshots), drawnChooser{t}, b, t0)
		w.apply(w.run.Start(w.now))
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * time.Millisecond)
			w.apply(w.run.Step(w.now, w.event()))
		}
		if w.finishes == 0 {
			w.now = maxTime(w.now, w.deadline)
			w.apply(w.run.Step(w.now, Tick{}))
		}
		require.Equal(t, 1, w.finishes, "the deadline ends the query")
		require.Empty(t, w.inFlight, "attempts left in flight")
		require.True(t, (w.finish.Answer == nil) != (w.finish.Err == nil))
		c := w.run.Counters()
		require.LessOrEqual(t, c.Hedges, b.hedges)
		require.LessOrEqual(t, c.Retries, b.retries)
		require.Equal(t, c.Sent, b.firsts+c.Hedges+c.Retries)
		if w.finish.Answer != nil {
			require.True(t, w.endedAt.Before(q.Deadline), "answer past its deadline")
			w.checkVerdict(w.finish.Answer.Verdict)
			w.checkAnswer(w.finish.Answer, q.MinCoverage)
			return
		}
		w.checkVerdict(verdict.Of(w.finish.Err))
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
