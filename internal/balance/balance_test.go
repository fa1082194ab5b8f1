package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replica(target string) Replica {
	return Replica{Key: Key{Target: target, Searcher: "s0"}, FailureDomain: "d-" + target, Slots: 4}
}

func replicas(n int) []Replica {
	out := make([]Replica, n)
	for i := range out {
		out[i] = replica(fmt.Sprintf("t%d", i))
	}
	return out
}

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// do begins and ends one sub-request.
func do(s *State, now time.Time, r Replica, kind Kind, latency time.Duration) EndResult {
	s.Begin(now, r)
	return s.End(now.Add(latency), r.Key, Outcome{Kind: kind, Latency: latency})
}

// shares counts how often each target is picked in 1000 picks.
func shares(s *State, now time.Time, rs []Replica, opts PickOptions) map[string]int {
	rng := newRNG()
	out := map[string]int{}
	for range 1000 {
		r, _ := s.Pick(now, rs, opts, rng)
		out[r.Target]++
	}
	return out
}

func warm(s *State, now time.Time, rs []Replica, latency time.Duration) time.Time {
	for range 20 {
		for _, r := range rs {
			do(s, now, r, OK, latency)
		}
		now = now.Add(latency)
	}
	return now
}

// Guards against picking slow or busy searchers while fast, idle ones exist.
func TestPickPrefersFastAndIdle(t *testing.T) {
	s := New(Config{})
	rs := replicas(3)
	now := warm(s, epoch, rs, 10*time.Millisecond)
	for range 20 {
		do(s, now, rs[0], OK, 200*time.Millisecond)
	}
	require.Zero(t, shares(s, now, rs, PickOptions{})["t0"], "the slowest of three loses every comparison")
	now = now.Add(time.Minute)
	require.NotZero(t, shares(s, now, rs, PickOptions{})["t0"], "an old observation must not exclude a searcher for ever")

	s.Begin(now, rs[1])
	got := shares(s, now, rs[1:], PickOptions{})
	require.Zero(t, got["t1"])
}

// Guards against hedges that go to the target of the first attempt, or to its
// failure domain although another one is available.
func TestPickAvoids(t *testing.T) {
	s := New(Config{})
	rs := replicas(4)
	rs[1].FailureDomain = rs[0].FailureDomain
	opts := PickOptions{Avoid: rs[:1]}
	got := shares(s, epoch, rs, opts)
	require.Zero(t, got["t0"])
	require.Zero(t, got["t1"])
	r, result := s.Pick(epoch, rs[:2], opts, newRNG())
	require.Equal(t, Picked, result)
	require.Equal(t, rs[1], r, "the same domain is used if no other is left")
	_, result = s.Pick(epoch, rs[:1], opts, newRNG())
	require.Equal(t, NoCandidate, result)
}

// Guards against reported health that overrides observations: a target that
// reports itself healthy but fails is ejected, and one that reports itself
// unhealthy but answers is still picked.
func TestOwnObservationsOutweighHints(t *testing.T) {
	s := New(Config{})
	rs := replicas(2)
	rs[1].Hint = Hint{Unhealthy: true, Load: 1}
	require.Zero(t, shares(s, epoch, rs, PickOptions{})["t1"], "without observations the hint decides")
	now := warm(s, epoch, rs, 10*time.Millisecond)
	require.InDelta(t, 500, shares(s, now, rs, PickOptions{})["t1"], 100)

	var end EndResult
	for range DefaultConsecutiveFailures {
		require.Equal(t, NotEjected, end.Ejected)
		end = do(s, now, rs[0], Failed, time.Millisecond)
	}
	require.Equal(t, SearcherEjected, end.Ejected)
	require.Zero(t, shares(s, now.Add(time.Millisecond), rs, PickOptions{})["t0"])
	for s.TryBegin(now, rs[1]) {
	}
	r, result := s.Pick(now, rs, PickOptions{}, newRNG())
	require.Equal(t, AtLimit, result, "waiting for a working target is better than using an ejected one")
	require.Equal(t, rs[1], r)
}

