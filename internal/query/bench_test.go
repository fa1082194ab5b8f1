package query

import (
	"fmt"
	"testing"
)

// BenchmarkRun measures a whole query without the transport, per query and per
// sub-request.
func BenchmarkRun(b *testing.B) {
	for _, shards := range []int{12, 48, 480} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			catalog := catalogOf(snapshotOf("s1", 1, shards, 3))
			group := NewGroup(DefaultPolicy(), DefaultBudgetLimits())
			hits := []Hit{{ID: "a", Score: 3}, {ID: "b", Score: 2}, {ID: "c", Score: 1}}
			q := testQuery()
			b.ReportAllocs()
			for b.Loop() {
				r := NewRun(group.Policy(t0), q, catalog, firstChooser{}, group, t0)
				r.Start(t0)
				for i := range shards {
					r.Step(ms(5), ReplyArrived{Reply{Attempt: uint32(i + 1), IndexSnapshot: "s1", Shard: catalog.Snapshots[0].Layout[i], Hits: hits}})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub-request")
		})
	}
}
