package forward

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGather measures the decisions of one gathered request, without
// network I/O.
func BenchmarkGather(b *testing.B) {
	for _, shards := range []int{20, 90, 480} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			env, _ := newTestEnvironment(0, 0)
			var services []string
			for i := range shards {
				name := fmt.Sprintf("s%d", i)
				g := NewGroup(name, BudgetLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second})
				g.Replace(start, []SearcherSpec{{Identity: identity(name, i%250, 0), Capacity: 4}, {Identity: identity(name, i%250, 1), Capacity: 4}})
				env.groups[name] = g
				services = append(services, name)
			}
			route := gatherRoute(services, 0.9)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				run := NewRun(env, route, services, now, now.Add(time.Second))
				for _, a := range sends(run.Start(now)) {
					env.end(now, a, Good)
					run.Ended(now, a, Good)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}
