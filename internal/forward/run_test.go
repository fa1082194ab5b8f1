package forward

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var start = time.Unix(1_000_000, 0)

// testEnvironment implements Environment with groups, as package forwardrun
// does.
type testEnvironment struct {
	groups     map[string]*Group
	rng        *rand.Rand
	median     time.Duration
	hedgeDelay time.Duration
}

func newTestEnvironment(services, replicas int) (*testEnvironment, []string) {
	env := &testEnvironment{groups: map[string]*Group{}, rng: rand.New(rand.NewPCG(1, 2)), median: 10 * time.Millisecond, hedgeDelay: 20 * time.Millisecond}
	var names []string
	for i := range services {
		name := string(rune('a' + i))
		g := NewGroup(name, BudgetLimits{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second})
		var specs []SearcherSpec
		for k := range replicas {
			specs = append(specs, SearcherSpec{Identity: identity(name, i, k), Slots: 2, Capacity: 8})
		}
		g.Replace(start, specs)
		env.groups[name] = g
		names = append(names, name)
	}
	return env, names
}

func identity(service string, i, k int) Identity {
	return Identity{
		Target: service + string(rune('0'+k)), Incarnation: 1, FailureDomain: "fd" + string(rune('0'+k)),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(k), byte(i)}), 80),
	}
}

func (env *testEnvironment) Begin(now time.Time, service string, opts AttemptOptions) (*Searcher, bool) {
	return env.groups[service].Begin(now, Criteria{MedianTime: env.median}, opts, env.rng)
}

func (env *testEnvironment) Resume(now time.Time, service string, opts AttemptOptions) time.Time {
	return env.groups[service].Resume(now, opts)
}
func (env *testEnvironment) HedgeDelay() time.Duration { return env.hedgeDelay }
func (env *testEnvironment) IntN(n int) int            { return env.rng.IntN(n) }
func (env *testEnvironment) Expected(now time.Time, service string) (time.Duration, bool) {
	return env.groups[service].Expected(now, Criteria{MedianTime: env.median})
}

func (env *testEnvironment) end(now time.Time, a *Attempt, r Result) {
	env.groups[a.Service].End(now, a.Began, a.Searcher, env.median, r)
}

func gatherRoute(services []string, ratio float64) *routeplan.Route {
	return &routeplan.Route{
		Idempotent: true, MaxAttempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond,
		Gather: &routeplan.Gather{Services: services, TopK: 5, MinRatio: ratio},
	}
}

func singleRoute(idempotent bool) *routeplan.Route {
	return &routeplan.Route{Idempotent: idempotent, MaxAttempts: 2, Timeout: time.Second, Objective: 400 * time.Millisecond, Splits: []routeplan.Split{{Service: "a", Weight: 1}}}
}

func sends(effects []Effect) (out []*Attempt) {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			out = append(out, s.Attempt)
		}
	}
	return out
}

func finish(effects []Effect) (Outcome, bool) {
	for _, e := range effects {
		if f, ok := e.(Finish); ok {
			return f.Outcome, true
		}
	}
	return Outcome{}, false
}

// Guards against a request that runs twice: after an attempt that may have run,
// a request that is not idempotent must not be sent again.
func TestNonIdempotentRequestIsSentAgainOnlyAfterProof(t *testing.T) {
	for result, again := range map[Result]bool{
		Rejected: true, Misdirected: true, Unsent: true, Lost: false, SearcherFailed: false, Abandoned: false,
	} {
		env, services := newTestEnvironment(1, 3)
		run := NewRun(env, singleRoute(false), services, start, start.Add(time.Second))
		first := sends(run.Start(start))
		require.Len(t, first, 1)
		require.Empty(t, sends(run.Tick(start.Add(500*time.Millisecond))), "a hedge would run it twice")
		env.end(start, first[0], result)
		effects := run.Ended(start.Add(time.Millisecond), first[0], result)
		require.Equal(t, again, len(sends(effects)) == 1, result)
		if !again {
			o, done := finish(effects)
			require.True(t, done, result)
			require.NotEqual(t, verdict.NotRun, o.Err.Verdict, "the error must not promise that the request did not run")
		}
	}
}

