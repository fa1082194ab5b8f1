package balance

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Guards against a cheap sub-request that goes behind expensive ones because a searcher
// with as many cheap ones looks as busy.
func TestPickWeighsTheWorkAhead(t *testing.T) {
	s := New(Config{})
	rs := replicas(2)
	now := warm(s, epoch, rs, 10*time.Millisecond)
	expensive, cheap := rs[0], rs[1]
	expensive.Cost.Work, cheap.Cost.Work = 80*time.Millisecond, 10*time.Millisecond
	s.Begin(now, expensive)
	s.Begin(now, cheap)
	for i := range rs {
		rs[i].Cost.Work = 10 * time.Millisecond
	}
	require.Equal(t, 1000, shares(s, now, rs, PickOptions{})["t1"])
}

// Guards against a searcher that counts as slow because its sub-requests were expensive.
func TestPaceIsNotThatOfTheKind(t *testing.T) {
	s := New(Config{})
	rs := replicas(2)
	now := epoch
	for range 20 {
		for i, work := range []time.Duration{80 * time.Millisecond, 10 * time.Millisecond} {
			r := rs[i]
			r.Cost.Work = work
			s.Begin(now, r)
			s.End(now.Add(work), r.Key, Outcome{Kind: OK, Latency: work, Cost: r.Cost})
		}
		now = now.Add(100 * time.Millisecond)
	}
	for i := range rs {
		rs[i].Cost.Work = 10 * time.Millisecond
	}
	require.InDelta(t, 500, shares(s, now, rs, PickOptions{})["t0"], 100)
}

// Simulates searchers with two slots and two kinds of sub-requests. Guards against cheap
// sub-requests that wait longer than without estimates of their cost, and against any
// change where all sub-requests cost the same.
func TestEstimatedCostsShortenTheWait(t *testing.T) {
	without, with := simulateKinds(false, 80*time.Millisecond, 10*time.Millisecond), simulateKinds(true, 80*time.Millisecond, 10*time.Millisecond)
	for i, kind := range []string{"expensive", "cheap"} {
		t.Logf("%s without estimates: mean %v p95 %v; with: mean %v p95 %v", kind, mean(without[i]), p95(without[i]), mean(with[i]), p95(with[i]))
		require.Less(t, p95(with[i]).Seconds(), 1.05*p95(without[i]).Seconds())
	}
	require.Less(t, p95(with[1]).Seconds(), 0.9*p95(without[1]).Seconds())
	require.Equal(t, simulateKinds(false, 10*time.Millisecond, 10*time.Millisecond), simulateKinds(true, 10*time.Millisecond, 10*time.Millisecond))
}

func mean(took []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range took {
		sum += d
	}
	return (sum / time.Duration(len(took))).Round(100 * time.Microsecond)
}

func p95(took []time.Duration) time.Duration {
	slices.Sort(took)
	return took[len(took)*95/100].Round(100 * time.Microsecond)
}

type ending struct {
	at  time.Time
	end func()
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e endings) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulateKinds returns the times that the sub-requests of each kind took. A quarter of
// them is of the first kind.
func simulateKinds(estimated bool, works ...time.Duration) [2][]time.Duration {
	s := New(Config{Hosts: 1})
	rs := replicas(4)
	for i := range rs {
		rs[i].Slots = 2
	}
	rng, arrivals := newRNG(), rand.New(rand.NewPCG(3, 4))
	free := make([][2]time.Time, len(rs))
	var out [2][]time.Duration
	var ends endings
	now := epoch
	for range 8000 {
		now = now.Add(time.Duration(arrivals.ExpFloat64() * float64(works[0]/4+3*works[1]/4) / 8 / 0.6))
		kind := 1
		if arrivals.IntN(4) == 0 {
			kind = 0
		}
		for len(ends) > 0 && !ends[0].at.After(now) {
			heap.Pop(&ends).(ending).end()
		}
		var cost workload.Cost
		if estimated {
			cost = s.Estimate(now, workload.Features{Route: "r", Body: 1000 * (1 - kind)})
		}
		for i := range rs {
			rs[i].Cost = cost
		}
		picked, _ := s.Pick(now, rs, PickOptions{}, rng)
		s.Begin(now, picked)
		i := slices.IndexFunc(rs, func(r Replica) bool { return r.Key == picked.Key })
		slot := 0
		if free[i][1].Before(free[i][0]) {
			slot = 1
		}
		end := now
		if free[i][slot].After(end) {
			end = free[i][slot]
		}
		end = end.Add(works[kind])
		free[i][slot] = end
		took := end.Sub(now)
		out[kind] = append(out[kind], took)
		heap.Push(&ends, ending{end, func() { s.End(end, picked.Key, Outcome{Kind: OK, Latency: took, Cost: cost}) }})
	}
	return out
}
