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

// Sizes of the demo. Every shard but the last has replicas at two targets, so
// a missing shard can be shown.
const (
	shardCount  = 24
	targetCount = 8
	queryCount  = 200
	startLimit  = 20 * time.Second
)

// Run runs the demo and writes what it sees to out. An error means that an
// answer was wrong or could not be had.
func Run(ctx context.Context, out, logs io.Writer) error {
	dir, err := os.MkdirTemp("", "hawthornlock-demo-")
	if err != nil {
		return errors.Wrap(err, "make the data directory")
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
	w, err := newWorld(ctx, d)
	if err != nil {
		return err
	}
	defer w.close()
	s := &script{out: out, caller: newCaller(d.Address("caller").String()), data: w.data}
	return s.run(ctx, d, w)
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

// world is the set of stand-in targets.
type world struct {
	data    *standin.Dataset
	targets []*standin.Target
}

func newWorld(ctx context.Context, d *daemon.Daemon) (*world, error) {
	w := &world{data: standin.NewDataset("names-", shardCount)}
	for i := range targetCount {
		t, err := standin.Start(w.config(i))
		if err != nil {
			w.close()
			return nil, err
		}
		w.targets = append(w.targets, t)
		go standin.NewAnnouncer(t, []string{d.Address("target").String()}).Run(ctx)
	}
	return w, nil
}

func (w *world) config(i int) standin.Config {
	return standin.Config{
		Name: fmt.Sprintf("names-%d", i), FailureDomain: fmt.Sprintf("fd%d", i%4), Labels: map[string]string{"app": "names"},
		ConnectionLimit: 30, ConnectionSetup: 6 * time.Millisecond, QueueLength: 64,
		Searchers: []standin.Searcher{
			{Name: "s0", Slots: 2, Holds: map[string][]string{"names-1": w.holds(2 * i)}},
			{Name: "s1", Slots: 2, Holds: map[string][]string{"names-1": w.holds(2*i + 1)}},
		},
		Snapshots:   []standin.Snapshot{{Name: "names-1", Generation: 1, Data: w.data}},
		ServiceTime: 2 * time.Millisecond, StragglerShare: 0.01, StragglerFactor: 20, Seed: uint64(i),
	}
}

// holds returns the shards of the j-th searcher: each shard but the last is
// held by two searchers of different targets, the last by the last one only.
func (w *world) holds(j int) []string {
	const searchers = 2 * targetCount
	var out []string
	for i, shard := range w.data.Layout()[:shardCount-1] {
		if i%searchers == j || (i+searchers/2)%searchers == j {
			out = append(out, shard)
		}
	}
	if j == searchers-1 {
		out = append(out, w.lastShard())
	}
	return out
}

func (w *world) lastShard() string { return w.data.Layout()[shardCount-1] }

func (w *world) close() {
	for _, t := range w.targets {
		_ = t.Close()
	}
}

// pushConfiguration makes the operators' change that lets the demo's team
// reach the group.
func pushConfiguration(ctx context.Context, d *daemon.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
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
