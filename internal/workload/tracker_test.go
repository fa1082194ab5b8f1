package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const slots = 2

// attempts makes attempts one after the other that each take the given time.
func attempts(t *Tracker, now time.Time, n int, work, took time.Duration, report Report) time.Time {
	for range n {
		t.Begin(now, work, slots, 1)
		now = now.Add(took)
		t.Observe(now, now.Add(-took), work, 1)
		t.Report(now, report)
	}
	return now
}

// Guards against a cheap request that is expected to wait as long behind expensive ones
// as behind cheap ones, and against an expensive one that is taken for a stall.
func TestWaitFollowsTheKindsAhead(t *testing.T) {
	var expensive, cheap Tracker
	for range 2 {
		expensive.Begin(start, 28*ms, slots, 1)
		cheap.Begin(start, 9*ms, slots, 1)
	}
	require.Equal(t, 28*ms, expensive.Explain(start, 9*ms, slots, 1).Own.Round(ms))
	require.Equal(t, 9*ms, cheap.Explain(start, 9*ms, slots, 1).Own.Round(ms))
	var one Tracker
	one.Begin(start, 28*ms, slots, 1)
	require.Equal(t, 9*ms, one.Explain(start.Add(10*ms), 9*ms, slots, 1).Own.Round(ms), "the rest of the work counts")
	require.Zero(t, expensive.Explain(start.Add(50*ms), 9*ms, slots, 1).Stall)
	require.NotZero(t, expensive.Explain(start.Add(150*ms), 9*ms, slots, 1).Stall)
}

// Guards against another choice than before where all requests cost the same: the
// estimate must be the pace times the work times one more than the requests in flight
// per slot.
func TestEstimateOfAlikeRequestsCountsThoseInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		work := time.Duration(rapid.IntRange(2, 100).Draw(t, "work")) * ms
		now := attempts(&tr, start, rapid.IntRange(0, 20).Draw(t, "before"), work, time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*ms, Report{})
		n := rapid.IntRange(0, 8).Draw(t, "in flight")
		for range n {
			tr.Begin(now, work, slots, 1)
		}
		now = now.Add(ms)
		require.InEpsilon(t, tr.PaceAt(now, 1)*work.Seconds()*(1+float64(n)/slots), tr.Expected(now, work, slots, 1).Seconds(), 1e-6)
	})
}

// Guards against a searcher that counts as slow because this host sent it expensive
// requests, and against one that does not count as slow because its requests are cheap.
func TestPaceIsThatOfTheSearcherNotOfTheKind(t *testing.T) {
	var expensive, slow Tracker
	now := attempts(&expensive, start, 30, 100*ms, 100*ms, Report{})
	require.InDelta(t, 1, expensive.PaceAt(now, 1), 0.01)
	now = attempts(&slow, start, 30, 5*ms, 15*ms, Report{})
	require.InDelta(t, 3, slow.PaceAt(now, 1), 0.05)
	require.InDelta(t, 1, slow.PaceAt(now.Add(10*PaceHalfLife), 1), 0.01, "it is tried again later")

	// Cheap requests that always wait for another one of this host: the pace must
	// hardly depend on the kind of that one. Response times alone differ by half.
	behind := func(work time.Duration) float64 {
		var tr Tracker
		now := start
		for range 30 {
			tr.Begin(now, work, 1, 1)
			tr.Begin(now, 9*ms+1, 1, 1)
			tr.Observe(now.Add(work), now, work, 1)
			tr.Observe(now.Add(work+9*ms), now, 9*ms+1, 1)
			now = now.Add(100 * ms)
		}
		return tr.PaceAt(now, 1)
	}
	require.InEpsilon(t, behind(9*ms), behind(28*ms), 0.2)
}

// Guards against one pause or one large request that keeps a searcher out of use.
func TestOneOutlierBarelyChangesThePace(t *testing.T) {
	var tr Tracker
	now := attempts(&tr, start, 20, 10*ms, 10*ms, Report{})
	now = attempts(&tr, now, 1, 10*ms, 250*ms, Report{})
	require.Less(t, tr.PaceAt(now, 1), 1.8)
}

// Guards against requests to a searcher that reports a queue, and against a report that
// still counts when it is old.
func TestReportCountsByItsAge(t *testing.T) {
	var tr Tracker
	now := attempts(&tr, start, 1, 10*ms, 10*ms, Report{Stated: true, Running: 2, Waiting: 6, Slots: 2, Pace: 2})
	idle := tr.Explain(now.Add(time.Second), 10*ms, slots, 1)
	require.Zero(t, idle.Trust)
	require.InDelta(t, 10, idle.Total.Seconds()*1000, 0.5)
	fresh, older := tr.Expected(now, 10*ms, slots, 1), tr.Expected(now.Add(reportHalfLife), 10*ms, slots, 1)
	require.Greater(t, fresh, 2*idle.Total)
	require.Greater(t, fresh, older)
	require.Greater(t, older, idle.Total)
}

// Guards against a searcher that gets requests because it reports no load while its
// responses are late, and against one that is never believed again.
func TestMisreportingSearcherIsJudgedByItsResponses(t *testing.T) {
	var honest, lying Tracker
	report := Report{Stated: true, Slots: 2, Pace: 1}
	now := attempts(&lying, start, 30, 10*ms, 60*ms, report)
	require.Greater(t, lying.Expected(now, 10*ms, slots, 1), 50*ms)
	require.Less(t, lying.Explain(now, 10*ms, slots, 1).Trust, 0.1)
	now = attempts(&lying, now.Add(30*time.Second), 30, 10*ms, 10*ms, report)
	require.Greater(t, lying.Explain(now, 10*ms, slots, 1).Trust, 0.3)

	report.Pace = 3
	now = attempts(&honest, start, 30, 10*ms, 30*ms, report)
	require.InDelta(t, 30, honest.Expected(now, 10*ms, slots, 1).Seconds()*1000, 5)
	require.Greater(t, honest.Explain(now, 10*ms, slots, 1).Trust, 0.4)
}

// Guards against estimates that are not positive or without bound, and against attempts
// that stay counted, for any sequence of attempts and reports.
func TestTrackerStaysWithinBounds(t *testing.T) {
	type open struct {
		began time.Time
		work  time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		var inFlight []open
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond / 4)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				o := open{now, time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * ms}
				tr.Begin(o.began, o.work, slots, 1)
				inFlight = append(inFlight, o)
			case 2, 3:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "ended")
				o := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				if rapid.Bool().Draw(t, "answered") {
					tr.Observe(now, o.began, o.work, 1)
				} else {
					tr.Drop(o.began, o.work)
				}
			case 4:
				n := rapid.IntRange(-1, 2*maxReported)
				tr.Report(now, Report{Stated: rapid.Bool().Draw(t, "stated"), Running: n.Draw(t, "running"), Waiting: n.Draw(t, "waiting"), Slots: n.Draw(t, "slots"), Pace: float64(n.Draw(t, "pace"))})
			}
			require.Equal(t, len(inFlight), tr.InFlight())
			p := tr.PaceAt(now, 1)
			require.True(t, p >= minPace*0.99 && p <= maxPace*1.01, "pace %v", p)
			e := tr.Explain(now, 10*ms, slots, 1)
			require.Greater(t, e.Total, time.Duration(0))
			require.Less(t, e.Total, 200*time.Hour)
			require.True(t, e.Trust >= 0 && e.Trust <= 1)
		}
	})
}
