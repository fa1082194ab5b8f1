// Package soak runs hosts as separate processes, harms them from outside and
// checks what callers, targets and the operator see. It holds tests only.
//
//	go test ./internal/soak -run TestSoak -soak.first 1 -soak.seeds 50 -soak.seconds 20
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seeds     = flag.Uint64("soak.seeds", 1, "number of seeds")
	seconds   = flag.Int("soak.seconds", 6, "length of the faults of a seed in seconds")
	hostCount = flag.Int("soak.hosts", 5, "number of hosts, of which three have a disk")
)

// regressions are seeds that failed once, each with its cause.
var regressions = map[uint64]string{}

// recovery is how long after the last fault requests must be served again.
const recovery = 15 * time.Second

func TestSoak(t *testing.T) {
	binary := build(t)
	run := func(seed uint64) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, binary, seed) })
	}
	for seed := range regressions {
		run(seed)
	}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		run(seed)
	}
}

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "hawthornlockd")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/hawthornlockd").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func soak(t *testing.T, binary string, seed uint64) {
	w := startWorld(t, binary, seed, *hostCount)
	t.Cleanup(func() {
		if t.Failed() {
			w.keepLogs()
		}
	})
	w.version = 1
	require.True(t, w.putPlan(1, 0, recovery), "the first configuration was not acknowledged")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var served atomic.Int64
	var work sync.WaitGroup
	var clients []*client
	for i := range 6 {
		c := &client{w: w, number: i, served: &served, refused: map[string]bool{}}
		clients = append(clients, c)
		work.Go(func() { c.run(ctx) })
	}
	require.Eventually(t, func() bool { return served.Load() > 20 }, recovery, 20*time.Millisecond, "nothing is served before the first fault")
	work.Go(func() { w.operate(ctx) })
	w.harm(time.Duration(*seconds) * time.Second)
	before := served.Load()
	require.Eventually(t, func() bool { return served.Load() > before+100 }, recovery, 20*time.Millisecond, "requests are not served again after the last fault")
	w.converge(t)
	cancel()
	work.Wait()
	w.checkOrders(clients)
	close(w.failures)
	for f := range w.failures {
		t.Error(f)
	}
	t.Logf("%d requests served, version %d acknowledged", served.Load(), w.acked)
}

// operate changes the configuration again and again, at times twice at once,
// and reads it back at any host.
func (w *world) operate(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		w.planMu.Lock()
		w.version += 1 + step%2
		version := w.version
		w.planMu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { w.putPlan(version, step, time.Second) })
		if step%3 == 0 {
			both.Go(func() { w.putPlan(max(version-1, 1), step+1, time.Second) })
		}
		w.readPlan(w.hosts[step%len(w.hosts)])
		both.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(150 * time.Millisecond):
		}
	}
}

// harm injects faults in series that overlap, and undoes them all.
func (w *world) harm(length time.Duration) {
	var open sync.WaitGroup
	var lost sync.Mutex // one host with a disk may be lost at a time
	for end := time.Now().Add(length); time.Now().Before(end); {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		x := w.targets[w.rng.IntN(len(w.targets))]
		span := time.Duration(200+w.rng.IntN(1500)) * time.Millisecond
		switch w.rng.IntN(9) {
		case 0:
			open.Go(func() { w.once(&lost, h, func() { w.restart(h, syscall.SIGKILL, span, false) }) })
		case 1:
			open.Go(func() { w.once(&lost, h, func() { w.restart(h, syscall.SIGTERM, span, false) }) })
		case 2:
			open.Go(func() { w.once(&lost, h, func() { w.pause(h, span) }) })
		case 3:
			open.Go(func() { w.once(&lost, h, func() { w.restart(h, syscall.SIGKILL, span, h.disk) }) })
		case 4:
			open.Go(func() { w.killAll(&lost) })
		case 5:
			h.signal(syscall.SIGHUP)
		case 6:
			w.replaceTarget(w.rng.IntN(len(w.targets)))
		default:
			f := []fault{{delay: 60 * time.Millisecond}, {refuse: true}, {silent: true}, {oneWay: true}, {resetIn: 5}}[w.rng.IntN(5)]
			open.Go(func() {
				x.proxy.set(f)
				time.Sleep(span)
				x.proxy.set(fault{})
			})
		}
		time.Sleep(time.Duration(100+w.rng.IntN(700)) * time.Millisecond)
	}
	open.Wait()
}

