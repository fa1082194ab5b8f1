package proposals

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Guards against a proposal that is resolved twice or never, and against the
// verdict NotRun for one that was committed.
func TestEveryProposalIsResolvedOnceWithATrueVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now := time.Unix(1000, 0)
		type position struct{ index, term uint64 }
		positions := map[uint64]position{}
		committed := map[uint64]uint64{} // term by index
		resolved := map[uint64]Outcome{}
		record := func(rs []Resolution) {
			for _, r := range rs {
				_, twice := resolved[r.Token]
				require.False(t, twice)
				resolved[r.Token] = r.Outcome
			}
		}
		next, index, applied := uint64(0), uint64(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				next++
				tr.Add(next, now.Add(time.Second))
				if rapid.Bool().Draw(t, "refused") {
					record(tr.Refused(next, verdict.New(verdict.NotRun, "not_leader", "not the leader")))
					return
				}
				index++
				positions[next] = position{index, rapid.Uint64Range(1, 3).Draw(t, "term")}
				tr.Appended(next, index, positions[next].term)
			},
			"apply": func(t *rapid.T) {
				if applied == index {
					return
				}
				applied++
				committed[applied] = rapid.Uint64Range(1, 3).Draw(t, "committed term")
				record(tr.Applied(applied, committed[applied], applied))
			},
			"snapshot": func(t *rapid.T) {
				to := rapid.Uint64Range(applied, index).Draw(t, "to")
				for i := applied + 1; i <= to; i++ {
					committed[i] = 2
				}
				applied = to
				record(tr.Restored(to))
			},
			"time": func(t *rapid.T) {
				now = now.Add(400 * time.Millisecond)
				record(tr.Expire(now))
			},
		})
		record(tr.Expire(now.Add(time.Hour)))
		require.Len(t, resolved, int(next))
		require.Zero(t, tr.Len())
		require.Empty(t, tr.byIndex)
		for token, o := range resolved {
			p, ok := positions[token]
			ran := ok && committed[p.index] == p.term
			if o.Err == nil {
				require.True(t, ran)
			} else if verdict.Of(o.Err) == verdict.NotRun {
				require.False(t, ran)
			}
		}
	})
}
