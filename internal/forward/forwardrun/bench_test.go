package forwardrun

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// BenchmarkGather measures one gathered request over loopback sockets,
// including the test searchers.
func BenchmarkGather(b *testing.B) {
	const shards = 20
	specs := map[string][]forward.SearcherSpec{}
	var services []string
	for i := range shards {
		name := fmt.Sprintf("s%d", i)
		s := startSearcher(b, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, record(name))) })
		specs[name] = []forward.SearcherSpec{s.spec(name)}
		services = append(services, name)
	}
	e := New(Config{Wire: testWire{}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}})
	e.SetSearchers(specs)
	b.Cleanup(e.Close)
	route := &routeplan.Route{Name: "g", Idempotent: true, MaxAttempts: 2, Timeout: testTimeout, Objective: testTimeout, Gather: &routeplan.Gather{Services: services, TopK: 3, MinRatio: 1}}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now := time.Now()
		if _, err := e.Do(context.Background(), &Call{ID: fmt.Sprint(n), Method: http.MethodGet, URI: "/", Route: route, Arrived: now, Deadline: now.Add(testTimeout)}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
}

// BenchmarkGrant measures what a host that hands a gather of 180 shards over pays for the
// grant: while one is left, and afterwards.
func BenchmarkGrant(b *testing.B) {
	gather := &routeplan.Gather{}
	for i := range 180 {
		gather.Services = append(gather.Services, fmt.Sprintf("s%d", i))
	}
	c := &Call{Route: &routeplan.Route{Name: "r", Gather: gather}}
	for name, extra := range map[string]float64{"left": 1e12, "spent": 0} {
		b.Run(name, func(b *testing.B) {
			e := New(Config{Wire: testWire{}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: extra, Window: 10 * time.Second}})
			defer e.Close()
			for b.Loop() {
				e.Grant(c)
			}
		})
	}
}