// Guards against ejections that don't get longer while a target keeps failing,
// or that stay long after it has recovered.
func TestEjectionGrowsAndResets(t *testing.T) {
	s := New(Config{})
	r := replica("t0")
	now := epoch
	want := []time.Duration{1, 2, 4, 8, 16, 32, 60, 60}
	for i, seconds := range want {
		var end EndResult
		for end.Ejected == NotEjected {
			end = do(s, now, r, Failed, 0)
		}
		require.Equal(t, i+1, end.Ejection)
		require.Equal(t, seconds*time.Second, end.Until.Sub(now), "ejection %d", i)
		now = end.Until
	}
	do(s, now.Add(2*time.Minute), r, OK, time.Millisecond)
	now = now.Add(2 * time.Minute)
	var end EndResult
	n := 0
	for ; end.Ejected == NotEjected; n++ {
		end = do(s, now, r, Failed, 0)
	}
	require.Equal(t, DefaultConsecutiveFailures, n, "a success ends the probation")
	require.Equal(t, time.Second, end.Until.Sub(now))
}

// Guards against a failing target that isn't ejected because its failures are
// spread over several searchers, and against a searcher that isn't ejected
// because successes interrupt a high rate of failures.
func TestEjectionOfTargetAndByRate(t *testing.T) {
	s := New(Config{})
	a, b := replica("t0"), replica("t0")
	b.Searcher = "s1"
	do(s, epoch, a, OK, 0)
	do(s, epoch, b, OK, 0)
	var end EndResult
	for i := range DefaultConsecutiveFailures {
		end = do(s, epoch, []Replica{a, b}[i%2], Failed, 0)
	}
	require.Equal(t, TargetEjected, end.Ejected)

	c := replica("t1")
	end = EndResult{}
	n := 0
	for ; end.Ejected == NotEjected && n < 100; n++ {
		kind := []Kind{Failed, Failed, OK}[n%3]
		end = do(s, epoch, c, kind, 0)
	}
	require.Equal(t, SearcherEjected, end.Ejected)
}

// Guards against too many ejections at once: however many candidates fail, only
// the allowed percentage is ejected.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{})
		n := rapid.IntRange(1, 12).Draw(t, "candidates")
		percent := rapid.IntRange(1, 100).Draw(t, "percent")
		rs := replicas(n)
		now := epoch
		failing := 0
		for _, r := range rs {
			if rapid.Bool().Draw(t, "fails") {
				failing++
				for range DefaultConsecutiveFailures {
					do(s, now, r, Failed, 0)
				}
			} else {
				do(s, now, r, OK, time.Millisecond)
			}
		}
		got := shares(s, now, rs, PickOptions{MaxEjectedPercent: percent})
		allowed := min(n*percent/100, n-1)
		usable := 0
		for _, c := range s.scratch {
			if c.class&ejectedClass == 0 {
				usable++
			}
		}
		require.Equal(t, max(n-failing, n-allowed), usable)
		require.NotEmpty(t, got)
	})
}

// Guards against a cold target that gets its full share at once, or never.
func TestSlowStartGrows(t *testing.T) {
	s := New(Config{})
	rs := replicas(2)
	rs[1].Cold = true
	now := warm(s, epoch, rs[:1], 10*time.Millisecond)
	require.InDelta(t, 100, shares(s, now, rs, PickOptions{})["t1"], 60)
	do(s, now, rs[1], OK, 10*time.Millisecond)
	last := 0
	for _, part := range []float64{0.25, 0.5, 1} {
		at := now.Add(time.Duration(part * float64(DefaultSlowStart)))
		got := shares(s, at, rs, PickOptions{})["t1"]
		require.Greater(t, got, last)
		last = got
	}
	require.InDelta(t, 500, last, 80)
}

