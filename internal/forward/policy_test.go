package forward

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Guards against more extra arrivals at a service than all hosts together may
// cause, in any window, when every host spends what it can and some hosts see
// far more requests than others.
func TestBudgetOfAllHostsHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := BudgetLimits{Ratio: 0.2, Extra: 62, Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		budgets := make([]Budget, hosts)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
			budgets[i].SetHosts(hosts)
		}
		var requests, extras []time.Time
		now := start
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "gap")) * time.Millisecond)
			h := rapid.IntRange(0, hosts-1).Draw(t, "host")
			budgets[h].Request(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 4).Draw(t, "wanted") {
				if budgets[h].Spend(now) {
					extras = append(extras, now)
				}
			}
		}
		within := func(times []time.Time, from, to time.Time) (n int) {
			for _, x := range times {
				if !x.Before(from) && x.Before(to) {
					n++
				}
			}
			return n
		}
		for _, from := range extras {
			to := from.Add(limits.Window)
			// The rule counts the requests of this window or of the one before,
			// whichever has more.
			counted := max(within(requests, from, to), within(requests, from.Add(-limits.Window), from))
			require.LessOrEqual(t, float64(within(extras, from, to)), limits.Ratio*float64(counted)+limits.Extra)
		}
	})
}

// Guards against requests that go on to a searcher whose address another
// service has, each of which is an extra arrival there.
func TestMisdirectedSearcherIsNotAskedAgain(t *testing.T) {
	w, _ := newWorld(1, 2)
	g := w.groups["a"]
	gone := g.Searchers()[0]
	g.Begin(start, Choice{Tried: nil}, Ask{Tried: []*Searcher{g.Searchers()[1]}}, w.rng)
	g.End(start, start, gone, w.usual, Misdirected)
	for range 50 {
		s, _ := g.Choose(start.Add(time.Hour), Choice{Usual: w.usual}, w.rng)
		require.NotSame(t, gone, s)
	}
	require.True(t, g.Gone(gone.Identity))
}

// Guards against choices that keep to a searcher which has become slow, or
// never return to it.
func TestChoiceLeavesSlowSearchersAndReturns(t *testing.T) {
	w, _ := newWorld(1, 2)
	g := w.groups["a"]
	for _, s := range g.Searchers() {
		s.FailureDomain = "" // both as near
	}
	slow, fast := g.Searchers()[0], g.Searchers()[1]
	for i := range 5 {
		began := start.Add(time.Duration(i) * time.Millisecond)
		slow.begin(began)
		g.End(began.Add(100*time.Millisecond), began, slow, w.usual, Good)
	}
	now := start.Add(110 * time.Millisecond)
	for range 20 {
		s, _ := g.Choose(now, Choice{Usual: w.usual}, w.rng)
		require.Same(t, fast, s)
	}
	later := now.Add(10 * estimateHalfLife)
	var seen []*Searcher
	for range 50 {
		s, _ := g.Choose(later, Choice{Usual: w.usual}, w.rng)
		seen = append(seen, s)
		s.begin(later)
		later = later.Add(w.usual)
		g.End(later, later.Add(-w.usual), s, w.usual, Good)
	}
	require.True(t, slices.Contains(seen, slow))
}

// Plays two equal searchers, one in this host's failure domain, with times that
// vary by a third and a pause of nine usual times in 25 requests. Guards against
// answers that cross failure domains while the near searcher is as good, and
// against one that is kept to when it is slow.
func TestChoicePrefersANearSearcherThatIsAboutAsFast(t *testing.T) {
	near, far := Identity{Target: "near", FailureDomain: "a"}, Identity{Target: "far", FailureDomain: "b"}
	rng := rand.New(rand.NewPCG(11, 12))
	usual := 28 * time.Millisecond
	choice := Choice{FailureDomain: "a", Usual: usual, Objective: 200 * time.Millisecond}
	play := func(slowness float64) (share float64) {
		g := NewGroup("s", BudgetLimits{})
		g.Replace([]SearcherSpec{{Identity: near, Slots: 2, Capacity: 4}, {Identity: far, Slots: 2, Capacity: 4}})
		now, chosen := start, 0
		const requests = 1000
		for range requests {
			s, _ := g.Begin(now, choice, Ask{}, rng)
			took := time.Duration((0.67 + 0.66*rng.Float64()) * float64(usual))
			if rng.IntN(25) == 0 {
				took += 8 * usual
			}
			if s.Identity == near {
				chosen++
				took = time.Duration(slowness * float64(took))
			}
			now = now.Add(took)
			g.End(now, now.Add(-took), s, usual, Good)
		}
		return float64(chosen) / requests
	}
	require.Greater(t, play(1), 0.85)
	require.Less(t, play(4), 0.2)
}

