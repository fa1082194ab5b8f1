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
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Guards against more extra attempts at a service than all hosts together may
// make, in any window, when every host spends its whole budget and some hosts
// see far more requests than others.
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
			budgets[h].RecordRequest(now)
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
			// The limit counts the requests of this window or of the one
			// before, whichever has more.
			counted := max(within(requests, from, to), within(requests, from.Add(-limits.Window), from))
			require.LessOrEqual(t, float64(within(extras, from, to)), limits.Ratio*float64(counted)+limits.Extra)
		}
	})
}

// Guards against further requests to a searcher whose address another service
// has taken over, where each is an extra attempt.
func TestMisdirectedSearcherIsNotAskedAgain(t *testing.T) {
	env, _ := newTestEnvironment(1, 2)
	g := env.groups["a"]
	gone := g.Searchers()[0]
	g.Begin(start, Criteria{Tried: nil}, AttemptOptions{Tried: []*Searcher{g.Searchers()[1]}}, env.rng)
	g.End(start, start, gone, env.median, Misdirected)
	for range 50 {
		s, _ := g.Choose(start.Add(time.Hour), Criteria{MedianTime: env.median}, env.rng)
		require.NotSame(t, gone, s)
	}
	require.False(t, g.MayReceive(start.Add(time.Hour), gone.Identity))
}

// Guards against choosing a searcher that has become slow, and against never
// trying it again.
func TestChoiceAvoidsASlowSearcherAndTriesItAgainLater(t *testing.T) {
	env, _ := newTestEnvironment(1, 2)
	g := env.groups["a"]
	for _, s := range g.Searchers() {
		s.FailureDomain = "" // both in this host's failure domain
	}
	slow, fast := g.Searchers()[0], g.Searchers()[1]
	for i := range 5 {
		began := start.Add(time.Duration(i) * time.Millisecond)
		slow.begin(began, env.median)
		g.End(began.Add(100*time.Millisecond), began, slow, env.median, Good)
	}
	now := start.Add(110 * time.Millisecond)
	for range 20 {
		s, _ := g.Choose(now, Criteria{MedianTime: env.median}, env.rng)
		require.Same(t, fast, s)
	}
	later := now.Add(10 * workload.PaceHalfLife)
	var seen []*Searcher
	for range 50 {
		s, _ := g.Choose(later, Criteria{MedianTime: env.median}, env.rng)
		seen = append(seen, s)
		s.begin(later, env.median)
		later = later.Add(env.median)
		g.End(later, later.Add(-env.median), s, env.median, Good)
	}
	require.True(t, slices.Contains(seen, slow))
}

// Simulates two equal searchers, one of them in this host's failure domain.
// Attempt times vary by a third, and one in 25 has a pause of eight times
// the median. Guards against traffic between failure domains while the near searcher
// is about as fast, and against preferring the near searcher when it is slow.
func TestChoicePrefersANearSearcherThatIsAboutAsFast(t *testing.T) {
	near, far := Identity{Target: "near", FailureDomain: "a"}, Identity{Target: "far", FailureDomain: "b"}
	rng := rand.New(rand.NewPCG(11, 12))
	median := 28 * time.Millisecond
	criteria := Criteria{FailureDomain: "a", MedianTime: median, Objective: 200 * time.Millisecond}
	simulate := func(slowness float64) (share float64) {
		g := NewGroup("s", BudgetLimits{})
		g.Replace(start, []SearcherSpec{{Identity: near, Slots: 2, Capacity: 4}, {Identity: far, Slots: 2, Capacity: 4}})
		now, chosen := start, 0
		const requests = 1000
		for range requests {
			s, _ := g.Begin(now, criteria, AttemptOptions{}, rng)
			took := time.Duration((0.67 + 0.66*rng.Float64()) * float64(median))
			if rng.IntN(25) == 0 {
				took += 8 * median
			}
			if s.Identity == near {
				chosen++
				took = time.Duration(slowness * float64(took))
			}
			now = now.Add(took)
			g.End(now, now.Add(-took), s, median, Good)
		}
		return float64(chosen) / requests
	}
	require.Greater(t, simulate(1), 0.85)
	require.Less(t, simulate(4), 0.2)
}

// Guards against an overload that makes every query late: if gathers may skip
// late sub-requests, far more of them must be answered in time than if they
// need every shard.
func TestSkippingLateSubRequestsKeepsOthersInTime(t *testing.T) {
	with := overloadedGathers(0.8)
	without := overloadedGathers(1)
	require.Greater(t, with, 2*without)
	require.Greater(t, with, 0.5)
}

