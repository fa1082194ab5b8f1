// Package intaketest starts hosts as separate processes with a small memory limit and
// lets clients that respect no limit connect to them. It contains only tests.
package intaketest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// memoryLimitMB is the memory limit in the settings of the processes, the least that
	// the settings accept. It bounds the resident memory at its peak together with the
	// bytes that wait in the kernel's receive queues.
	memoryLimitMB = 64
	// descriptorBound bounds the open descriptors of a process. It is less than the
	// connections that the clients of TestIdleConnections open.
	descriptorBound = 350
	// answerTimeout is how long an ordinary caller repeats its request. It only ends
	// the test of a process that has stopped answering.
	answerTimeout = 30 * time.Second
	sampleEvery   = 20 * time.Millisecond
)

// Limits of the route plan in the tests, those of the target deployments.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 262144
)

// binaryDir is set once the daemon is being built.
var binaryDir atomic.Pointer[string]

// binary is the daemon under test, built once.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "intaketest")
	if err != nil {
		return "", err
	}
	binaryDir.Store(&dir)
	path := filepath.Join(dir, "hawthornlockd")
	out, err := exec.Command("go", "build", "-o", path, "../../../cmd/hawthornlockd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	platforms.close()
	products.close()
	if dir := binaryDir.Load(); dir != nil {
		_ = os.RemoveAll(*dir)
	}
	os.Exit(code)
}

// process is a running daemon. Methods fail the test that uses it.
type process struct {
	t         *testing.T // nil until a test takes it
	dir       string
	stop      []func()
	cmd       *exec.Cmd
	ended     chan struct{}
	log       string
	addresses map[string]string // by listener
	ordinary  map[string]func() (*http.Request, int)
}

// start runs the daemon, with a limit on its descriptors unless that is 0.
func start(dir string, env, args []string, addresses map[string]string, maxDescriptors int) (*process, error) {
	path, err := binary()
	if err != nil {
		return nil, err
	}
	p := &process{dir: dir, addresses: addresses, ended: make(chan struct{}), log: filepath.Join(dir, "log")}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(path, args...)
	if maxDescriptors > 0 {
		p.cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors), path}, args...)...)
	}
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = env, log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	p.stop = append(p.stop, func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p, nil
}

func (p *process) end() {
	for _, f := range p.stop {
		f()
	}
	_ = os.RemoveAll(p.dir)
}

// supply starts processes of one kind ahead of their tests. A process takes seconds to
// elect itself and to take work, and is idle meanwhile.
type supply struct {
	start func() (*process, error)
	once  sync.Once
	ready chan started
	done  chan struct{}
	wg    sync.WaitGroup
}

type started struct {
	process *process
	err     error
}

// startedAhead is the number of processes of a kind that start at once.
const startedAhead = 4

var (
	platforms = &supply{start: startPlatformProcess, ready: make(chan started), done: make(chan struct{})}
	products  = &supply{start: startProductProcess, ready: make(chan started), done: make(chan struct{})}
)

// begin starts processes.
func (s *supply) begin() {
	s.once.Do(func() {
		for range startedAhead {
			s.wg.Go(s.keepStarting)
		}
	})
}

// take returns a process for one test, which ends it.
func (s *supply) take(t *testing.T) *process {
	s.begin()
	got := <-s.ready
	require.NoError(t, got.err)
	got.process.belongsTo(t)
	return got.process
}

// belongsTo makes the process fail the test, and end with it.
func (p *process) belongsTo(t *testing.T) {
	p.t = t
	t.Cleanup(func() {
		if t.Failed() {
			text, _ := os.ReadFile(p.log)
			t.Logf("end of the log:\n%s", text[max(0, len(text)-4000):])
		}
		p.end()
	})
}

func (s *supply) keepStarting() {
	for {
		p, err := s.start()
		// Another program may have taken a port after it was found to be free.
		for again := 0; err != nil && again < 2; again++ {
			if p != nil {
				p.end()
			}
			p, err = s.start()
		}
		select {
		case s.ready <- started{p, err}:
		case <-s.done:
			if p != nil {
				p.end()
			}
			return
		}
	}
}

func (s *supply) close() {
	close(s.done)
	s.wg.Wait()
}

// startPlatform returns a platform process. The first call also starts the product's
// processes, whose tests come last and would otherwise wait for them.
func startPlatform(t *testing.T) *process {
	products.begin()
	return platforms.take(t)
}

func startProduct(t *testing.T) *process { return products.take(t) }