// Plays a shard whose two searchers fell to one and a half at a load for two:
// with late legs left out, the others must answer in time far more often than
// with none. Guards against an overload that makes every query late.
func TestLeavingOutLateLegsKeepsOthersInTime(t *testing.T) {
	with := overloadedGathers(0.8)
	without := overloadedGathers(1)
	require.Greater(t, with, 2*without)
	require.Greater(t, with, 0.5)
}

// overloadedGathers plays gathers from 10 shards, of which three are overloaded
// by a quarter, and returns the share that was answered in time with the least
// share of shards. Each overloaded shard is a queue served at a fixed rate.
func overloadedGathers(ratio float64) float64 {
	w, services := newWorld(10, 1)
	w.rng = rand.New(rand.NewPCG(7, 7))
	w.hedge = time.Hour
	for _, g := range w.groups {
		for _, s := range g.Searchers() {
			s.capacity = 1000
		}
	}
	const gap = 8 * time.Millisecond
	service := map[string]time.Duration{"a": gap * 5 / 4, "b": gap * 5 / 4, "c": gap * 5 / 4}
	free := map[string]time.Time{}
	type running struct {
		run  *Run
		open []*Attempt
		ends []time.Time
		due  time.Time
	}
	inTime, total := 0, 0
	var active []*running
	now := start
	for i := range 1500 {
		now = now.Add(gap)
		for _, r := range active {
			for k := 0; k < len(r.open); k++ {
				if !r.ends[k].After(now) {
					w.end(r.ends[k], r.open[k], Good)
					if _, done := finish(r.run.Ended(r.ends[k], r.open[k], Good)); done && r.ends[k].Before(r.due) {
						inTime++
					}
					r.open, r.ends = slices.Delete(r.open, k, k+1), slices.Delete(r.ends, k, k+1)
					k--
				}
			}
			if _, done := finish(r.run.Tick(now)); done && now.Before(r.due) {
				inTime++
			}
		}
		active = slices.DeleteFunc(active, func(r *running) bool { return len(r.open) == 0 })
		if i > 1400 {
			continue
		}
		run := NewRun(w, gatherRoute(services, ratio), services, now, now.Add(time.Second))
		r := &running{run: run, due: now.Add(100 * time.Millisecond)}
		for _, a := range sends(run.Start(now)) {
			end := now.Add(10 * time.Millisecond)
			if d, slow := service[a.Service]; slow {
				end = free[a.Service]
				if end.Before(now) {
					end = now
				}
				end = end.Add(d)
				free[a.Service] = end
			}
			r.open, r.ends = append(r.open, a), append(r.ends, end)
		}
		total++
		active = append(active, r)
	}
	return float64(inTime) / float64(total)
}

// Guards against records in another order, and against a remainder that counts
// as a record.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts, all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			part := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "part")
			parts = append(parts, part)
			for p := part; len(p) >= RecordSize; p = p[RecordSize:] {
				all = append(all, p[:RecordSize])
			}
		}
		k := rapid.IntRange(1, 10).Draw(t, "k")
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(k, len(all))], nil)
		require.Equal(t, string(want), string(Merge(parts, k)))
	})
}

// Guards against a share of a split that is off its weight.
func TestSplitKeepsToWeights(t *testing.T) {
	splits := []routeplan.Split{{Service: "a", Weight: 7}, {Service: "b", Weight: 0}, {Service: "c", Weight: 3}}
	var s Splitter
	counts := make([]int, 3)
	for range 100 {
		counts[s.Next(splits)]++
	}
	require.Equal(t, []int{70, 0, 30}, counts)
}

// Guards against a hedge that is sent to most requests, or to none.
func TestHedgeFollowsTheSlowTail(t *testing.T) {
	timing := NewTiming()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		timing.Observe(time.Duration(8+rng.IntN(6))*time.Millisecond, 1)
	}
	wait := timing.HedgeAfter(200*time.Millisecond, 0)
	require.Greater(t, wait, 13*time.Millisecond)
	require.Less(t, wait, 30*time.Millisecond)
}

