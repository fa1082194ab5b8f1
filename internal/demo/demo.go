// Package demo runs one host and several stand-in targets in one process,
// sends real queries over HTTP and compares every answer with a full scan of
// the records.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/standin"
)

// Sizes of the demo. Every shard except the last has replicas at two targets. The
// last shard has one replica, so that the demo can show a missing shard.
const (
	shardCount   = 24
	targetCount  = 8
	queryCount   = 200
	startTimeout = 20 * time.Second
)

// Run runs the demo and writes its results to out. It returns an error if an
// answer is wrong or missing.
func Run(ctx context.Context, out, logs io.Writer) error {
	dir, err := os.MkdirTemp("", "hawthornlock-demo-")
	if err != nil {
		return errors.Wrap(err, "create the data directory")
	}
	defer os.RemoveAll(dir)
	d, err := startHost(dir, logs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	set, err := newTargetSet(ctx, d)
	if err != nil {
		return err
	}
	defer set.close()
	s := &script{out: out, caller: newCaller(d.Address("caller").String()), data: set.data}
	return s.run(ctx, d, set)
}

func startHost(dir string, logs io.Writer) (*daemon.Daemon, error) {
	s, err := settings.Parse([]string{
		"-host", "demo", "-failure-domain", "fd1", "-roles", "entry,voter", "-data-dir", dir,
		"-voters", "demo=127.0.0.1:7404", "-balancer-lag", "0s", "-seed", "1",
	}, logs)
	if err != nil {
		return nil, err
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen = free, free, free, free
	listeners, err := daemon.Listen(s)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(s, listeners, eventlog.New(logs, zerolog.ErrorLevel, s.Host))
	if err != nil {
		listeners.Close()
	}
	return d, err
}

// targetSet is the set of stand-in targets and the dataset that they search.
type targetSet struct {
	data    *standin.Dataset
	targets []*standin.Target
}

func newTargetSet(ctx context.Context, d *daemon.Daemon) (*targetSet, error) {
	set := &targetSet{data: standin.NewDataset("names-", shardCount)}
	for i := range targetCount {
		t, err := standin.Start(set.config(i))
		if err != nil {
			set.close()
			return nil, err
		}
		set.targets = append(set.targets, t)
		go standin.NewAnnouncer(t, []string{d.Address("target").String()}).Run(ctx)
	}
	return set, nil
}

func (set *targetSet) config(i int) standin.Config {
	return standin.Config{
		Name: fmt.Sprintf("names-%d", i), FailureDomain: fmt.Sprintf("fd%d", i%4), Labels: map[string]string{"app": "names"},
		ConnectionLimit: 30, ConnectionSetup: 6 * time.Millisecond, QueueLength: 64,
		Searchers: []standin.Searcher{
			{Name: "s0", Slots: 2, Holds: map[string][]string{"names-1": set.holds(2 * i)}},
			{Name: "s1", Slots: 2, Holds: map[string][]string{"names-1": set.holds(2*i + 1)}},
		},
		Snapshots:   []standin.Snapshot{{Name: "names-1", Generation: 1, Data: set.data}},
		ServiceTime: 2 * time.Millisecond, StragglerShare: 0.01, StragglerFactor: 20, Seed: uint64(i),
	}
}

// holds returns the shards of the j-th searcher. Each shard except the last is
// held by two searchers of different targets, the last shard by the last
// searcher only.
func (set *targetSet) holds(j int) []string {
	const searchers = 2 * targetCount
	var out []string
	for i, shard := range set.data.Layout()[:shardCount-1] {
		if i%searchers == j || (i+searchers/2)%searchers == j {
			out = append(out, shard)
		}
	}
	if j == searchers-1 {
		out = append(out, set.lastShard())
	}
	return out
}

func (set *targetSet) lastShard() string { return set.data.Layout()[shardCount-1] }

func (set *targetSet) close() {
	for _, t := range set.targets {
		_ = t.Close()
	}
}

// pushConfiguration pushes a change with the group of the targets and a selector
// that lets the demo's team query the group.
func pushConfiguration(ctx context.Context, d *daemon.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	result, err := d.Propose(ctx, config.Change{
		ID: "demo-1", Author: "demo", Team: "demo", Note: "group and selector of the demo",
		Ops: []config.Op{
			config.PutGroup{Group: routing.Group{Name: "names", Team: "demo", Match: routing.Labels{"app": "names"}}},
			config.PutSelector{Selector: routing.Selector{Name: "demo-names", Owner: "demo", Team: "demo", Group: "names"}},
		},
	})
	if err != nil {
		return errors.Wrap(err, "push the configuration")
	}
	return result.Err()
}