// startPlatformProcess starts a host with a platform settings file, a route plan and a
// stand-in target.
func startPlatformProcess() (*process, error) { return startPlatformWith(0) }

// startPlatformWith is startPlatformProcess with a limit on the descriptors of the process.
func startPlatformWith(maxDescriptors int) (*process, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	base := freeRange()
	dir, err := os.MkdirTemp("", "intaketest")
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{"peer": fmt.Sprintf("127.0.0.1:%d", base), "admin": fmt.Sprintf("127.0.0.1:%d", base+1)}
	for i, name := range []string{"front", "ready", "control"} {
		addresses[name] = fmt.Sprintf("127.0.0.1:%d", ports[i])
	}
	text := fmt.Sprintf(`node_name = "h0"
ip = "127.0.0.1"
zone = "z0"
region = "r"
internal_port_range = [%d,%d]
seed_nodes = [%q]
bootstrap = true
heartbeat_interval_ms = 400
data_dir = %q
[bind_addresses]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 1.0
link_mbps = 1000.0
memory_mb = %d
[fault_tolerance]
machines = 1
[bounds]
grace_period_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 60
`, base, base+2, addresses["control"], filepath.Join(dir, "data"), addresses["front"], addresses["ready"], addresses["control"], memoryLimitMB)
	path := filepath.Join(dir, "boot.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := start(dir, []string{"HAWTHORNLOCK_SETTINGS=" + path}, nil, addresses, maxDescriptors)
	if err != nil {
		return nil, err
	}
	p.ordinary = map[string]func() (*http.Request, int){
		"front": func() (*http.Request, int) { return request(http.MethodGet, addresses["front"], "/one/x", ""), 200 },
		"control": func() (*http.Request, int) {
			return request(http.MethodGet, addresses["control"], "/hawthornlock/config", ""), 200
		},
		"admin": func() (*http.Request, int) { return request(http.MethodGet, addresses["admin"], "/healthz", ""), 200 },
		// An ordinary caller's answer is larger than what is free of the memory for replies.
		"answers": func() (*http.Request, int) {
			return request(http.MethodGet, addresses["front"], answerPath(64<<10), ""), 200
		},
	}
	p.ordinary["peer"] = p.ordinary["front"]
	plan := fmt.Sprintf(`{"version":1,"routes":[{"name":"one","hostname":"intake.example","path_prefix":"/one/","route_type":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":1,"max_attempts":2,"service":"single"}],`+
		`"services":[{"name":"single","health_check_path":"/health","max_connections":40}],"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, maxHeaderBytes, maxBodyBytes)
	if err := p.answers(func() (*http.Request, int) {
		return request(http.MethodPut, addresses["control"], "/hawthornlock/config", plan), 200
	}); err != nil {
		return p, err
	}
	p.announceTarget()
	return p, p.answers(p.ordinary["front"])
}

// answerPrefix begins the paths whose last part is the size of the target's answer.
const answerPrefix = "/one/answer/"

var answerPiece = make([]byte, 64<<10)

func answerPath(size int) string { return answerPrefix + strconv.Itoa(size) }

// announceTarget starts a target, which answers with its own signature and the number of
// bytes of the body, and announces it until the test ends.
func (p *process) announceTarget() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expected-Instance") != "i-1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		n, err := bufio.NewReader(r.Body).Discard(maxBodyBytes + 1)
		if err == nil {
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "i-1."+r.Header.Get("X-Request-Id"))
		if size, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, answerPrefix)); err == nil {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			for sent := 0; sent < size; sent += len(answerPiece) {
				_, _ = w.Write(answerPiece[:min(len(answerPiece), size-sent)])
			}
			return
		}
		fmt.Fprintf(w, "%d", n)
	}))
	born := time.Now().UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			body := fmt.Sprintf(`{"service":"single","address":%q,"zone":"z0","concurrency":16,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
				server.Listener.Addr(), sequence, born)
			_, _ = do(request(http.MethodPut, p.addresses["control"], "/hawthornlock/instances/i-1", body))
			select {
			case <-ctx.Done():
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	p.stop = append(p.stop, func() {
		cancel()
		done.Wait()
		server.CloseClientConnections()
		server.Close()
	})
}

// startProductProcess starts a host without a platform settings file.
func startProductProcess() (*process, error) {
	addresses := map[string]string{}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "intaketest")
	if err != nil {
		return nil, err
	}
	for i, name := range []string{"caller", "target", "admin", "peer"} {
		addresses[name] = fmt.Sprintf("127.0.0.1:%d", ports[i])
	}
	p, err := start(dir, []string{}, []string{
		"-host", "a", "-failure-domain", "fd1", "-roles", "entry,voter", "-data-dir", filepath.Join(dir, "data"),
		"-voters", "a=" + addresses["peer"], "-memory-limit", strconv.Itoa(memoryLimitMB << 20),
		"-caller-listen", addresses["caller"], "-target-listen", addresses["target"], "-admin-listen", addresses["admin"], "-peer-listen", addresses["peer"],
	}, addresses, 0)
	if err != nil {
		return nil, err
	}
	// No group is configured, so the ordinary requests of callers and targets are read
	// and decoded whole, and then get definite answers that say what is wrong.
	p.ordinary = map[string]func() (*http.Request, int){
		"caller": func() (*http.Request, int) {
			return request(http.MethodPost, addresses["caller"], "/v1/query", `{"team":"t","group":"none","terms":"x","k":1}`), 404
		},
		"target": func() (*http.Request, int) {
			return request(http.MethodPost, addresses["target"], "/v1/announce", `{}`), 400
		},
		"admin": func() (*http.Request, int) { return request(http.MethodGet, addresses["admin"], "/healthz", ""), 200 },
	}
	return p, p.answers(p.ordinary["caller"])
}

func request(method, address, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "intake.example"
	return r
}

// do sends a request on a connection of its own and returns the status.
func do(r *http.Request) (int, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// answers repeats a request until it gets the expected status.
func (p *process) answers(make func() (*http.Request, int)) error {
	var status int
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("the process has ended: %s", p.cmd.ProcessState)
		default:
		}
		r, want := make()
		if status, err = do(r); err == nil && status == want {
			return nil
		}
	}
	return fmt.Errorf("an ordinary request was not answered: last status %d, error %w", status, err)
}

// usage is what a process was seen to use, in bytes and descriptors.
type usage struct {
	resident    int64 // at its peak
	withQueues  int64 // greatest sample of the resident memory and the receive queues together
	descriptors int
}

// watch samples the usage of a process until stop is called.
func (p *process) watch() (stop func() usage) {
	done := make(chan struct{})
	var u usage
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			u.withQueues = max(u.withQueues, p.status("VmRSS")+p.queued())
			fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			u.descriptors = max(u.descriptors, len(fds))
			select {
			case <-done:
				return
			case <-time.After(sampleEvery):
			}
		}
	})
	return func() usage {
		close(done)
		wg.Wait()
		u.resident = p.status("VmHWM")
		return u
	}
}

