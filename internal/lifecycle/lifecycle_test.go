package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testOptions = Options{BalancerLag: 2 * time.Second, ShutdownTimeout: 30 * time.Second, AnswerTimeout: 200 * time.Millisecond, HandoverTimeout: 5 * time.Second}

// Guards against a graceful stop that interrupts a request, accepts new work
// after it began to refuse it, or never ends.
func TestGracefulStopInterruptsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := New(testOptions, now)
		inFlight := 0
		ends := map[time.Time]int{}
		refused, handover, exited := false, false, false
		check := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case BeginHandover:
					require.Zero(t, inFlight, "handover began with work in progress")
					handover = true
				case Exit:
					require.True(t, handover)
					require.Zero(t, e.Interrupted)
					exited = true
				}
			}
		}
		check(s.Step(now, CanServe{}))
		stopAt := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "stop")) * time.Millisecond)
		stopped := false
		for step := 0; step < 1000 && !exited; step++ {
			now = now.Add(100 * time.Millisecond)
			inFlight -= ends[now]
			if s.Accepting() && rapid.IntRange(0, 3).Draw(t, "arrival") == 0 {
				require.False(t, refused, "new work was accepted after the host began to refuse it")
				inFlight++
				ends[now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "length"))*100*time.Millisecond)]++
			}
			refused = refused || stopped && !s.Accepting()
			if !stopped && now.After(stopAt) {
				stopped = true
				check(s.Step(now, StopRequested{InFlight: inFlight}))
				require.False(t, s.Ready())
				require.True(t, s.Accepting(), "the load balancer still sends work")
			}
			check(s.Step(now, Tick{InFlight: inFlight}))
			switch s.Phase() {
			case Handover:
				check(s.Step(now, HandedOver{}))
			case Syncing:
				check(s.Step(now, Synced{}))
			}
		}
		require.True(t, exited)
	})
}

// Guards against a second signal that is ignored, against one that cuts off requests
// which could still be answered, and against one that does not report how many requests
// it interrupted.
func TestSecondSignalExitsWithoutAHandover(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight int // once the host could have answered
		first    time.Duration
		want     []Effect
	}{
		"while it takes work":    {0, 0, []Effect{Exit{}}},
		"while requests end":     {0, testOptions.BalancerLag, []Effect{Exit{}}},
		"with unanswered ones":   {3, 0, []Effect{Exit{Interrupted: 3}}},
		"with unanswered, later": {2, testOptions.BalancerLag, []Effect{Exit{Interrupted: 2}}},
	} {
		now := time.Unix(1000, 0)
		s := New(testOptions, now)
		s.Step(now, CanServe{})
		require.Contains(t, s.Step(now, StopRequested{}), Effect(EndRequests{By: now.Add(testOptions.BalancerLag + testOptions.ShutdownTimeout)}), name)
		now = now.Add(c.first)
		s.Step(now, Tick{InFlight: 4})
		require.Contains(t, s.Step(now, StopRequested{InFlight: 4}), Effect(EndRequests{By: now}), name)
		require.False(t, s.Accepting(), name)
		require.Empty(t, s.Step(now, StopRequested{InFlight: 4}), "a third signal has no effect")
		effects := s.Step(now, Tick{InFlight: 4})
		require.Empty(t, effects, "requests have time for their answers")
		if c.inFlight > 0 {
			now = now.Add(testOptions.AnswerTimeout)
		}
		effects = s.Step(now, Tick{InFlight: c.inFlight})
		for _, e := range c.want {
			require.Contains(t, effects, e, name)
		}
		require.NotContains(t, effects, Effect(BeginHandover{}), name)
		require.Equal(t, Exited, s.Phase(), name)
		require.Empty(t, s.Step(now, StopRequested{InFlight: 3}))
	}
}

// Guards against a second signal during the handover, when all requests have ended, that
// is ignored.
func TestSecondSignalEndsTheHandover(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, StopRequested{})
	s.Step(now, Tick{})
	require.Equal(t, Handover, s.Phase())
	require.Contains(t, s.Step(now, StopRequested{}), Effect(Exit{}))
	require.Empty(t, s.Step(now, HandedOver{}))
}

// Guards against a stop that ends before the time by which it told requests to end, and
// against leadership that is given up only when that time has passed.
func TestStopWaitsForTheLastAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, CanServe{})
	endBy := now.Add(testOptions.BalancerLag + testOptions.ShutdownTimeout)
	s.Step(now, StopRequested{InFlight: 1})
	now = now.Add(testOptions.BalancerLag)
	require.Contains(t, s.Step(now, Tick{InFlight: 1}), Effect(TransferLeadership{}))
	for _, now := range []time.Time{endBy.Add(-time.Millisecond), endBy, endBy.Add(testOptions.AnswerTimeout - time.Millisecond)} {
		require.Empty(t, s.Step(now, Tick{InFlight: 1}))
	}
	require.Contains(t, s.Step(endBy.Add(testOptions.AnswerTimeout), Tick{InFlight: 0}), Effect(BeginHandover{}))
}

// Guards against a stop that waits without bound for work or another leader,
// and against one that reports interrupted requests as finished.
func TestStopIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, CanServe{})
	s.Step(now, StopRequested{InFlight: 1})
	now = now.Add(testOptions.BalancerLag)
	s.Step(now, Tick{InFlight: 1})
	require.Equal(t, Refusing, s.Phase())
	now = now.Add(testOptions.ShutdownTimeout + testOptions.AnswerTimeout)
	require.Contains(t, s.Step(now, Tick{InFlight: 1}), Effect(BeginHandover{}))
	now = now.Add(testOptions.HandoverTimeout)
	require.Contains(t, s.Step(now, Tick{InFlight: 1}), Effect(SyncJournal{}))
	require.Contains(t, s.Step(now, Synced{}), Effect(Exit{Interrupted: 1}))
}

// Guards against a drained host that exits or can't be resumed.
func TestDrainedHostStaysUpAndResumes(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, CanServe{})
	s.Step(now, DrainRequested{})
	require.False(t, s.Ready())
	now = now.Add(testOptions.BalancerLag)
	s.Step(now, Tick{InFlight: 2})
	now = now.Add(time.Hour)
	s.Step(now, Tick{InFlight: 1})
	require.Equal(t, Refusing, s.Phase())
	s.Step(now, Tick{})
	require.Equal(t, Drained, s.Phase())
	s.Step(now, ResumeRequested{})
	require.True(t, s.Ready())
}
