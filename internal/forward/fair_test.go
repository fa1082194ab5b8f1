package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against shares that admit another part of all requests than asked for, that cost
// an account which is within its weight more than the others, or that shut one out.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f FairShares
		sent := map[string]int{}
		weights := map[string]float64{}
		for i := range rapid.IntRange(2, 10).Draw(t, "accounts") {
			name := fmt.Sprint(i)
			weights[name] = rapid.Float64Range(1, 20).Draw(t, "weight")
			sent[name] = rapid.IntRange(1, 100).Draw(t, "sent")
			for range sent[name] {
				f.Record(queueStart, name, weights[name])
			}
		}
		share := rapid.Float64Range(0.1, 0.99).Draw(t, "share")
		total, admitted := 0.0, 0.0
		shares := map[string]float64{}
		for name, n := range sent {
			s := f.Share(queueStart, name, share)
			shares[name] = s
			require.GreaterOrEqual(t, s, share/4-1e-9)
			require.LessOrEqual(t, s, 1.0)
			total, admitted = total+float64(n), admitted+s*float64(n)
		}
		require.GreaterOrEqual(t, admitted, share*total-1e-6, "no account bears more than its part")
		for a := range sent {
			for b := range sent {
				if float64(sent[a])/weights[a] <= float64(sent[b])/weights[b] {
					require.GreaterOrEqual(t, shares[a], shares[b]-1e-9, "the account that sends less for its weight")
				}
			}
		}
	})
}

// Guards against one account at seven times its usual for 6 s whose requests cost the
// others their answers, as they do when all are admitted alike.
func TestSheddingFallsOnTheAccountThatSendsTooMuch(t *testing.T) {
	accounts := []loadAccount{{"large", 16, surge(10, 7, 2*time.Second, 8*time.Second)}}
	for i := range 9 {
		accounts = append(accounts, loadAccount{fmt.Sprint(i), 4, steady(2.5)})
	}
	const share = 0.5 // admitted meanwhile
	var f FairShares
	rng := rand.New(rand.NewPCG(1, 1))
	alike, fair := map[bool]int{}, map[bool]int{} // admitted, by whether the account is the large one
	sent := map[bool]int{}
	for _, r := range arrivals(rng, accounts, 8*time.Second, loadWork, loadObjective, loadDeadline) {
		now := queueStart.Add(r.at)
		f.Record(now, r.account, r.weight)
		if r.at < 3*time.Second {
			continue // the demand is not known yet
		}
		large, u := r.account == "large", rng.Float64()
		sent[large]++
		if u < share {
			alike[large]++
		}
		if u < f.Share(now, r.account, share) {
			fair[large]++
		}
	}
	of := func(m map[bool]int, large bool) float64 { return float64(m[large]) / float64(sent[large]) }
	t.Logf("others admitted %.3f alike, %.3f by fair shares; the large account %.3f and %.3f", of(alike, false), of(fair, false), of(alike, true), of(fair, true))
	require.Less(t, of(alike, false), 0.6)
	require.Greater(t, of(fair, false), 0.95)
	require.Greater(t, of(fair, true), share/4)
	require.InDelta(t, share, float64(fair[true]+fair[false])/float64(sent[true]+sent[false]), 0.1, "about as many as before are admitted")
}

// Guards against state that grows with the number of account names, and against demand
// that is remembered for long.
func TestFairSharesForget(t *testing.T) {
	var f FairShares
	now := queueStart
	for i := range 3 * maxDemandAccounts {
		now = now.Add(time.Millisecond)
		f.Record(now, fmt.Sprint(i), 0)
		require.LessOrEqual(t, len(f.accounts), maxDemandAccounts)
	}
	f = FairShares{}
	for range 100 {
		f.Record(queueStart, "before", 1)
	}
	f.Record(queueStart.Add(20*time.Second), "now", 1)
	f.Record(queueStart.Add(20*time.Second), "before", 1)
	require.InDelta(t, 0.5, f.Share(queueStart.Add(20*time.Second), "before", 0.5), 0.01)
}
