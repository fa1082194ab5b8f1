package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heartbeat is the interval of the targets' announcements.
const heartbeat = 400 * time.Millisecond

// hostProcess is a host, whose process can be stopped and restarted.
type hostProcess struct {
	name, ip string
	dir      string // settings, data and log
	ports    map[string]int
	disk     bool

	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{}
	faultUntil time.Time // when the last fault other than a planned stop ends
	faults     []span
}

// span is a time with a fault.
type span struct{ from, until time.Time }

func (s span) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && s.until.After(from)
}

func (h *hostProcess) address(listener string) string {
	return fmt.Sprintf("%s:%d", h.ip, h.ports[listener])
}

// cluster is a system of host processes with its targets.
type cluster struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	binary     string
	hosts      []*hostProcess
	targets    []*target
	shards     []string
	runLog     *runLog
	nextTarget int
	failures   chan string

	planMu  sync.Mutex
	version int // highest sent
	acked   int // highest acknowledged

	planAcks    []planAck    // guarded by planMu
	withdrawals []withdrawal // used by one goroutine at a time
	outages     []span       // in which no host with a disk ran, and thus no leader
}

// fail records a failed check. Only the first failures of a seed are kept.
func (cl *cluster) fail(format string, args ...any) {
	select {
	case cl.failures <- fmt.Sprintf(format, args...):
	default:
	}
}

// startCluster starts hosts on loopback addresses of their own. The first three
// have a disk.
func startCluster(t *testing.T, binary string, seed uint64, hosts int) *cluster {
	cl := &cluster{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), binary: binary,
		runLog: &runLog{runs: map[string]int{}}, failures: make(chan string, 20),
	}
	net := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+seed%200)
	ports := freePorts(t, net+".1", 6)
	base := ports[5]%20000 + 30000 // three consecutive ports for traffic between hosts
	for i := range hosts {
		h := &hostProcess{name: fmt.Sprintf("h%d", i), ip: fmt.Sprintf("%s.%d", net, i+1), dir: t.TempDir(), disk: i < 3}
		h.ports = map[string]int{"front": ports[0], "ready": ports[1], "control": ports[2], "peer": base}
		cl.hosts = append(cl.hosts, h)
	}
	for i, h := range cl.hosts {
		cl.writeSettings(h, i, true)
		cl.start(h)
		t.Cleanup(func() { cl.end(h, syscall.SIGKILL) })
	}
	for i := range 5 {
		cl.shards = append(cl.shards, fmt.Sprintf("s%d", i))
	}
	for _, s := range append([]string{"single"}, cl.shards...) {
		for _, zone := range zones {
			cl.targets = append(cl.targets, cl.startTarget(t, s, zone))
		}
	}
	return cl
}

// writeSettings writes the settings of a host, as the platform does.
func (cl *cluster) writeSettings(h *hostProcess, i int, bootstrap bool) {
	var seeds []string
	for _, s := range cl.hosts[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", s.address("control")))
	}
	data := ""
	if h.disk {
		data = fmt.Sprintf("data_dir = %q", filepath.Join(h.dir, "data"))
	}
	text := fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
region = "r"
internal_port_range = [%d,%d]
seed_nodes = [%s]
bootstrap = %t
heartbeat_interval_ms = %d
%s
[bind_addresses]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 1.0
link_mbps = 1000.0
[fault_tolerance]
machines = 1
[bounds]
grace_period_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 60
strict_revocation = true
revoke_ms = %d
quota_window_s = %g
quota_overage = %g
quota_slack = %g
[zones]
%s = "r"
%s = "r"
`, h.name, h.ip, zones[i%len(zones)], h.ports["peer"], h.ports["peer"]+3, strings.Join(seeds, ","), bootstrap,
		heartbeat.Milliseconds(), data, h.address("front"), h.address("ready"), h.address("control"),
		revocationBound.Milliseconds(), quotaWindow.Seconds(), quotaOverage, quotaSlack, zones[0], zones[1])
	require.NoError(cl.t, os.WriteFile(filepath.Join(h.dir, "boot.toml"), []byte(text), 0o600))
}

func (cl *cluster) start(h *hostProcess) {
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(cl.t, err)
	cmd := exec.Command(cl.binary)
	cmd.Env = []string{"HAWTHORNLOCK_SETTINGS=" + filepath.Join(h.dir, "boot.toml")}
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(cl.t, cmd.Start())
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// end sends a signal to the process of a host and waits until it has ended. After
// stopTimeout it kills the process.
func (cl *cluster) end(h *hostProcess, sig syscall.Signal) {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	_ = cmd.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		if sig == syscall.SIGTERM {
			cl.fail("%s did not stop within its grace period", h.name)
		}
		_ = cmd.Process.Kill()
		<-ended
	}
}

// stopTimeout is the time that the platform leaves between SIGTERM and SIGKILL.
const stopTimeout = 6 * time.Second

func (h *hostProcess) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig)
}

func (h *hostProcess) recordFault(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, span{time.Now(), until})
	if until.After(h.faultUntil) {
		h.faultUntil = until
	}
}

func (h *hostProcess) faultySince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faultUntil.After(t)
}