// Plays gathers of 90 shards at a host that is held up in every tenth of them.
// Guards against one slow gather whose ninety parts each raise the wait, so that
// the next gathers send no hedge in time.
func TestHedgeWaitOutlastsASlowGather(t *testing.T) {
	timing := NewTiming()
	rng := rand.New(rand.NewPCG(9, 10))
	gather := func(factor int) {
		for range 90 {
			timing.Observe(time.Duration(factor*(20+rng.IntN(20)))*time.Millisecond, 90)
		}
	}
	for range 30 {
		gather(1)
	}
	steady := timing.HedgeAfter(time.Second, 0)
	require.Less(t, steady, 80*time.Millisecond)
	gather(5)
	require.Less(t, timing.HedgeAfter(time.Second, 0), steady*5/4)
	require.Less(t, timing.Usual(), 60*time.Millisecond)
}

// Plays a gatherer of 90 shards with a fifth of a budget of 214 further attempts
// in 10 s, at ten requests a second, and a host of twelve with a budget of 64.
// Guards against a budget that stays unused while gathers wait for slow shards,
// and against early hedges where the budget is small.
func TestHedgeIsEarlyWhileTheBudgetHasRoom(t *testing.T) {
	wait := func(limits BudgetLimits, hosts int, perSecond int) time.Duration {
		timing, b := NewTiming(), NewBudget(limits)
		b.SetHosts(hosts)
		rng := rand.New(rand.NewPCG(13, 14))
		now := start
		for range 20 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			b.Request(now)
			for range 90 {
				timing.Observe(time.Duration(20+rng.IntN(20))*time.Millisecond, 90)
			}
		}
		return timing.HedgeAfter(200*time.Millisecond, b.Spare(now))
	}
	limits := BudgetLimits{Ratio: 0.2, Extra: 214, Window: 10 * time.Second}
	require.Less(t, wait(limits, 5, 10), 40*time.Millisecond)
	limits.Extra = 64
	require.Greater(t, wait(limits, 12, 8), 45*time.Millisecond)
}

// Plays a queue that serves 60 requests a second, at a load of 90, with answers
// due after 200 ms. Guards against an overload in which every answer is late,
// and against a share that stays low after it.
func TestAdmissionKeepsAnswersInTimeUnderOverload(t *testing.T) {
	taken := playAdmission(t, true)
	all := playAdmission(t, false)
	require.Greater(t, taken, 0.4)
	require.Less(t, all, 0.1)
	var a Admission
	for i := range 100 {
		a.Late(start.Add(time.Duration(i) * time.Second))
	}
	require.InDelta(t, leastShare, a.Share(), 1e-9)
	for i := range 40 {
		a.InTime(start.Add(time.Duration(i) * time.Second))
	}
	require.InDelta(t, 1, a.Share(), 1e-9)
}

// Plays answers of which one in five is late because a searcher pauses. Guards
// against requests that are refused although the searchers have room.
func TestAdmissionTakesAllWhileFewAnswersAreLate(t *testing.T) {
	var a Admission
	now := start
	for i := range 500 {
		now = now.Add(100 * time.Millisecond)
		if i%5 == 0 {
			a.Late(now)
		} else {
			a.InTime(now)
		}
		require.EqualValues(t, 1, a.Share())
	}
}

// playAdmission returns the share of all requests that were answered in time.
func playAdmission(t *testing.T, admit bool) float64 {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 6))
	var a Admission
	const requests = 2000
	due, work := 200*time.Millisecond, time.Second/60
	now, free := start, start
	type ending struct {
		at   time.Time
		late bool
	}
	var ends []ending
	inTime := 0
	for range requests {
		now = now.Add(time.Second / 90)
		for len(ends) > 0 && !ends[0].at.After(now) {
			if ends[0].late {
				a.Late(ends[0].at)
			} else {
				a.InTime(ends[0].at)
			}
			ends = ends[1:]
		}
		if admit && rng.Float64() >= a.Share() {
			continue
		}
		if free.Before(now) {
			free = now
		}
		free = free.Add(work)
		late := free.Sub(now) > due
		if !late {
			inTime++
		}
		ends = append(ends, ending{free, late})
	}
	return float64(inTime) / requests
}