// Checks runs with random results in random order. Guards against an error that
// says "not run" after an attempt that may have run, against more attempts than
// the route allows, and against a run that never ends or, if the host stops, that ends
// after it.
func TestRunProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		env, services := newTestEnvironment(shards, rapid.IntRange(0, 3).Draw(t, "replicas"))
		route := gatherRoute(services, rapid.SampledFrom([]float64{0, 0.5, 0.9, 1}).Draw(t, "ratio"))
		if shards == 1 && rapid.Bool().Draw(t, "single") {
			route = singleRoute(rapid.Bool().Draw(t, "idempotent"))
		}
		deadline := start.Add(time.Second)
		run := NewRun(env, route, services, start, deadline)
		now := start
		stopAt := start.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "stop")) * time.Millisecond)
		endBy := stopAt.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "end")) * time.Millisecond)
		if rapid.Bool().Draw(t, "stops before the start") {
			stopAt = start
		}
		stopped := false
		stop := func() []Effect {
			if stopped || now.Before(stopAt) {
				return nil
			}
			stopped = true
			return run.EndBy(now, endBy)
		}
		stop()
		var open []*Attempt
		collect := func(effects []Effect) (Outcome, bool) {
			open = append(open, sends(effects)...)
			return finish(effects)
		}
		o, done := collect(run.Start(now))
		for step := 0; !done; step++ {
			require.Less(t, step, 500, "the run does not end")
			if o, done = collect(stop()); done {
				break
			}
			require.False(t, stopped && now.After(endBy), "the run goes on when the host has stopped")
			if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "what") > 0 {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				a := open[i]
				open = append(open[:i], open[i+1:]...)
				result := rapid.SampledFrom([]Result{Good, Good, Good, SearcherFailed, Rejected, Misdirected, Unsent, Lost}).Draw(t, "result")
				env.end(now, a, result)
				o, done = collect(run.Ended(now, a, result))
				continue
			}
			next := run.Next(now)
			require.False(t, next.Before(now) && len(open) > 0 && now.Sub(next) > time.Second, "a tick is overdue")
			if !next.After(now) {
				next = now.Add(time.Millisecond)
			}
			if !stopped && stopAt.After(now) && stopAt.Before(next) {
				next = stopAt
			}
			now = next
			o, done = collect(run.Tick(now))
		}
		checkOutcome(t, run, route, o)
	})
}

func checkOutcome(t *rapid.T, run *Run, route *routeplan.Route, o Outcome) {
	mayRun := map[int]int{}
	anyRan := false
	for _, a := range run.Attempts() {
		if a.Open || a.Result.Verdict() != verdict.NotRun {
			mayRun[a.SubRequest]++
			anyRan = true
		}
	}
	limit := route.MaxAttempts
	if !route.Idempotent {
		limit = 1
	}
	for sub, n := range mayRun {
		require.LessOrEqual(t, n, limit, "sub-request %d", sub)
	}
	if o.Err != nil && o.Err.Verdict == verdict.NotRun {
		require.False(t, anyRan, "the error says not run, though an attempt may have run")
	}
	if o.Err == nil && route.Gather != nil {
		require.GreaterOrEqual(t, len(o.Replies), route.Gather.MinShards())
		require.Equal(t, len(route.Gather.Services), len(o.Replies)+o.Missing)
		seen := map[string]bool{}
		for _, a := range o.Replies {
			require.Equal(t, Good, a.Result)
			require.False(t, seen[a.Service], "two replies of one shard")
			seen[a.Service] = true
		}
	}
}

// Guards against work on an answer that can't be given: with too few usable
// shards, nothing is sent and the caller gets an error at once.
func TestGatherWithTooFewShardsIsRefusedBeforeItIsSent(t *testing.T) {
	env, services := newTestEnvironment(10, 2)
	for _, s := range services[:2] {
		for _, x := range env.groups[s].Searchers() {
			env.groups[s].RecordDial(x.Identity, false)
		}
	}
	effects := NewRun(env, gatherRoute(services, 0.9), services, start, start.Add(time.Second)).Start(start)
	require.Empty(t, sends(effects))
	o, done := finish(effects)
	require.True(t, done)
	require.Equal(t, verdict.NotRun, o.Err.Verdict)
	require.Positive(t, o.Err.RetryAfter)

	effects = NewRun(env, gatherRoute(services, 0.8), services, start, start.Add(time.Second)).Start(start)
	require.Len(t, sends(effects), 8, "8 of 10 shards are enough for this route")
}