// catchUp is how long a host counts as lost after it is back.
const catchUp = 4 * time.Second

// once runs a fault of a host unless another one with a disk is lost.
func (w *world) once(lost *sync.Mutex, h *hostProcess, f func()) {
	if !lost.TryLock() {
		return
	}
	defer lost.Unlock()
	f()
	if h.disk {
		time.Sleep(catchUp)
	}
}

// restart ends a host and starts it again after a while, if wiped with an empty
// disk.
func (w *world) restart(h *hostProcess, sig syscall.Signal, span time.Duration, wiped bool) {
	if sig == syscall.SIGKILL {
		h.noteHarm(time.Now().Add(span + time.Second))
	}
	w.end(h, sig)
	time.Sleep(span)
	if wiped {
		if err := os.RemoveAll(filepath.Join(h.dir, "data")); err != nil {
			w.fail("wipe %s: %v", h.name, err)
		}
	}
	for i, x := range w.hosts {
		if x == h {
			w.writeSettings(h, i, false)
		}
	}
	w.start(h)
}

func (w *world) pause(h *hostProcess, span time.Duration) {
	h.noteHarm(time.Now().Add(span + time.Second))
	h.signal(syscall.SIGSTOP)
	time.Sleep(span)
	h.signal(syscall.SIGCONT)
}

// killAll ends all processes at the same moment; their disks are kept.
func (w *world) killAll(lost *sync.Mutex) {
	if !lost.TryLock() {
		return
	}
	defer lost.Unlock()
	for _, h := range w.hosts {
		h.noteHarm(time.Now().Add(2 * time.Second))
		h.signal(syscall.SIGKILL)
	}
	for _, h := range w.hosts {
		w.restart(h, syscall.SIGKILL, 0, false)
	}
	time.Sleep(catchUp)
}

// replaceTarget ends a target without a word and starts another in its place.
func (w *world) replaceTarget(i int) {
	old := w.targets[i]
	old.kill()
	w.targets[i] = w.startTarget(w.t, old.service)
}

// converge checks that every host returns and obeys the newest configuration
// once the faults are over.
func (w *world) converge(t *testing.T) {
	w.planMu.Lock()
	w.version += 5
	version := w.version
	w.planMu.Unlock()
	require.True(t, w.putPlan(version, 0, recovery), "no configuration is acknowledged after the last fault")
	for _, h := range w.hosts {
		require.Eventually(t, func() bool { return w.readPlan(h) >= version }, recovery, 50*time.Millisecond, "%s does not return the newest configuration", h.name)
	}
}

// checkOrders checks that no order ran twice, and none that was refused as not
// run.
func (w *world) checkOrders(clients []*client) {
	for _, c := range clients {
		for sent := 1; sent <= c.sent; sent++ {
			if sent%3 != 2 {
				continue
			}
			id := fmt.Sprintf("c%d-%d-%d", w.seed, c.number, sent)
			runs := w.ledger.count(id, "single")
			if runs > 1 {
				w.fail("order %s ran %d times", id, runs)
			}
			if runs > 0 && c.refused[id] {
				w.fail("order %s ran, though it was refused as not run", id)
			}
		}
	}
}

// keepLogs copies the logs of a failed seed to a folder that outlives the test.
func (w *world) keepLogs() {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", w.seed))
	if err != nil {
		w.t.Log(err)
		return
	}
	for _, h := range w.hosts {
		if data, err := os.ReadFile(filepath.Join(h.dir, "log")); err == nil {
			_ = os.WriteFile(filepath.Join(dir, h.name+".log"), data, 0o600)
		}
	}
	w.t.Logf("logs are kept in %s", dir)
}