// overloadedGathers simulates gathers from 10 shards, three of which get a
// quarter more requests than they can serve. It returns the share of gathers
// that were answered in time when an answer needs the given ratio of the
// shards. Each overloaded shard is a queue that is served at a fixed rate.
func overloadedGathers(ratio float64) float64 {
	env, services := newTestEnvironment(10, 1)
	env.rng = rand.New(rand.NewPCG(7, 7))
	env.hedgeDelay = time.Hour
	for _, g := range env.groups {
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
					env.end(r.ends[k], r.open[k], Good)
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
		run := NewRun(env, gatherRoute(services, ratio), services, now, now.Add(time.Second))
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

// Guards against records in the wrong order, and against a remainder that is
// merged as a record.
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

// Guards against a split whose shares differ from its weights.
func TestSplitKeepsToWeights(t *testing.T) {
	splits := []routeplan.Split{{Service: "a", Weight: 7}, {Service: "b", Weight: 0}, {Service: "c", Weight: 3}}
	var s Splitter
	counts := make([]int, 3)
	for range 100 {
		counts[s.Next(splits)]++
	}
	require.Equal(t, []int{70, 0, 30}, counts)
}

// Guards against a delay that hedges most requests, or none.
func TestHedgeFollowsTheSlowTail(t *testing.T) {
	timing := NewTiming()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		timing.Observe(time.Duration(8+rng.IntN(6))*time.Millisecond, 1)
	}
	wait := timing.HedgeDelay(200*time.Millisecond, 0, 1)
	require.Greater(t, wait, 13*time.Millisecond)
	require.Less(t, wait, 30*time.Millisecond)
}

// Simulates gathers of 90 shards, the last of which is slow because its host is
// busy. Guards against a hedge delay that rises with each of its ninety
// sub-requests, so that the next gathers are hedged too late.
func TestOneSlowGatherBarelyRaisesTheHedgeDelay(t *testing.T) {
	timing, costs := NewTiming(), workload.NewCosts()
	cost := func() workload.Cost { return costs.Estimate(start, workload.Features{Route: "g"}) }
	rng := rand.New(rand.NewPCG(9, 10))
	gather := func(factor int) {
		kind := cost().Kind
		for range 90 {
			took := time.Duration(factor*(20+rng.IntN(20))) * time.Millisecond
			timing.Observe(took, 90)
			kind.Observe(start, took, 90)
		}
	}
	for range 30 {
		gather(1)
	}
	steady := timing.HedgeDelay(time.Second, 0, 1)
	require.Less(t, steady, 80*time.Millisecond)
	gather(5)
	require.Less(t, timing.HedgeDelay(time.Second, 0, 1), steady*5/4)
	require.Less(t, cost().Work, 60*time.Millisecond)
}

// Simulates a gatherer of 90 shards that has a fifth of a budget of 214 extra
// attempts in 10 s, at ten requests a second, and one of twelve hosts that
// share a budget of 64, at eight requests a second. Guards against a budget
// that stays unused while gathers wait for slow shards, and against early
// hedges where the budget is small.
func TestHedgeIsEarlyWhileTheBudgetHasRoom(t *testing.T) {
	wait := func(limits BudgetLimits, hosts int, perSecond int) time.Duration {
		timing, b := NewTiming(), NewBudget(limits)
		b.SetHosts(hosts)
		rng := rand.New(rand.NewPCG(13, 14))
		now := start
		for range 20 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			b.RecordRequest(now)
			for range 90 {
				timing.Observe(time.Duration(20+rng.IntN(20))*time.Millisecond, 90)
			}
		}
		return timing.HedgeDelay(200*time.Millisecond, b.LeftPerRequest(now), 1)
	}
	limits := BudgetLimits{Ratio: 0.2, Extra: 214, Window: 10 * time.Second}
	require.Less(t, wait(limits, 5, 10), 40*time.Millisecond)
	limits.Extra = 64
	require.Greater(t, wait(limits, 12, 8), 45*time.Millisecond)
}

// Simulates a queue that serves 60 requests a second and gets 90, with answers
// due after 200 ms. Guards against an overload in which every answer is late,
// and against an admitted share that stays low after the overload.
func TestAdmissionKeepsAnswersInTimeUnderOverload(t *testing.T) {
	limited := simulateAdmission(t, true)
	unlimited := simulateAdmission(t, false)
	require.Greater(t, limited, 0.4)
	require.Less(t, unlimited, 0.1)
	var a Admission
	for i := range 100 {
		a.RecordLate(start.Add(time.Duration(i) * time.Second))
	}
	require.InDelta(t, minShare, a.Share(), 1e-9)
	for i := range 40 {
		a.RecordInTime(start.Add(time.Duration(i) * time.Second))
	}
	require.InDelta(t, 1, a.Share(), 1e-9)
}

// Simulates answers of which one in five is late because a searcher pauses.
// Guards against rejecting requests while the searchers have capacity.
func TestAdmissionTakesAllWhileFewAnswersAreLate(t *testing.T) {
	var a Admission
	now := start
	for i := range 500 {
		now = now.Add(100 * time.Millisecond)
		if i%5 == 0 {
			a.RecordLate(now)
		} else {
			a.RecordInTime(now)
		}
		require.EqualValues(t, 1, a.Share())
	}
}

// simulateAdmission returns the share of all requests that were answered in time.
func simulateAdmission(t *testing.T, admit bool) float64 {
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
				a.RecordLate(ends[0].at)
			} else {
				a.RecordInTime(ends[0].at)
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