// Guards against a query that waits for a paused searcher while its replica is
// idle.
func TestHedgeAsksTheOtherReplicaOnce(t *testing.T) {
	env, services := newTestEnvironment(1, 2)
	run := NewRun(env, gatherRoute(services, 1), services, start, start.Add(time.Second))
	first := sends(run.Start(start))
	require.Equal(t, start.Add(env.hedgeDelay), run.Next(start))
	second := sends(run.Tick(start.Add(env.hedgeDelay)))
	require.Len(t, second, 1)
	require.NotSame(t, first[0].Searcher, second[0].Searcher)
	require.Empty(t, sends(run.Tick(start.Add(3*env.hedgeDelay))), "the route allows two attempts")
	effects := run.Ended(start.Add(3*env.hedgeDelay), second[0], Good)
	o, done := finish(effects)
	require.True(t, done)
	require.Equal(t, []*Attempt{second[0]}, o.Replies)
}

// Guards against an answer that misses its objective because one shard of many
// is late, and against an answer with fewer shards than the route requires.
func TestGatherAnswersBeforeItsObjectiveWithoutLateShards(t *testing.T) {
	env, services := newTestEnvironment(10, 1)
	run := NewRun(env, gatherRoute(services, 0.9), services, start, start.Add(time.Second))
	attempts := sends(run.Start(start))
	for _, a := range attempts[:8] {
		_, done := finish(run.Ended(start.Add(10*time.Millisecond), a, Good))
		require.False(t, done)
	}
	_, done := finish(run.Tick(start.Add(99 * time.Millisecond)))
	require.False(t, done, "8 of 10 shards are fewer than the route requires")
	o, done := finish(run.Ended(start.Add(150*time.Millisecond), attempts[8], Good))
	require.True(t, done)
	require.Equal(t, 1, o.Missing)
}

// Guards against a hedge that can't answer in time, which only adds load to a
// slow searcher.
func TestHedgeMustBeExpectedInTime(t *testing.T) {
	env, services := newTestEnvironment(1, 2)
	run := NewRun(env, gatherRoute(services, 1), services, start, start.Add(time.Second))
	first := sends(run.Start(start))
	for _, s := range env.groups["a"].Searchers() {
		if s != first[0].Searcher {
			setPace(s, start, env.median, 12)
		}
	}
	require.Empty(t, sends(run.Tick(start.Add(env.hedgeDelay))))
	require.True(t, run.Next(start.Add(env.hedgeDelay)).After(start.Add(env.hedgeDelay)), "the next hedge must not be due at once")
}

// Guards against a request that fails while its only searchers have no
// capacity: it must wait, and continue when one has.
func TestRunWaitsForCapacity(t *testing.T) {
	env, services := newTestEnvironment(1, 1)
	g := env.groups["a"]
	g.Replace(start, []SearcherSpec{{Identity: identity("a", 0, 0), Slots: 2, Capacity: 1}})
	holder := NewRun(env, singleRoute(true), services, start, start.Add(time.Second))
	held := sends(holder.Start(start))
	run := NewRun(env, singleRoute(true), services, start, start.Add(time.Second))
	effects := run.Start(start)
	require.Equal(t, []Effect{AwaitCapacity{SubRequest: 0, Service: "a"}}, effects)
	env.end(start.Add(time.Millisecond), held[0], Good)
	require.Len(t, sends(run.CapacityFreed(start.Add(time.Millisecond), 0)), 1)
}

// Guards against an answer without all shards that leaves within the objective and
// reaches the caller after it: the time on the network counts.
func TestCutoffLeavesTimeForTheNetwork(t *testing.T) {
	env, services := newTestEnvironment(10, 1)
	delay := 12 * time.Millisecond
	run := NewRun(env, gatherRoute(services, 0.5), services, start.Add(-delay), start.Add(time.Second))
	for i, a := range sends(run.Start(start)) {
		if i > 0 {
			env.end(start.Add(20*time.Millisecond), a, Good)
			require.Empty(t, run.Ended(start.Add(20*time.Millisecond), a, Good))
		}
	}
	cutoff := start.Add(100*time.Millisecond - 7*time.Millisecond - delay)
	require.Empty(t, run.Tick(cutoff.Add(-1)))
	effects := run.Tick(cutoff)
	require.Equal(t, 1, effects[len(effects)-1].(Finish).Outcome.Missing)
}
