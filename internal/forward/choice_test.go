package forward

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// simSeeds is the number of seeds of each simulation. The figures of
// docs/design/routing-by-cost.md are those of 9.
var simSeeds = flag.Int("sim.seeds", 2, "seeds of each simulation of the choice of searchers")

// deploymentA simulates a third of the shards of deployment A of
// docs/design/accounts-and-load.md, with its kinds of gathered requests.
func deploymentA() simScenario {
	return simScenario{
		hosts: 6, shards: 30, replicas: 3, slots: 2, queue: 12, heavyShare: 0.01, heavyFactor: 5, farLatency: 1400 * time.Microsecond, seconds: 20,
		kinds: []simKind{
			{name: "gather", rate: 25.2, work: 28 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond, minRatio: 0.95},
			{name: "urgent", rate: 14.6, work: 9200 * time.Microsecond, objective: 80 * time.Millisecond, deadline: 500 * time.Millisecond, minRatio: 0.85},
		},
	}
}

// deploymentB is the same for deployment B.
func deploymentB() simScenario {
	s := deploymentA()
	s.farLatency = 4500 * time.Microsecond
	s.kinds = []simKind{
		{name: "gather", rate: 31.7, work: 11 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 1500 * time.Millisecond, minRatio: 0.95},
		{name: "urgent", rate: 10.6, work: 3800 * time.Microsecond, objective: 80 * time.Millisecond, deadline: 800 * time.Millisecond, minRatio: 0.85},
	}
	return s
}

// misreport is the report of searchers of which every third always reports that it is
// idle and as fast as usual.
func misreport(s *simSearcher, at time.Duration) workload.Report {
	if s.index%3 == 0 {
		return workload.Report{Stated: true, Slots: s.sim.slots, Pace: 1}
	}
	return honestReport(s, at)
}

// with returns a changed scenario whose requests arrive at a multiple of the rate.
func (s simScenario) with(load float64, changes ...func(*simScenario)) simScenario {
	s.rate = func(time.Duration) float64 { return load }
	for _, change := range changes {
		change(&s)
	}
	return s
}

func alike(s *simScenario)   { s.kinds, s.heavyShare = s.kinds[:1], 0 }
func reports(s *simScenario) { s.report = honestReport }
func uneven(s *simScenario)  { s.pace = unevenPace(7) }
func pauses(s *simScenario)  { s.pauseEvery, s.pause = 6*time.Second, 250*time.Millisecond }
func mixed(s *simScenario)   { s.kinds[0].mixed, s.kinds[0].mixedFactor = 0.3, 3 }

func lying(s *simScenario) {
	s.report = misreport
	s.pace = func(i int, _ time.Duration) float64 {
		if i%3 == 0 {
			return 3
		}
		return 1
	}
}

// slowFor8s makes searchers slower by a factor from 6 to 14 s.
func slowFor8s(factor float64, slow func(searcher int) bool) func(*simScenario) {
	return func(s *simScenario) {
		s.pace = func(i int, at time.Duration) float64 {
			if at > 6*time.Second && at < 14*time.Second && slow(i) {
				return factor
			}
			return 1
		}
	}
}