// status returns a field of the status file of the process in bytes.
func (p *process) status(field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// queued returns the bytes that have arrived for the listeners of the process and that
// it has not read.
func (p *process) queued() int64 {
	received, _ := p.queues()
	return received
}

// queues returns the bytes that have arrived for the listeners of the process and that
// it has not read, and those that clients have written and the kernel has not delivered.
func (p *process) queues() (received, sent int64) {
	own := map[string]bool{}
	for _, a := range p.addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		own[fmt.Sprintf("0100007F:%04X", n)] = true
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		const established = "01"
		if len(f) < 5 || f[3] != established {
			continue
		}
		out, in, _ := strings.Cut(f[4], ":")
		if n, err := strconv.ParseInt(in, 16, 64); err == nil && own[f[1]] {
			received += n
		}
		if n, err := strconv.ParseInt(out, 16, 64); err == nil && own[f[2]] {
			sent += n
		}
	}
	return received, sent
}

// settle waits until the process has read what the clients have sent, or reads no more.
func (p *process) settle() {
	for last, same := int64(-1), 0; same < 10; {
		received, sent := p.queues()
		if received+sent == last {
			same++
		} else {
			last, same = received+sent, 0
		}
		time.Sleep(sampleEvery)
	}
}

func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

const rangeSize = 3 // ports for traffic between hosts

// nextRange is the offset of the next range of ports to try.
var nextRange = atomic.Int64{}

// freeRange returns the first of consecutive free ports. They are below those that the
// kernel gives to connections, and no range is returned twice.
func freeRange() int {
	for {
		offset := (int64(os.Getpid())*37 + nextRange.Add(1)) % 3000
		first := 20000 + rangeSize*int(offset)
		if free(first, rangeSize) {
			return first
		}
	}
}

// free reports whether n consecutive ports are free.
func free(first, n int) bool {
	for port := first; port < first+n; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}
