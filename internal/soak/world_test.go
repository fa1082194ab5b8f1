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

// hostProcess is one host: a process that is started again after its end.
type hostProcess struct {
	name, ip string
	dir      string // settings, data and log
	ports    map[string]int
	disk     bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	harmed time.Time // end of the last fault other than a planned stop
}

func (h *hostProcess) address(listener string) string {
	return fmt.Sprintf("%s:%d", h.ip, h.ports[listener])
}

// world is a system of real processes with its targets.
type world struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	binary     string
	hosts      []*hostProcess
	targets    []*target
	shards     []string
	ledger     *ledger
	nextTarget int
	failures   chan string

	planMu  sync.Mutex
	version int // last sent
	acked   int // highest acknowledged
}

// fail notes a broken promise. The first ones of a seed are kept.
func (w *world) fail(format string, args ...any) {
	select {
	case w.failures <- fmt.Sprintf(format, args...):
	default:
	}
}

// startWorld starts hosts on loopback addresses of their own. The first three
// have a disk.
func startWorld(t *testing.T, binary string, seed uint64, hosts int) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), binary: binary,
		ledger: &ledger{runs: map[string]int{}}, failures: make(chan string, 20),
	}
	net := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+seed%200)
	ports := freePorts(t, net+".1", 6)
	base := ports[5]%20000 + 30000 // three consecutive ports for traffic between hosts
	for i := range hosts {
		h := &hostProcess{name: fmt.Sprintf("h%d", i), ip: fmt.Sprintf("%s.%d", net, i+1), dir: t.TempDir(), disk: i < 3}
		h.ports = map[string]int{"front": ports[0], "ready": ports[1], "control": ports[2], "peer": base}
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.hosts {
		w.writeSettings(h, i, true)
		w.start(h)
		t.Cleanup(func() { w.end(h, syscall.SIGKILL) })
	}
	for i := range 5 {
		w.shards = append(w.shards, fmt.Sprintf("s%d", i))
	}
	for _, s := range append([]string{"single"}, w.shards...) {
		for range 2 {
			w.targets = append(w.targets, w.startTarget(t, s))
		}
	}
	return w
}

// writeSettings writes the settings of a host, as the platform does.
func (w *world) writeSettings(h *hostProcess, i int, bootstrap bool) {
	var seeds []string
	for _, s := range w.hosts[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", s.address("control")))
	}
	data := ""
	if h.disk {
		data = fmt.Sprintf("data_dir = %q", filepath.Join(h.dir, "data"))
	}
	text := fmt.Sprintf(`node_name = %q
ip = %q
zone = "z%d"
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
`, h.name, h.ip, i%2, h.ports["peer"], h.ports["peer"]+3, strings.Join(seeds, ","), bootstrap,
		heartbeat.Milliseconds(), data, h.address("front"), h.address("ready"), h.address("control"))
	require.NoError(w.t, os.WriteFile(filepath.Join(h.dir, "boot.toml"), []byte(text), 0o600))
}

func (w *world) start(h *hostProcess) {
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	cmd := exec.Command(w.binary)
	cmd.Env = []string{"HAWTHORNLOCK_SETTINGS=" + filepath.Join(h.dir, "boot.toml")}
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(w.t, cmd.Start())
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

// end ends the process of a host by a signal and waits for it.
func (w *world) end(h *hostProcess, sig syscall.Signal) {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	_ = cmd.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(stopPatience):
		if sig == syscall.SIGTERM {
			w.fail("%s did not stop within its grace period", h.name)
		}
		_ = cmd.Process.Kill()
		<-ended
	}
}

// stopPatience is the platform's time between SIGTERM and SIGKILL.
const stopPatience = 6 * time.Second

func (h *hostProcess) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig)
}

func (h *hostProcess) noteHarm(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.harmed) {
		h.harmed = until
	}
}

func (h *hostProcess) harmedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.harmed.After(t)
}