// Compares what callers get by the previous choice and by the present one, with the same
// requests. Guards against a choice that makes answers later than the previous one did,
// also where all requests cost the same, and against one that loses what it gained: the
// short wait of cheap requests, the use of reports, and requests that answer in time
// while searchers are slow.
func TestChoiceServesCallersNoWorseThanThePreviousOne(t *testing.T) {
	cases := []struct {
		name     string
		scenario simScenario
		// The present p50 or p95 of a kind must be at most that share of the previous
		// one, and the share in time must exceed it by that much; 0 for no gain required.
		kind     int
		p50, p95 float64
		inTime   float64
	}{
		{name: "uneven costs, A", scenario: deploymentA().with(1)},
		{name: "uneven costs, A, 2.3 times", scenario: deploymentA().with(2.3), kind: 1, p50: 0.95},
		{name: "uneven costs, A, 4 times", scenario: deploymentA().with(4)},
		{name: "uneven costs, B, 4 times", scenario: deploymentB().with(4)},
		{name: "uneven costs within a route", scenario: deploymentA().with(1.3, mixed), kind: 0, p50: 0.95},
		{name: "pauses, 2.3 times", scenario: deploymentA().with(2.3, pauses)},
		{name: "uneven pace", scenario: deploymentB().with(1, uneven)},
		{name: "uneven pace, 4 times", scenario: deploymentB().with(4, uneven)},
		{name: "uneven pace, reported, 4 times", scenario: deploymentB().with(4, uneven, reports), kind: 0, p50: 0.95, p95: 0.99},
		{name: "reports, 2.3 times", scenario: deploymentA().with(2.3, reports)},
		{name: "a searcher misreports", scenario: deploymentA().with(2.3, lying)},
		{name: "sudden change", scenario: deploymentA().with(1, slowFor8s(8, func(i int) bool { return i%9 == 0 }))},
		{name: "slow shards", scenario: deploymentA().with(1, slowFor8s(6, func(i int) bool { return i < 6 })), inTime: 0.01},
		{name: "all alike", scenario: deploymentA().with(1.5, alike)},
		{name: "all alike, 3 times", scenario: deploymentA().with(3, alike)},
		{name: "all alike, reports, 3 times", scenario: deploymentA().with(3, alike, reports)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			previous, present := repeat(c.scenario, newPrevious), repeat(c.scenario, newPresent)
			for i, k := range c.scenario.kinds {
				old, now := &previous[i], &present[i]
				t.Logf("%-7s previous: %v", k.name, old)
				t.Logf("%-7s present:  %v", k.name, now)
				require.Equal(t, old.requests, now.requests, "the requests are the same")
				require.Greater(t, now.share(), old.share()-0.01)
				require.Greater(t, now.worth(), old.worth()-0.01)
				require.Less(t, now.percentile(.95).Seconds(), 1.05*old.percentile(.95).Seconds()+1e-3)
				require.Less(t, now.percentile(.5).Seconds(), 1.15*old.percentile(.5).Seconds()+1e-3)
				if i == 0 { // its replies are the largest
					require.Less(t, now.farShare(), old.farShare()+0.02, "bytes between failure domains")
				}
			}
			old, now := &previous[c.kind], &present[c.kind]
			if c.p50 > 0 {
				require.Less(t, now.percentile(.5).Seconds(), c.p50*old.percentile(.5).Seconds())
			}
			if c.p95 > 0 {
				require.Less(t, now.percentile(.95).Seconds(), c.p95*old.percentile(.95).Seconds())
			}
			if c.inTime > 0 {
				require.Greater(t, now.share(), old.share()+c.inTime)
			}
		})
	}
}

// repeat simulates a scenario with several seeds and returns the sums by kind.
func repeat(sc simScenario, newEstimator func() estimator) []simResult {
	total := make([]simResult, len(sc.kinds))
	for seed := range uint64(*simSeeds) {
		for i, r := range simulate(sc, seed+1, newEstimator) {
			total[i].add(&r)
		}
	}
	return total
}

// farShare returns the share of the attempts that go to another failure domain.
func (r *simResult) farShare() float64 { return float64(r.far) / float64(max(r.attempts, 1)) }

func (r *simResult) add(o *simResult) {
	r.requests += o.requests
	r.inTime += o.inTime
	r.failed += o.failed
	r.shed += o.shed
	r.value += o.value
	r.took = append(r.took, o.took...)
	r.attempts += o.attempts
	r.extra += o.extra
	r.far += o.far
	if r.bySearcher == nil {
		r.bySearcher = map[Identity]int{}
	}
	for id, n := range o.bySearcher {
		r.bySearcher[id] += n
	}
}
