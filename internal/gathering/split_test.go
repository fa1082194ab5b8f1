package gathering

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// holdersOf places copies of each shard in consecutive failure domains.
func holdersOf(shards, copies, domains int) (holders []Domains, names []string) {
	for d := range domains {
		names = append(names, fmt.Sprint("fd", d))
	}
	for i := range shards {
		var h Domains
		for k := range copies {
			h |= 1 << ((i + k) % domains)
		}
		holders = append(holders, h)
	}
	return holders, names
}

func localShare(holders []Domains, names []string, parts []Part) float64 {
	local := 0
	for _, p := range parts {
		for _, i := range p.Shards {
			if holders[i].Has(slices.Index(names, p.Domain)) {
				local++
			}
		}
	}
	return float64(local) / float64(len(holders))
}

// Guards against replies of shards that cross failure domains although the domains
// together hold every shard, and against one gatherer that does most of the work: 180
// or 270 shards with three copies each over six failure domains, and 90 over four.
func TestSplitKeepsRepliesInTheirDomain(t *testing.T) {
	for _, c := range []struct{ shards, copies, domains, parts int }{{180, 3, 6, 3}, {270, 3, 6, 5}, {90, 3, 4, 2}, {135, 3, 3, 3}, {90, 1, 2, 2}} {
		holders, names := holdersOf(c.shards, c.copies, c.domains)
		load := map[string]int{}
		for _, parts := range Splits(holders, names) {
			require.Len(t, parts, c.parts)
			require.Equal(t, 1.0, localShare(holders, names, parts))
			for _, p := range parts {
				load[p.Domain] += len(p.Shards)
				require.LessOrEqual(t, len(p.Shards), c.shards/c.parts+c.shards/10)
			}
		}
		require.Len(t, load, c.domains)
		for domain, n := range load {
			require.InDelta(t, c.shards, n, 0.35*float64(c.shards), "%s over all ways, of which each is used as often", domain)
		}
	}
}

// Guards against a gather that is divided although it is small or there is nobody to
// divide it among.
func TestSmallGathersAreNotSplit(t *testing.T) {
	holders, names := holdersOf(60, 2, 4)
	require.Nil(t, Splits(holders, names))
	holders, names = holdersOf(61, 2, 4)
	require.NotNil(t, Splits(holders, names))
	require.Nil(t, Splits(holders, names[:1]))
	require.Nil(t, Splits(holders, nil))
	require.Nil(t, Splits(nil, names))
}

// Guards against a shard that is in no part or in two, whatever domains hold it: an
// answer would lack it or hold two of its replies.
func TestEveryShardIsInOnePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b", "c", "d", "e", "f", "g"}[:rapid.IntRange(1, 7).Draw(t, "domains")]
		holders := make([]Domains, rapid.IntRange(1, 500).Draw(t, "shards"))
		for i := range holders {
			holders[i] = Domains(rapid.Uint64Range(0, 1<<len(domains)-1).Draw(t, "holders"))
		}
		for _, parts := range Splits(holders, domains) {
			seen := make([]int, len(holders))
			for _, p := range parts {
				require.Contains(t, domains, p.Domain)
				require.NotEmpty(t, p.Shards)
				require.IsIncreasing(t, append([]int{-1}, p.Shards...))
				for _, i := range p.Shards {
					seen[i]++
				}
			}
			for i, n := range seen {
				require.Equal(t, 1, n, "shard %d", i)
			}
		}
	})
}
