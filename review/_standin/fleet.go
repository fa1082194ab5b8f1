package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment tenjin-wp, as its settings file states them.
const (
	heartbeatInterval = 1200 * time.Millisecond
	contact           = 4 * time.Second
	configApply       = 3 * time.Second
	drainTime         = 3 * time.Second
	gracePeriod       = 6 * time.Second
	recovery          = 12 * time.Second
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) *record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannotRun("create record.txt: %v", err)
	}
	return &record{file: f, began: time.Now()}
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// host is one process of the system.
type host struct {
	name, zone, ip, dataDir string
	disk                    bool
	starts                  int
	cmd                     *exec.Cmd
	ended                   chan struct{} // closed when the process has ended
	log                     string        // path of its output
	seeds                   []string      // control addresses, if not those of the first three hosts
}

// fleet is the stand-in for the platform: it starts, stops and kills the hosts.
type fleet struct {
	rec     *record
	repo    string
	folder  string // temporary
	net     string // first three bytes of all addresses
	front   int    // ports
	ready   int
	control int
	peers   int // first of 16
	hosts   []*host

	searchers int // started so far
}

var zones = []string{"fukuoka", "kumamoto", "kagoshima", "oita"}

// newFleet prepares hosts with a disk and hosts without one, in four zones.
func newFleet(rec *record, disks, plain int) *fleet {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("create a temporary folder: %v", err)
	}
	f := &fleet{rec: rec, repo: repository(), folder: folder}
	f.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	for i := range disks + plain {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%4], 1+i/4), zone: zones[i%4], ip: fmt.Sprintf("%s.%d", f.net, 10+i), disk: i < disks}
		if h.disk {
			h.dataDir = filepath.Join(folder, "disk", h.name)
		}
		h.log = filepath.Join(folder, h.name+".log")
		f.hosts = append(f.hosts, h)
	}
	f.choosePorts()
	return f
}

func repository() string {
	dir, err := os.Getwd()
	if err != nil {
		cannotRun("find the repository: %v", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			cannotRun("not inside the repository")
		}
		dir = filepath.Dir(dir)
	}
}

// choosePorts finds ports that are free on the addresses of all hosts.
func (f *fleet) choosePorts() {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		if f.free(base, 20) {
			f.front, f.ready, f.control, f.peers = base, base+1, base+2, base+4
			return
		}
	}
	cannotRun("no free ports")
}

func (f *fleet) free(base, n int) bool {
	for _, h := range f.hosts {
		for p := base; p < base+n; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.ip, p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (f *fleet) frontOf(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, f.front) }
func (f *fleet) controlOf(h *host) string { return fmt.Sprintf("%s:%d", h.ip, f.control) }

// settings returns the platform's settings file of a host.
func (f *fleet) settings(h *host, bootstrap bool) string {
	var seeds []string
	for _, s := range f.hosts[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", f.controlOf(s)))
	}
	if h.seeds != nil {
		seeds = h.seeds
	}
	share := "0.4"
	if h.disk {
		share = "0.72"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = \"host\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\n", h.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = \"kyushu\"\ninternal_port_range = [%d,%d]\n", h.ip, h.zone, f.peers, f.peers+15)
	fmt.Fprintf(&b, "seed_nodes = [%s]\nbootstrap = %t\ncounts_as_loss = %t\ndata_dir = %q\n", strings.Join(seeds, ","), bootstrap, h.disk, h.dataDir)
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry_point = \"vip\"\nheartbeat_interval_ms = %d\n", heartbeatInterval.Milliseconds())
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\nconfig_mode = \"highest\"\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"kyushu\"\n", z)
	}
	fmt.Fprintf(&b, "[bind_addresses]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", h.ip, f.front, h.ip, f.ready, h.ip, f.control)
	fmt.Fprintf(&b, "[limits]\ncpu_share = %s\ncpu_cores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64\n", share)
	b.WriteString("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 4000\n")
	b.WriteString("ack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_period_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\n")
	b.WriteString("downgrade_slack_ms = 250\nmax_skew_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_extra = 64\nrecovery_s = 12\n")
	return b.String()
}

