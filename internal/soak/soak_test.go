// Package soak runs hosts as separate processes, injects faults from outside and
// checks what callers, targets and the operator see. It contains only tests.
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

// regressions maps seeds that once failed to the cause of the failure.
var regressions = map[uint64]string{}

// recoveryTimeout is how soon after the last fault requests must be served
// again.
const recoveryTimeout = 15 * time.Second

// Guards against lost acknowledged configurations, orders that run twice or
// after a refusal, wrong answers and hosts that don't recover, while processes,
// disks and connections to targets fail at random.
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
	cl := startCluster(t, binary, seed, *hostCount)
	t.Cleanup(func() {
		if t.Failed() {
			cl.saveLogs()
		}
	})
	cl.version = 1
	require.True(t, cl.putPlan(1, 0, recoveryTimeout), "the first configuration was not acknowledged")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var served atomic.Int64
	var work sync.WaitGroup
	var clients []*client
	for i, account := range []string{mainAccount, mainAccount, mainAccount, mainAccount, mainAccount, mainAccount, "", limitedAccount, limitedAccount, unknownAccount, rotatedAccount, rotatedAccount} {
		c := &client{cluster: cl, number: i, served: &served, refused: map[string]bool{}, account: account, requests: map[string]*request{}}
		clients = append(clients, c)
		work.Go(func() { c.run(ctx) })
	}
	require.Eventually(t, func() bool { return served.Load() > 20 }, recoveryTimeout, 20*time.Millisecond, "too few requests were served before the first fault")
	work.Go(func() { cl.changePlans(ctx) })
	operatorCtx, stopOperator := context.WithCancel(ctx)
	defer stopOperator()
	var operator sync.WaitGroup
	operator.Go(func() { cl.changeDomains(operatorCtx) })
	cl.injectFaults(time.Duration(*seconds) * time.Second)
	stopOperator()
	operator.Wait()
	before := served.Load()
	require.Eventually(t, func() bool { return served.Load() > before+100 }, recoveryTimeout, 20*time.Millisecond, "too few requests were served after the last fault")
	cl.checkConvergence(t)
	cl.awaitWithdrawal()
	cancel()
	work.Wait()
	cl.checkOrders(clients)
	cl.checkArrivals(clients)
	close(cl.failures)
	for f := range cl.failures {
		t.Error(f)
	}
	t.Logf("%d requests served, version %d acknowledged", served.Load(), cl.acked)
}

// changePlans pushes new configurations, some of them two at a time, and reads
// the configuration back from each host in turn.
func (cl *cluster) changePlans(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		cl.planMu.Lock()
		cl.version += 1 + step%2
		version := cl.version
		cl.planMu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { cl.putPlan(version, step, time.Second) })
		if step%3 == 0 {
			wg.Go(func() { cl.putPlan(max(version-1, 1), step+1, time.Second) })
		}
		cl.readPlan(cl.hosts[step%len(cl.hosts)])
		wg.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(150 * time.Millisecond):
		}
	}
}

// injectFaults injects overlapping faults for a time and ends all of them before
// it returns.
func (cl *cluster) injectFaults(length time.Duration) {
	var faults sync.WaitGroup
	var faultMu sync.Mutex // held during a fault of hosts, as only one host with a disk may be lost at a time
	for end := time.Now().Add(length); time.Now().Before(end); {
		h := cl.hosts[cl.rng.IntN(len(cl.hosts))]
		tgt := cl.targets[cl.rng.IntN(len(cl.targets))]
		duration := time.Duration(200+cl.rng.IntN(1500)) * time.Millisecond
		switch cl.rng.IntN(11) {
		case 0:
			faults.Go(func() { cl.withFault(&faultMu, h, func() { cl.restart(h, syscall.SIGKILL, duration, false) }) })
		case 1:
			faults.Go(func() { cl.withFault(&faultMu, h, func() { cl.restart(h, syscall.SIGTERM, duration, false) }) })
		case 2:
			faults.Go(func() { cl.withFault(&faultMu, h, func() { cl.pause(h, duration) }) })
		case 3:
			faults.Go(func() { cl.withFault(&faultMu, h, func() { cl.restart(h, syscall.SIGKILL, duration, h.disk) }) })
		case 4:
			faults.Go(func() { cl.killAll(&faultMu) })
		case 5:
			h.signal(syscall.SIGHUP)
		case 6:
			cl.replaceTarget(cl.rng.IntN(len(cl.targets)))
		case 7:
			faults.Go(func() { cl.withFault(&faultMu, h, func() { cl.pause(h, longPause) }) })
		case 8:
			faults.Go(func() { cl.withFault(&faultMu, cl.hosts[0], cl.pauseStore) })
		default:
			f := []fault{{delay: 60 * time.Millisecond}, {refuse: true}, {silent: true}, {oneWay: true}, {resetIn: 5}}[cl.rng.IntN(5)]
			faults.Go(func() {
				tgt.proxy.setFault(f)
				time.Sleep(duration)
				tgt.proxy.setFault(fault{})
			})
		}
		time.Sleep(time.Duration(100+cl.rng.IntN(700)) * time.Millisecond)
	}
	faults.Wait()
}

