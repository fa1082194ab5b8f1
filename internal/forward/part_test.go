package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a divided gather that is refused although few enough shards are down,
// because they are in one part, against one that is sent although too many are down, and
// against parts that together lack too many shards in answers before the end.
func TestPartAllowance(t *testing.T) {
	down := func(shards ...int) []bool {
		out := make([]bool, 10)
		for _, i := range shards {
			out[i] = true
		}
		return out
	}
	first, second := []int{0, 1, 2, 3, 4}, []int{5, 6, 7, 8, 9}
	for _, c := range []struct {
		down []bool
		part []int
		max  int
		want Allowance
	}{
		{down(), first, 0, Allowance{0, 0}},
		{down(), first, 4, Allowance{2, 4}},
		{down(5, 6, 7), first, 3, Allowance{0, 0}},
		{down(5, 6, 7), second, 3, Allowance{3, 3}},
		{down(5, 6, 7), first, 5, Allowance{1, 2}},
		{down(5, 6, 7), second, 5, Allowance{4, 5}},
		{down(0, 1, 2, 3, 4), first, 6, Allowance{5, 5}},
	} {
		got, ok := PartAllowance(c.down, c.part, c.max)
		require.True(t, ok)
		require.Equal(t, c.want, got, "%v of %v", c.down, c.part)
	}
	_, ok := PartAllowance(down(0, 9), first, 1)
	require.False(t, ok)

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "shards")
		unanswerable := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "down")
		maxMissing := rapid.IntRange(0, n).Draw(t, "max")
		parts := make([][]int, rapid.IntRange(1, 6).Draw(t, "parts"))
		for i := range n {
			k := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
			parts[k] = append(parts[k], i)
		}
		early := 0
		for _, p := range parts {
			a, ok := PartAllowance(unanswerable, p, maxMissing)
			if !ok {
				return
			}
			early += a.Early
			require.LessOrEqual(t, a.Early, a.Settled)
			require.LessOrEqual(t, a.Settled, len(p))
		}
		require.LessOrEqual(t, early, maxMissing)
	})
}

// Guards against a part that ends at the cutoff with more than its share of the missing
// shards, and against one that fails after it although the other parts may lack none.
func TestPartAnswersEarlyOnlyWithinItsShare(t *testing.T) {
	env, services := newTestEnvironment(10, 1)
	run := NewRun(env, gatherRoute(services, 0.5), services, start, start.Add(time.Second))
	run.AllowMissing(Allowance{Early: 1, Settled: 3})
	attempts := sends(run.Start(start))
	require.Len(t, attempts, 10)
	now := start.Add(20 * time.Millisecond)
	for _, a := range attempts[3:] {
		env.end(now, a, Good)
		require.Empty(t, run.Ended(now, a, Good))
	}
	cutoff := start.Add(93 * time.Millisecond)
	require.Empty(t, run.Tick(cutoff), "three are late, and it may lack one")
	var effects []Effect
	for _, a := range attempts[:3] {
		env.end(cutoff, a, Lost)
		effects = run.Ended(cutoff, a, Lost)
	}
	finish := effects[len(effects)-1].(Finish)
	require.Nil(t, finish.Outcome.Err)
	require.Equal(t, 3, finish.Outcome.Missing)
}