// start starts a host with the command of the deploy file.
func (f *fleet) start(h *host, bootstrap bool) {
	path := filepath.Join(f.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(h, bootstrap)), 0o644); err != nil {
		cannotRun("write settings: %v", err)
	}
	if h.disk {
		if err := os.MkdirAll(h.dataDir, 0o755); err != nil {
			cannotRun("create a data folder: %v", err)
		}
	}
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("open a log: %v", err)
	}
	h.cmd = exec.Command(filepath.Join(f.repo, "target", "hawthornlockd"))
	h.cmd.Dir = f.repo
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNLOCK_SETTINGS=" + path}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		cannotRun("start a host (was the build of the deploy file run?): %v", err)
	}
	h.starts++
	ended := make(chan struct{})
	h.ended = ended
	cmd := h.cmd
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		f.rec.line("process of %s ended: %v", h.name, err)
		close(ended)
	}()
	f.rec.line("started %s (start %d, bootstrap %t, disk %t)", h.name, h.starts, bootstrap, h.disk)
}

func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h, true)
	}
}

func (f *fleet) signal(h *host, sig syscall.Signal) {
	f.rec.line("%s to %s", sig, h.name)
	_ = h.cmd.Process.Signal(sig)
}

// stopAll ends all processes that were started, and removes the temporary folder.
func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// isReady asks a host as the platform does.
func (f *fleet) isReady(h *host) bool {
	resp, err := quick.Get(fmt.Sprintf("http://%s:%d/hawthornlock/readiness", h.ip, f.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for {
		n := 0
		for _, h := range f.hosts {
			if f.isReady(h) {
				n++
			}
		}
		if n == len(f.hosts) {
			f.rec.line("all %d hosts are ready", n)
			return
		}
		if time.Now().After(end) {
			f.stopAll()
			cannotRun("only %d of %d hosts became ready", n, len(f.hosts))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// quick is the client of the platform's and the operator's calls: a second without a
// response is a failure. Each call has a connection of its own.
var quick = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// putConfig sends a configuration to one host. It reports whether it was acknowledged.
func (f *fleet) putConfig(h *host, version int, body []byte) bool {
	r, _ := http.NewRequest(http.MethodPut, "http://"+f.controlOf(h)+"/hawthornlock/config", bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	resp, err := quick.Do(r)
	if err != nil {
		f.rec.line("operator: PUT version %d to %s: no answer (%v)", version, h.name, err)
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	f.rec.line("operator: PUT version %d to %s: %d", version, h.name, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// awaitConfig sends a configuration to one host after another until it is acknowledged.
func (f *fleet) awaitConfig(among []*host, version int, body []byte, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		if f.putConfig(among[i%len(among)], version, body) {
			return true
		}
		time.Sleep(150 * time.Millisecond)
	}
	return false
}

// readConfig asks one host for the configuration. The version is 0 without one.
func (f *fleet) readConfig(h *host) (status, version int) {
	resp, err := quick.Get("http://" + f.controlOf(h) + "/hawthornlock/config")
	if err != nil {
		f.rec.line("operator: GET at %s: no answer (%v)", h.name, err)
		return 0, 0
	}
	defer resp.Body.Close()
	var m struct {
		Version int `json:"version"`
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		_ = json.Unmarshal(body, &m)
	}
	f.rec.line("operator: GET at %s: %d, version %d", h.name, resp.StatusCode, m.Version)
	return resp.StatusCode, m.Version
}

// config returns a configuration with one route to one service.
func config(version, timeoutMS int, routeType, service string, maxConnections int) []byte {
	m := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-status", "hostname": siteHost, "path_prefix": sitePrefix, "route_type": routeType, "timeout_ms": timeoutMS,
			"target_latency_ms": 800, "priority": 2, "service": service, "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": service, "health_check_path": "/health", "max_connections": maxConnections, "protocol": "h1", "tls_enabled": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	b, err := json.Marshal(m)
	if err != nil {
		cannotRun("encode a configuration: %v", err)
	}
	return b
}

const (
	siteHost   = "pupu76.example"
	sitePrefix = "/timi402/"
)

// leader returns the host that logged last that it leads, and whether there is one.
// The operator's page of a host shows the same; it is used to choose whom to disturb,
// never to judge.
func (f *fleet) leader() (*host, bool) {
	var last *host
	var at string
	for _, h := range f.hosts {
		data, _ := os.ReadFile(h.log)
		for _, l := range strings.Split(string(data), "\n") {
			var m struct {
				Event int    `json:"event"`
				Role  string `json:"role"`
				Term  int    `json:"term"`
			}
			if !strings.Contains(l, `"role":"leader"`) || json.Unmarshal([]byte(l), &m) != nil {
				continue
			}
			if key := fmt.Sprintf("%09d", m.Term); key > at {
				at, last = key, h
			}
		}
	}
	return last, last != nil
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	os.Exit(2)
}
