package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Guards against a searcher that gets no requests for good, whatever happened to it
// before and whatever it reports: once all searchers of a shard are equally fast again,
// each gets a tenth of an equal part at least. Hosts are in all failure domains.
func TestNoSearcherStarves(t *testing.T) {
	const recovered = 6 * time.Second
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 77))
			var factors [9]float64
			for i := range factors {
				factors[i] = 1 + 11*rng.Float64()
			}
			liar, stated := rng.IntN(len(factors)), rng.IntN(100)
			sc := simScenario{
				hosts: 3 * (1 + rng.IntN(2)), shards: 3, replicas: 3, slots: 2, queue: 12, farLatency: 1400 * time.Microsecond, seconds: 24,
				kinds: []simKind{
					{name: "gather", rate: 30, work: 28 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond, minRatio: 0.6},
					{name: "urgent", rate: 30, work: 9 * time.Millisecond, objective: 80 * time.Millisecond, deadline: 500 * time.Millisecond, minRatio: 0.6},
				},
				pace: func(i int, at time.Duration) float64 {
					if at < recovered {
						return factors[i]
					}
					return 1
				},
				report: func(s *simSearcher, at time.Duration) workload.Report {
					if s.index == liar {
						return workload.Report{Stated: true, Running: stated, Waiting: stated, Slots: 2, Pace: float64(stated) / 100}
					}
					return honestReport(s, at)
				},
				countFrom: recovered + 4*workload.PaceHalfLife,
			}
			counts := map[Identity]int{}
			total := 0
			for _, r := range simulate(sc, seed, newPresent) {
				for id, n := range r.bySearcher {
					counts[id] += n
					total += n
				}
			}
			require.Greater(t, total, 1000)
			require.Len(t, counts, 9)
			for id, n := range counts {
				require.Greater(t, n, total/9/10, "%v of %d", id, total)
			}
			t.Logf("liar %d states %d: %v", liar, stated, counts)
		})
	}
}

// Guards against hosts that have seen the same and all choose the same searcher at the
// same time: with searchers of one failure domain that are about equally fast, the most
// popular one gets less than all but a fifth of the choices.
func TestHostsDoNotAllChooseTheSameSearcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paces := rapid.SliceOfN(rapid.Float64Range(0.97, 1.03), 3, 3).Draw(t, "paces")
		report := workload.Report{Stated: rapid.Bool().Draw(t, "stated"), Running: rapid.IntRange(0, 2).Draw(t, "running"), Slots: 2}
		work := time.Duration(rapid.IntRange(2, 100).Draw(t, "work")) * time.Millisecond
		counts := map[Identity]int{}
		const hosts = 200
		for h := range hosts {
			g := NewGroup("s", BudgetLimits{})
			var specs []SearcherSpec
			for k := range paces {
				id := identity("s", 0, k)
				id.FailureDomain = "a"
				specs = append(specs, SearcherSpec{Identity: id, Slots: 2, Capacity: 8})
			}
			g.Replace(start, specs)
			now := start
			for range 10 {
				for k, s := range g.Searchers() {
					took := time.Duration(paces[k] * float64(work))
					s.begin(now, work)
					g.End(now.Add(took), now, s, work, Good)
					g.Report(now.Add(took), s, report)
				}
				now = now.Add(2 * work)
			}
			s, _ := g.Choose(now, Criteria{FailureDomain: "a", MedianTime: work, Objective: time.Second}, rand.New(rand.NewPCG(uint64(h), 1)))
			counts[s.Identity]++
		}
		for id, n := range counts {
			require.Less(t, n, hosts*4/5, "%v", id)
		}
	})
}
