package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func specs(g *Group) (out []SearcherSpec) {
	for _, s := range g.Searchers() {
		out = append(out, SearcherSpec{Identity: s.Identity, Slots: s.Slots, Capacity: s.capacity})
	}
	return out
}

func choices(env *testEnvironment, now time.Time, g *Group) map[Identity]int {
	out := map[Identity]int{}
	for range 50 {
		if s, _ := g.Choose(now, Criteria{MedianTime: env.median}, env.rng); s != nil {
			out[s.Identity]++
		}
	}
	return out
}

// Guards against requests to a searcher that said that it leaves: it may be listed
// again by a delayed announcement, after it was removed or after this host stopped
// and started to gather. Only a new incarnation takes requests again.
func TestLeavingSearcherIsNotChosenAgain(t *testing.T) {
	env, _ := newTestEnvironment(1, 2)
	g := env.groups["a"]
	left := g.Searchers()[0].Identity
	listed := specs(g)
	g.Note(start, left, Notice{Leaving: true})
	now := start.Add(time.Minute)
	require.Zero(t, choices(env, now, g)[left])
	require.False(t, g.MayReceive(now, left), "an attempt that was assigned before")
	require.Equal(t, []Identity{left}, g.Leaving())
	g.Replace(now, nil)
	require.False(t, g.MayReceive(now, left))
	g.Replace(now, listed)
	require.Zero(t, choices(env, now, g)[left])
	require.NotZero(t, choices(env, now, g)[listed[1].Identity])
	listed[0].Incarnation++
	g.Replace(now, listed)
	require.NotZero(t, choices(env, now, g)[listed[0].Identity])

	g.Replace(now, nil)
	g.Note(now, left, Notice{Leaving: true}) // by a late reply, after the searcher was removed
	require.False(t, g.MayReceive(now, left))
}

// Guards against any request within the pause that a searcher asked for, and
// against a searcher that stays unused after it. A shorter second pause must not
// cut the first one.
func TestPauseIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env, _ := newTestEnvironment(1, 2)
		g := env.groups["a"]
		listed := specs(g)
		id, now, end := listed[0].Identity, start, start
		for range rapid.IntRange(1, 6).Draw(t, "notices") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			pause := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
			g.Note(now, id, Notice{Pause: pause})
			if until := now.Add(pause); until.After(end) {
				end = until
			}
			if rapid.Bool().Draw(t, "removed") {
				g.Replace(now, nil)
				g.Replace(now, listed)
			}
		}
		require.Zero(t, choices(env, end.Add(-1), g)[id])
		require.False(t, g.MayReceive(end.Add(-1), id))
		require.NotZero(t, choices(env, end, g)[id])
	})
}

// Guards against memory that grows with searchers that left long ago.
func TestRestrictionsAreForgotten(t *testing.T) {
	env, _ := newTestEnvironment(1, 1)
	g := env.groups["a"]
	spec := specs(g)[0]
	for i := range 3 * maxRestrictions {
		spec.Incarnation = uint64(i + 1)
		now := start.Add(time.Duration(i) * time.Millisecond)
		g.Replace(now, []SearcherSpec{spec})
		g.Note(now, spec.Identity, Notice{Leaving: true, Pause: 100 * MaxPause})
		require.LessOrEqual(t, len(g.restrictions), maxRestrictions)
	}
	g.Replace(start.Add(time.Hour), nil)
	g.Replace(start.Add(time.Hour+restrictionRetention+MaxPause), nil)
	require.Empty(t, g.restrictions)
}

// Guards against a request that is refused although its searchers resume before
// its deadline, and against one that waits although none does: the refusal must be
// immediate, must say that nothing ran, and must name the soonest end of a pause.
func TestRequestWaitsForTheEndOfAPauseOnlyIfThatHelps(t *testing.T) {
	for name, c := range map[string]struct {
		pauses []time.Duration
		waits  time.Duration // until the attempt; 0 for an immediate one
		retry  time.Duration // hint of an immediate refusal
	}{
		"one is free":               {[]time.Duration{0, time.Minute}, 0, 0},
		"one resumes in time":       {[]time.Duration{400 * time.Millisecond, time.Minute}, 400 * time.Millisecond, 0},
		"none resumes in time":      {[]time.Duration{time.Minute, 5 * time.Second}, 0, 5 * time.Second},
		"the deadline is too close": {[]time.Duration{time.Second, 2 * time.Second}, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			env, _ := newTestEnvironment(1, 2)
			for i, s := range env.groups["a"].Searchers() {
				env.groups["a"].Note(start, s.Identity, Notice{Pause: c.pauses[i]})
			}
			r := NewRun(env, singleRoute(false), []string{"a"}, start, start.Add(time.Second))
			effects := r.Start(start)
			if c.retry > 0 {
				require.Len(t, effects, 1)
				err := effects[0].(Finish).Outcome.Err
				require.Equal(t, CodePaused, err.Code)
				require.Equal(t, verdict.NotRun, err.Verdict)
				require.Equal(t, c.retry, err.RetryAfter)
				return
			}
			if c.waits > 0 {
				require.Empty(t, effects)
				require.Equal(t, start.Add(c.waits), r.Next(start))
				require.Empty(t, r.Tick(start.Add(c.waits-1)))
				effects = r.Tick(start.Add(c.waits))
			}
			require.Len(t, sends(effects), 1)
		})
	}
}

// Guards against a retry, in the pause that the refusal itself asked for, of the
// only searcher, and against a request that is given up although the pause is short.
func TestRefusalWithAPauseIsRetriedAfterIt(t *testing.T) {
	env, _ := newTestEnvironment(1, 1)
	r := NewRun(env, singleRoute(false), []string{"a"}, start, start.Add(time.Second))
	a := sends(r.Start(start))[0]
	now := start.Add(5 * time.Millisecond)
	env.end(now, a, Rejected)
	env.groups["a"].Note(now, a.Searcher.Identity, Notice{Pause: 300 * time.Millisecond})
	require.Empty(t, r.Ended(now, a, Rejected))
	end := now.Add(300 * time.Millisecond)
	for at := now; at.Before(end); at = at.Add(10 * time.Millisecond) {
		require.Empty(t, sends(r.Tick(at)))
	}
	again := sends(r.Tick(end))
	require.Len(t, again, 1)
	require.True(t, again[0].Again)
}

// Guards against a gather that waits for paused shards which its answer may lack,
// and against one that sends anything although too many shards are paused.
func TestGatherWithPausedShards(t *testing.T) {
	env, names := newTestEnvironment(10, 1)
	pause := func(shards int, d time.Duration) {
		for _, name := range names[:shards] {
			env.groups[name].Note(start, env.groups[name].Searchers()[0].Identity, Notice{Pause: d})
		}
	}
	pause(1, time.Minute)
	r := NewRun(env, gatherRoute(names, 0.9), names, start, start.Add(time.Second))
	attempts := sends(r.Start(start))
	require.Len(t, attempts, 9)
	for i, a := range attempts {
		effects := r.Ended(start.Add(time.Millisecond), a, Good)
		if i == len(attempts)-1 {
			require.Equal(t, 1, effects[0].(Finish).Outcome.Missing)
		}
	}
	pause(2, 30*time.Second)
	pause(3, 20*time.Second)
	effects := NewRun(env, gatherRoute(names, 0.9), names, start, start.Add(time.Second)).Start(start)
	require.Len(t, effects, 1)
	err := effects[0].(Finish).Outcome.Err
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Equal(t, 30*time.Second, err.RetryAfter, "two of the three paused shards are needed")
}