// catchUpTime is how long a host still counts as lost after its restart.
const catchUpTime = 4 * time.Second

// withFault runs a fault of a host unless another fault holds faultMu. After a
// fault of a host with a disk it holds faultMu for another catchUpTime.
func (cl *cluster) withFault(faultMu *sync.Mutex, h *hostProcess, f func()) {
	if !faultMu.TryLock() {
		return
	}
	defer faultMu.Unlock()
	f()
	if h.disk {
		time.Sleep(catchUpTime)
	}
}

// restart stops a host and starts it again after duration, with an empty disk if
// wiped is true.
func (cl *cluster) restart(h *hostProcess, sig syscall.Signal, duration time.Duration, wiped bool) {
	if sig == syscall.SIGKILL {
		h.recordFault(time.Now().Add(duration + time.Second))
	}
	cl.end(h, sig)
	time.Sleep(duration)
	if wiped {
		if err := os.RemoveAll(filepath.Join(h.dir, "data")); err != nil {
			cl.fail("wipe %s: %v", h.name, err)
		}
	}
	for i, other := range cl.hosts {
		if other == h {
			cl.writeSettings(h, i, false)
		}
	}
	cl.start(h)
}

func (cl *cluster) pause(h *hostProcess, duration time.Duration) {
	h.recordFault(time.Now().Add(duration + time.Second))
	h.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	h.signal(syscall.SIGCONT)
}

// pauseStore pauses all hosts with a disk for longer than the bound on revocations,
// so that the others are cut off.
func (cl *cluster) pauseStore() {
	started := time.Now()
	var pauses sync.WaitGroup
	for _, h := range cl.hosts {
		if h.disk {
			pauses.Go(func() { cl.pause(h, longPause) })
		}
	}
	time.Sleep(longPause - 100*time.Millisecond)
	cl.outages = append(cl.outages, span{started.Add(200 * time.Millisecond), time.Now()})
	pauses.Wait()
}

// killAll kills all processes at once and restarts them with their disks.
func (cl *cluster) killAll(faultMu *sync.Mutex) {
	if !faultMu.TryLock() {
		return
	}
	defer faultMu.Unlock()
	for _, h := range cl.hosts {
		h.recordFault(time.Now().Add(2 * time.Second))
		h.signal(syscall.SIGKILL)
	}
	for _, h := range cl.hosts {
		cl.restart(h, syscall.SIGKILL, 0, false)
	}
	time.Sleep(catchUpTime)
}

// replaceTarget kills a target without notice and starts another one in its
// place.
func (cl *cluster) replaceTarget(i int) {
	old := cl.targets[i]
	old.kill()
	cl.targets[i] = cl.startTarget(cl.t, old.service, old.zone)
}

// checkConvergence checks that every host returns the newest configuration after
// the last fault.
func (cl *cluster) checkConvergence(t *testing.T) {
	cl.planMu.Lock()
	cl.version += 5
	version := cl.version
	cl.planMu.Unlock()
	require.True(t, cl.putPlan(version, 0, recoveryTimeout), "no configuration was acknowledged after the last fault")
	for _, h := range cl.hosts {
		require.Eventually(t, func() bool { return cl.readPlan(h) >= version }, recoveryTimeout, 50*time.Millisecond, "%s does not return the newest configuration", h.name)
	}
}

// checkOrders checks that no order ran twice, and that no order ran that was
// refused as not run.
func (cl *cluster) checkOrders(clients []*client) {
	for _, c := range clients {
		for id, r := range c.requests {
			if r.kind != "order" {
				continue
			}
			runs := cl.runLog.count(id, "single")
			if runs > 1 {
				cl.fail("order %s ran %d times", id, runs)
			}
			if runs > 0 && c.refused[id] {
				cl.fail("order %s ran, though it was refused as not run", id)
			}
		}
	}
}

// saveLogs copies the logs of a failed seed to a folder that is not deleted
// after the test.
func (cl *cluster) saveLogs() {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", cl.seed))
	if err != nil {
		cl.t.Log(err)
		return
	}
	for _, h := range cl.hosts {
		if data, err := os.ReadFile(filepath.Join(h.dir, "log")); err == nil {
			_ = os.WriteFile(filepath.Join(dir, h.name+".log"), data, 0o600)
		}
	}
	cl.t.Logf("logs are kept in %s", dir)
}
