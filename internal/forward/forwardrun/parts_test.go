package forwardrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func gatherOf(shards, topK int, ratio float64) *routeplan.Gather {
	return &routeplan.Gather{Services: make([]string, shards), TopK: topK, MinRatio: ratio}
}

// Guards against a divided gather whose answer differs from that of the whole one:
// records that are lost or out of order, signatures of shards that are not in it, and a
// wrong number of missing shards.
func TestMergedPartsEqualTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 300).Draw(t, "shards")
		g := gatherOf(shards, rapid.IntRange(1, 30).Draw(t, "topK"), rapid.Float64Range(0, 1).Draw(t, "ratio"))
		var all [][]byte
		var results []PartResult
		var signatures []string
		missing := 0
		for left := shards; left > 0; {
			n := min(left, rapid.IntRange(1, 100).Draw(t, "part"))
			left -= n
			lacks := rapid.IntRange(0, min(n, g.MaxMissing()-missing)).Draw(t, "lacks")
			missing += lacks
			require.True(t, Enough(g, results))
			var own [][]byte
			answer := &Answer{Missing: lacks}
			for range n - lacks {
				body := []byte(record(string(rune('a'+rapid.IntRange(0, 25).Draw(t, "record")))) + record("m"))
				own, all = append(own, body), append(all, body)
				answer.Signatures = append(answer.Signatures, record("s"))
			}
			signatures = append(signatures, answer.Signatures...)
			answer.Body = forward.Merge(own, g.TopK)
			results = append(results, PartResult{Shards: n, Answer: answer})
		}
		got, err := MergeParts(g, results, 0)
		require.Nil(t, err)
		require.Equal(t, forward.Merge(all, g.TopK), got.Body)
		require.Equal(t, signatures, got.Signatures)
		require.Equal(t, missing, got.Missing)
	})
}

// Guards against a refusal that says "not run" although another part ran, against one
// without a retry hint, and against a deadline that is reported as something else.
func TestFailureOfAPart(t *testing.T) {
	good := PartResult{Shards: 50, Answer: &Answer{Signatures: []string{"s"}}}
	failed := func(v verdict.Verdict, code verdict.Code, retry time.Duration) PartResult {
		return PartResult{Shards: 50, Answer: &Answer{}, Err: verdict.New(v, code, "x").WithRetryAfter(retry)}
	}
	for name, c := range map[string]struct {
		ratio   float64
		results []PartResult
		pending int
		v       verdict.Verdict
		code    verdict.Code
		retry   time.Duration
	}{
		"all refused": {0.9, []PartResult{failed(verdict.NotRun, "overloaded", 2*time.Second), failed(verdict.NotRun, "overloaded", time.Second)}, 0, verdict.NotRun, "overloaded", 2 * time.Second},
		"one refused": {0.9, []PartResult{good, failed(verdict.NotRun, "overloaded", time.Second)}, 0, verdict.Ran, forward.CodeFewShards, 0},
		"one refused, one pending": {
			0.9, []PartResult{failed(verdict.NotRun, "overloaded", time.Second)}, 1, verdict.MayHaveRun, forward.CodeFewShards, 0,
		},
		"deadline": {0.9, []PartResult{failed(verdict.NotRun, "overloaded", 0), failed(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, 0)}, 0, verdict.MayHaveRun, verdict.CodeDeadlineExceeded, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gatherOf(100, 5, c.ratio)
			require.Equal(t, false, Enough(g, c.results))
			a, err := MergeParts(g, c.results, c.pending)
			require.Equal(t, c.v, err.Verdict)
			require.Equal(t, c.code, err.Code)
			require.Equal(t, c.retry, err.RetryAfter)
			require.Empty(t, a.Signatures)
			require.Empty(t, a.Body)
		})
	}
	refused := failed(verdict.NotRun, "overloaded", 0)
	require.True(t, NothingRan([]PartResult{refused, refused}), "worth waiting for the other parts")
	require.False(t, NothingRan([]PartResult{refused, good}))
	require.False(t, NothingRan([]PartResult{refused, failed(verdict.MayHaveRun, "lost", 0)}))
	a, err := MergeParts(gatherOf(100, 5, 0.5), []PartResult{good, failed(verdict.MayHaveRun, "lost", 0)}, 0)
	require.Nil(t, err, "enough shards are left")
	require.Equal(t, 50, a.Missing)
}
