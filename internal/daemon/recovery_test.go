package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/journal"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// BenchmarkRecovery measures the time from opening the data directory until the
// configuration is in force again, and the memory held then, after 300 and
// 76,000 changes. The host snapshots its log by its usual rule.
func BenchmarkRecovery(b *testing.B) {
	for _, changes := range []int{300, 76_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			n := startCluster(b, 1, 1)[0]
			leader(b, []*node{n})
			pushMany(b, n, changes)
			revision := n.loop.Snapshot().Revision
			n.crash()
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				j, core := recoverCore(b, n)
				b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "recovery-ms")
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "MB-held")
				// The commit index is not synced on its own, so the last entries may
				// wait for the next leader.
				require.Greater(b, core.Snapshot(time.Now()).Revision, revision*9/10)
				require.NoError(b, j.Close())
			}
		})
	}
}

// pushMany pushes changes of 100 groups, up to 64 at a time.
func pushMany(b *testing.B, n *node, changes int) {
	b.Helper()
	var group errgroup.Group
	group.SetLimit(64)
	for i := range changes {
		group.Go(func() error {
			g := routing.Group{Name: fmt.Sprintf("g%02d", i%100), Team: "names", Match: routing.Labels{"app": fmt.Sprint(i)}}
			c := config.Change{ID: fmt.Sprint("c", i), Author: "an", Team: "names", Note: "load", Base: n.loop.Snapshot().Revision, Ops: []config.Op{config.PutGroup{Group: g}}}
			_, err := n.Propose(context.Background(), c)
			return err
		})
	}
	require.NoError(b, group.Wait())
}

func recoverCore(b *testing.B, n *node) (*journal.Journal, *control.Core) {
	b.Helper()
	j, recovered, err := journal.Open(journal.Options{Dir: n.settings.DataDir, Log: eventlog.Nop(), Completed: func(journal.Completion) {}})
	require.NoError(b, err)
	self := consensus.Member{Identity: recovered.Identity, Name: n.settings.Host, Address: n.settings.PeerListen.String()}
	log, err := consensus.New(consensus.Options{Self: self, Initial: []consensus.Member{self}, Rand: rand.New(rand.NewPCG(1, 2))}, recovered.State)
	require.NoError(b, err)
	now := time.Now()
	core := control.NewCore(control.Options{Self: n.settings.Host, Member: n.member(), Node: log, Codec: controlcodec.Codec{}}, now)
	core.Start(now)
	return j, core
}
