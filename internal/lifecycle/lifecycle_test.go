package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testOptions = Options{BalancerLag: 2 * time.Second, ShutdownTimeout: 30 * time.Second, HandoverTimeout: 5 * time.Second}

// Guards against a graceful stop that cuts off a request, takes new work after
// it began to refuse it, or never ends.
func TestGracefulStopInterruptsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := New(testOptions, now)
		inFlight := 0
		ends := map[time.Time]int{}
		refused, handover, exited := false, false, false
		note := func(effects []Effect) {
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
		note(s.Step(now, ConfigConfirmed{}))
		stopAt := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "stop")) * time.Millisecond)
		stopped := false
		for step := 0; step < 1000 && !exited; step++ {
			now = now.Add(100 * time.Millisecond)
			inFlight -= ends[now]
			if s.Accepting() && rapid.IntRange(0, 3).Draw(t, "arrival") == 0 {
				require.False(t, refused, "work was taken again after the host refused it")
				inFlight++
				ends[now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "length"))*100*time.Millisecond)]++
			}
			refused = refused || stopped && !s.Accepting()
			if !stopped && now.After(stopAt) {
				stopped = true
				note(s.Step(now, StopRequested{InFlight: inFlight}))
				require.False(t, s.Ready())
				require.True(t, s.Accepting(), "the load balancer still sends work")
			}
			note(s.Step(now, Tick{InFlight: inFlight}))
			switch s.Phase() {
			case Handover:
				note(s.Step(now, HandedOver{}))
			case Syncing:
				note(s.Step(now, Synced{}))
			}
		}
		require.True(t, exited)
	})
}

// Guards against a second signal that is ignored, and against one that hides
// how many requests it cut off.
func TestSecondSignalExitsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, ConfigConfirmed{})
	s.Step(now, StopRequested{})
	require.Contains(t, s.Step(now, StopRequested{InFlight: 3}), Effect(Exit{Interrupted: 3}))
	require.Empty(t, s.Step(now, StopRequested{InFlight: 3}))
}

// Guards against a stop that waits for ever for work or for another leader,
// and against one that reports interrupted requests as finished.
func TestStopIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, ConfigConfirmed{})
	s.Step(now, StopRequested{InFlight: 1})
	now = now.Add(testOptions.BalancerLag)
	s.Step(now, Tick{InFlight: 1})
	require.Equal(t, Refusing, s.Phase())
	now = now.Add(testOptions.ShutdownTimeout)
	require.Contains(t, s.Step(now, Tick{InFlight: 1}), Effect(BeginHandover{}))
	now = now.Add(testOptions.HandoverTimeout)
	require.Contains(t, s.Step(now, Tick{InFlight: 1}), Effect(SyncJournal{}))
	require.Contains(t, s.Step(now, Synced{}), Effect(Exit{Interrupted: 1}))
}

// Guards against a drained host that exits, or that can't be put back to work.
func TestDrainedHostStaysUpAndResumes(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(testOptions, now)
	s.Step(now, ConfigConfirmed{})
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
