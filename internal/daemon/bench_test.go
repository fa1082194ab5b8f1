package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/standin"
)

// awaitReady waits until all hosts are on the agreed member list and ready.
func awaitReady(b testing.TB, nodes []*node) {
	b.Helper()
	require.Eventually(b, func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool {
			s := n.loop.Snapshot()
			return !s.Ready || len(s.AgreedMembers.Hosts) != len(nodes)
		})
	}, waitTimeout, 20*time.Millisecond)
}

// BenchmarkChangeInForce measures on 12 hosts how long an operator waits for a
// change, and how long after that the last host has it in force.
func BenchmarkChangeInForce(b *testing.B) {
	const hosts = 12
	nodes := startCluster(b, hosts, 3)
	awaitReady(b, nodes)
	var accepted, inForce []time.Duration
	i := 0
	for b.Loop() {
		i++
		start := time.Now()
		result, err := nodes[hosts-1].Propose(context.Background(), groupChange(fmt.Sprintf("g%d", i), nodes[0].loop.Snapshot().Revision))
		require.NoError(b, err)
		require.NoError(b, result.Err())
		done := time.Now()
		accepted = append(accepted, done.Sub(start))
		for _, n := range nodes {
			for {
				s, replaced := n.loop.Watch()
				if s.Revision >= result.Revision {
					break
				}
				<-replaced
			}
		}
		inForce = append(inForce, time.Since(start))
	}
	report(b, "accepted", accepted)
	report(b, "in-force", inForce)
}

func report(b *testing.B, name string, d []time.Duration) {
	slices.Sort(d)
	b.ReportMetric(float64(d[len(d)/2].Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(d[len(d)-1].Microseconds())/1000, name+"-max-ms")
}

// BenchmarkIdleHosts measures the processor time and the messages of hosts
// without traffic, as the number of hosts grows. All hosts share one process.
func BenchmarkIdleHosts(b *testing.B) {
	if testing.Short() {
		b.Skip("takes a minute; part of make bench-scale")
	}
	for _, hosts := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			nodes := startCluster(b, hosts, 3)
			awaitReady(b, nodes)
			const period = 5 * time.Second
			sent := messages(nodes)
			cpu := processorTime(b)
			for b.Loop() {
				time.Sleep(period)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/seconds/float64(hosts), "%core/host")
			b.ReportMetric(float64(messages(nodes)-sent)/seconds/float64(hosts), "messages/s/host")
		})
	}
}

func messages(nodes []*node) int64 {
	var n int64
	for _, x := range nodes {
		n += x.links.Stats().Sent
	}
	return n
}

func processorTime(b testing.TB) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkQuery measures a whole query over sockets with 1 to 96 shards at
// targets that answer at once.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{1, 12, 96} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			d := startCluster(b, 1, 1)[0].Daemon
			startTargets(b, d, standin.NewDataset("v1-", shards), min(shards, 12))
			pushGroup(b, d)
			awaitTargets(b, d, min(shards, 12))
			body := `{"team":"names","terms":"nosuchname","k":1,"timeout_ms":5000}`
			require.Eventually(b, func() bool {
				status, a := post(b, d, body)
				return status == http.StatusOK && len(a.Coverage.Missing) == 0
			}, waitTimeout, 20*time.Millisecond)
			cpu := processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				post(b, d, body)
			}
			b.ReportMetric(float64((processorTime(b)-cpu).Nanoseconds())/float64(b.N)/float64(shards), "cpu-ns/sub-request")
		})
	}
}
