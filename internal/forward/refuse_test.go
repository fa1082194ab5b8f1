package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// slowDown records attempts that took longer than usual by a factor at all searchers.
func slowDown(env *testEnvironment, now time.Time, factor int) {
	for _, s := range env.groups["a"].Searchers() {
		for range 40 {
			s.begin(now.Add(-time.Duration(factor)*env.median), env.median)
			env.groups["a"].End(now, now.Add(-time.Duration(factor)*env.median), s, env.median, Good)
		}
	}
}

// Guards against a request that waits until its deadline for searchers that are all known
// to be too slow, against a refusal after which it runs, and against a service that stays
// refused after its searchers have recovered.
func TestRequestThatNoSearcherCanAnswerIsRefusedAtOnce(t *testing.T) {
	env, names := newTestEnvironment(1, 3)
	slowDown(env, start, 12)
	deadline := start.Add(6 * env.median)
	run := NewRun(env, singleRoute(true), names, start, deadline)
	effects := run.Start(start)
	require.Empty(t, sends(effects))
	require.Len(t, effects, 1)
	o := effects[0].(Finish).Outcome
	require.Equal(t, CodeOverloaded, o.Err.Code)
	require.Equal(t, verdict.NotRun, o.Err.Verdict)
	require.LessOrEqual(t, o.Err.RetryAfter, deadline.Sub(start)/3)
	require.Positive(t, o.Err.RetryAfter)
	require.Empty(t, run.CapacityFreed(start, 0))
	require.Empty(t, run.Tick(start.Add(time.Millisecond)))

	patient := NewRun(env, singleRoute(true), names, start, start.Add(time.Second))
	require.Len(t, sends(patient.Start(start)), 1, "there is time enough")
	later := start.Add(10 * time.Second)
	env.end(later, patient.Attempts()[0], Abandoned)
	again := NewRun(env, singleRoute(true), names, later, later.Add(6*env.median))
	require.Len(t, sends(again.Start(later)), 1, "the estimate decays")
}

// Guards against a service that is refused for good because its work is estimated too high
// and nothing is sent that would show otherwise.
func TestRefusedServiceIsProbed(t *testing.T) {
	env, names := newTestEnvironment(1, 3)
	slowDown(env, start, 12)
	sent := 0
	for range 320 {
		run := NewRun(env, singleRoute(true), names, start, start.Add(6*env.median))
		for _, a := range sends(run.Start(start)) {
			sent++
			env.end(start, a, Abandoned)
		}
	}
	require.InDelta(t, 320/lateProbes, sent, 10)
}

// Guards against a request whose turn would come too late and that is still sent, and
// against a refusal that says "not run" of one that may have run.
func TestRefusedTurnEndsTheRun(t *testing.T) {
	env, names := newTestEnvironment(1, 1)
	env.groups["a"].Replace(start, []SearcherSpec{{Identity: identity("a", 0, 0), Slots: 2, Capacity: 1}})
	first := NewRun(env, singleRoute(true), names, start, start.Add(time.Second))
	require.Len(t, sends(first.Start(start)), 1)
	waiting := NewRun(env, singleRoute(true), names, start, start.Add(time.Second))
	require.Equal(t, []Effect{AwaitCapacity{SubRequest: 0, Service: "a"}}, waiting.Start(start))
	effects := waiting.TurnRefused(start, 0, 2*time.Second)
	require.Len(t, effects, 1)
	err := effects[0].(Finish).Outcome.Err
	require.Equal(t, CodeOverloaded, err.Code)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.LessOrEqual(t, err.RetryAfter, time.Second/3)
	require.GreaterOrEqual(t, err.RetryAfter, time.Second/6, "the work does not drain before")
	require.Empty(t, waiting.CapacityFreed(start, 0))

	require.Empty(t, first.TurnRefused(start, 0, time.Second), "it does not wait")

	env, names = newTestEnvironment(1, 2)
	for _, r := range env.groups["a"].Searchers() {
		r.capacity = 1
	}
	lost, other := NewRun(env, singleRoute(true), names, start, start.Add(time.Second)), NewRun(env, singleRoute(true), names, start, start.Add(time.Second))
	attempt := sends(lost.Start(start))[0]
	require.Len(t, sends(other.Start(start)), 1)
	env.end(start, attempt, Lost)
	require.Equal(t, []Effect{AwaitCapacity{SubRequest: 0, Service: "a"}}, lost.Ended(start, attempt, Lost))
	effects = lost.TurnRefused(start, 0, time.Second)
	require.Len(t, effects, 1)
	require.Equal(t, verdict.MayHaveRun, effects[0].(Finish).Outcome.Err.Verdict)
}
