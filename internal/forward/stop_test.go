package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// fill gives all searchers of a service as many requests as this host may have there.
func (env *testEnvironment) fill(now time.Time, service string) {
	for {
		if _, busy := env.Begin(now, service, AttemptOptions{}); busy {
			return
		}
	}
}

// Guards against a request that a stop leaves without an answer, or whose error says
// "not run" although a searcher has it.
func TestRequestInProgressEndsWhenTheHostStops(t *testing.T) {
	endBy := start.Add(300 * time.Millisecond)
	for _, idempotent := range []bool{true, false} {
		env, services := newTestEnvironment(1, 1)
		run := NewRun(env, singleRoute(idempotent), services, start, start.Add(time.Second))
		require.Len(t, sends(run.Start(start)), 1)
		require.Empty(t, run.EndBy(start.Add(10*time.Millisecond), endBy), "the searcher may answer in time")
		require.False(t, run.Next(start.Add(10*time.Millisecond)).After(endBy))
		o, done := finish(run.Tick(endBy))
		require.True(t, done)
		require.Equal(t, verdict.CodeHostStops, o.Err.Code)
		require.Equal(t, verdict.MayHaveRun, o.Err.Verdict)
	}
}

// Guards against an answer that is there when the host stops and is not given, because
// its objective has not passed.
func TestGatherIsAnsweredWhenTheHostStops(t *testing.T) {
	endBy := start.Add(30 * time.Millisecond)
	for good, enough := range map[int]bool{3: true, 2: false} {
		env, services := newTestEnvironment(4, 1)
		run := NewRun(env, gatherRoute(services, 0.75), services, start, start.Add(time.Second))
		attempts := sends(run.Start(start))
		run.EndBy(start, endBy)
		for _, a := range attempts[:good] {
			env.end(start, a, Good)
			_, done := finish(run.Ended(start, a, Good))
			require.False(t, done)
		}
		o, done := finish(run.Tick(endBy))
		require.True(t, done)
		require.Equal(t, enough, o.Err == nil)
		if enough {
			require.Len(t, o.Replies, good)
			require.Equal(t, 4-good, o.Missing)
		}
	}
}

// Guards against a request that begins at a searcher shortly before this host exits and
// is cut off there, when another host could serve it, and against one that waits for
// the end of the stop although it is known to be too late.
func TestNothingBeginsThatTheStopWouldCutOff(t *testing.T) {
	env, services := newTestEnvironment(1, 1)
	env.median = 100 * time.Millisecond
	endBy := start.Add(300 * time.Millisecond)
	refused := func(o Outcome, done bool) {
		t.Helper()
		require.True(t, done)
		require.Equal(t, verdict.NotRun, o.Err.Verdict)
		require.Equal(t, verdict.CodeHostStops, o.Err.Code)
		require.Equal(t, RetryAfterStop, o.Err.RetryAfter)
	}

	late := NewRun(env, singleRoute(false), services, start, start.Add(time.Second))
	late.EndBy(start, endBy)
	refused(finish(late.Start(endBy.Add(-90 * time.Millisecond))))

	inTime := NewRun(env, singleRoute(false), services, start, start.Add(time.Second))
	inTime.EndBy(start, endBy)
	require.Len(t, sends(inTime.Start(endBy.Add(-150*time.Millisecond))), 1)

	env.fill(start, "a")
	waiting := NewRun(env, singleRoute(false), services, start, start.Add(time.Minute))
	effects := waiting.Start(start)
	require.Equal(t, []Effect{AwaitCapacity{SubRequest: 0, Service: "a"}}, effects)
	expected, ok := env.Expected(start, "a")
	require.True(t, ok)
	require.Empty(t, waiting.EndBy(start, start.Add(2*expected)))
	due := waiting.Next(start)
	require.True(t, due.Before(start.Add(2*expected)), "it must not wait for the end")
	now := start
	for range 5 { // the expected time changes with the time that the others take
		if o, done := finish(waiting.Tick(now)); done {
			require.True(t, now.Before(start.Add(2*expected)))
			refused(o, done)
			return
		}
		now = waiting.Next(now)
	}
	t.Fatal("the request still waits")
}
