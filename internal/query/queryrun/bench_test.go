package queryrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// instantTransport answers at once.
type instantTransport struct{}

func (instantTransport) Search(_ context.Context, req query.SubRequest) query.Reply {
	return query.Reply{IndexSnapshot: req.IndexSnapshot, Shard: req.ShardName}
}

// BenchmarkDo measures a whole query with its goroutines and contexts.
func BenchmarkDo(b *testing.B) {
	for _, shards := range []int{12, 480} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFixture(catalog("s1", shards, "a", "b", "c"), nil, 0)
			f.driver.cfg.Transport = instantTransport{}
			group := query.NewGroup(query.DefaultPolicy(), query.DefaultBudgetLimits())
			chooser := query.NewRandomChooser(rand.New(rand.NewPCG(1, 2)))
			b.ReportAllocs()
			for b.Loop() {
				q := query.Query{RequestID: "q", Group: "g", Deadline: time.Now().Add(time.Second)}
				if _, err := f.driver.Do(b.Context(), q, group, chooser); err != nil {
					b.Fatal(err)
				}
			}
			f.driver.Wait()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub-request")
		})
	}
}