// Guards against a limit outside 1..slots, a first limit above this host's part
// of the slots, and a limit that doesn't grow with use or fall on shedding.
func TestConcurrencyLimit(t *testing.T) {
	s := New(Config{Hosts: 3})
	r := replica("t0")
	require.True(t, s.TryBegin(epoch, r))
	require.True(t, s.TryBegin(epoch, r), "4 slots for 3 hosts: 2 each")
	require.False(t, s.TryBegin(epoch, r))
	_, result := s.Pick(epoch, []Replica{r}, PickOptions{}, newRNG())
	require.Equal(t, AtLimit, result)
	now := epoch
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		s.End(now, r.Key, Outcome{Kind: OK, Latency: 10 * time.Millisecond})
		for s.TryBegin(now, r) {
		}
	}
	require.Equal(t, 4, s.Snapshot(now)[0].Limit, "the limit grows while it is fully used and latency stays low")
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		s.End(now, r.Key, Outcome{Kind: Shed})
		s.Begin(now, r)
	}
	require.Equal(t, 1, s.Snapshot(now)[0].Limit)
	require.LessOrEqual(t, New(Config{Hosts: 12}).firstLimit(2), 1)
}

// Guards, for any sequence of calls, against records that outlive their targets
// and counts that differ from the sub-requests in flight.
func TestRecordsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{})
		rs := replicas(4)
		now := epoch
		inFlight := map[Key]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			r := rs[rapid.IntRange(0, 3).Draw(t, "replica")]
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				s.Begin(now, r)
				inFlight[r.Key]++
			case 3, 4:
				s.End(now, r.Key, Outcome{Kind: Kind(rapid.IntRange(0, 4).Draw(t, "kind")), Latency: time.Millisecond})
				inFlight[r.Key] = max(0, inFlight[r.Key]-1)
			default:
				s.Forget(r.Target)
				delete(inFlight, r.Key)
			}
			for _, st := range s.Snapshot(now) {
				require.Equal(t, inFlight[st.Key], st.InFlight)
				require.Equal(t, inFlight[st.Key], s.targets[st.Target].inFlight)
				require.GreaterOrEqual(t, st.Limit, 1)
				require.LessOrEqual(t, st.Limit, r.Slots)
			}
		}
		s.Retain(func(k Key) bool { return k.Target == "t0" })
		require.LessOrEqual(t, len(s.records), 1)
		for k, n := range inFlight {
			for range n {
				s.End(now, k, Outcome{})
			}
		}
		s.Sweep(now.Add(DefaultRecordTTL + time.Second))
		require.Empty(t, s.records)
		require.Empty(t, s.targets)
	})
}

// Guards against returning a waiter that can't finish in time, and against an
// order other than by deadline.
func TestWaitersOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Waiters[int]
		var entries []*Entry[int]
		for i, ms := range rapid.SliceOfN(rapid.IntRange(0, 100), 1, 30).Draw(t, "deadlines") {
			entries = append(entries, q.Push(i, epoch.Add(time.Duration(ms)*time.Millisecond)))
		}
		q.Remove(entries[0])
		q.Remove(entries[0])
		popped := 0
		last := time.Time{}
		need := 50 * time.Millisecond
		for {
			v, ok := q.Next(epoch, need, func(v int) {
				popped++
				require.True(t, entries[v].Deadline.Before(epoch.Add(need)))
			})
			if !ok {
				break
			}
			popped++
			require.NotZero(t, v)
			require.False(t, entries[v].Deadline.Before(epoch.Add(need)))
			require.False(t, entries[v].Deadline.Before(last))
			last = entries[v].Deadline
		}
		require.Equal(t, len(entries)-1, popped)
	})
}

func BenchmarkPickBeginEnd(b *testing.B) {
	for _, n := range []int{2, 3, 8} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			s := New(Config{})
			rs := replicas(n)
			now := warm(s, epoch, rs, 10*time.Millisecond)
			rng := newRNG()
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				r, _ := s.Pick(now, rs, PickOptions{}, rng)
				s.Begin(now, r)
				s.End(now, r.Key, Outcome{Latency: 10 * time.Millisecond})
			}
		})
	}
}
