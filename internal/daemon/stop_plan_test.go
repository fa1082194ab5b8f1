package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// briefStop makes a graceful stop end soon, whatever work is in progress.
func briefStop(s *settings.Settings) {
	s.BalancerLag, s.ShutdownTimeout = 300*time.Millisecond, 700*time.Millisecond
}

// slowSearcher works on each request until it is released or its caller leaves.
type slowSearcher struct {
	began   chan struct{} // holds an item once the first request has begun
	release chan struct{}

	mu   sync.Mutex
	runs []string // request IDs
}

func (s *slowSearcher) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.runs, id)
}

func (s *slowSearcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs = append(s.runs, id)
	s.mu.Unlock()
	select {
	case s.began <- struct{}{}:
	default:
	}
	select {
	case <-s.release:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig-"+id)
	_, _ = io.WriteString(w, recordOf("s1"))
}

// startSlowSearcher announces a slow searcher of the service s1.
func startSlowSearcher(t *testing.T, d *daemon.Daemon) *slowSearcher {
	t.Helper()
	s := &slowSearcher{began: make(chan struct{}, 1), release: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	require.NoError(t, d.Announce(t.Context(), targets.Announcement{
		Target: "t-s1", Incarnation: 1, Seq: 1, Address: ln.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "a",
		Labels: map[string]string{daemon.ServiceLabel: "s1"}, ConnectionLimit: 1, Phase: targets.Ready, Searchers: []targets.Searcher{{Name: "s", Slots: 1}},
	}))
	return s
}

// submitSlowPlan puts a plan in force that lets a host have one request at a time at a
// searcher of s1. Requests to /gathered/ use s1 as the only shard.
func submitSlowPlan(t *testing.T, d *daemon.Daemon) {
	t.Helper()
	const plan = `{"version":7,"routes":[
{"name":"order","hostname":"x.example","path_prefix":"/order/","route_type":"unsafe","timeout_ms":60000,"target_latency_ms":60000,"priority":1,"max_attempts":1,"service":"s1"},
{"name":"search","hostname":"x.example","path_prefix":"/gathered/","route_type":"safe","timeout_ms":60000,"target_latency_ms":60000,"priority":1,"max_attempts":1,"gather":["s1"],"top_k":1,"min_shard_ratio":1}],
"services":[{"name":"s1","health_check_path":"/health","max_connections":2}],"limits":{"idle_timeout_ms":60000}}`
	require.Eventually(t, func() bool {
		_, err := d.SubmitPlan(t.Context(), []byte(plan))
		return err == nil && d.Ready()
	}, waitTimeout, 10*time.Millisecond)
}

// exchange is a caller's request on a connection of its own.
type exchange struct {
	id   string
	conn net.Conn
	done chan struct{} // closed when the fields below are set
	resp *http.Response
	body string
	err  error
}

// begin sends the first part of a request, and reads its answer in the background.
func begin(t *testing.T, d *daemon.Daemon, id, path, body string, length int) *exchange {
	t.Helper()
	conn, err := net.Dial("tcp", d.Address("caller").String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	x := &exchange{id: id, conn: conn, done: make(chan struct{})}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 50000\r\nContent-Length: %d\r\n\r\n%s", path, id, length, body)
	require.NoError(t, err)
	go func() {
		defer close(x.done)
		if x.resp, x.err = http.ReadResponse(bufio.NewReader(conn), nil); x.err != nil {
			return
		}
		var data []byte
		data, x.err = io.ReadAll(x.resp.Body)
		x.body = string(data)
	}()
	return x
}

// requireStatus checks that a request got a complete answer.
func (x *exchange) requireStatus(t *testing.T, want int) {
	t.Helper()
	select {
	case <-x.done:
	case <-time.After(waitTimeout):
		t.Fatalf("request %s has no answer", x.id)
	}
	require.NoError(t, x.err, "request %s ended without a complete answer", x.id)
	require.Equal(t, want, x.resp.StatusCode, "request %s: %s", x.id, x.body)
	require.True(t, x.resp.Close, "the caller must not use the connection again")
	if want == http.StatusServiceUnavailable {
		require.NotEmpty(t, x.resp.Header.Get("Retry-After"))
	}
}

// awaitServed waits until a host has a connection to the searcher, which takes at least
// the given time for the first request.
func (s *slowSearcher) awaitServed(t *testing.T, d *daemon.Daemon, work time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		x := begin(t, d, "probe", "/order/1", "body", 4)
		select {
		case <-x.done:
			return false
		case <-s.began:
			time.Sleep(work)
			s.release <- struct{}{}
			<-x.done
			return x.err == nil && x.resp.StatusCode == http.StatusOK
		}
	}, waitTimeout, 10*time.Millisecond)
}

// awaitRun waits until the searcher works on a request.
func (s *slowSearcher) awaitRun(t *testing.T, id string) {
	t.Helper()
	require.Eventually(t, func() bool { return s.ran(id) }, waitTimeout, time.Millisecond)
}

// Guards against requests that a planned stop cuts off without an answer: one at work
// at a searcher, ones that wait at this host, and ones of which it has read a part. Only
// those that no searcher got may be called "not run".
func TestStopAnswersEveryRequest(t *testing.T) {
	for name, signals := range map[string]int{"one signal": 1, "two signals": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newPlanHost(t, "h", briefStop)
			stop := start(t, h)
			submitSlowPlan(t, h)
			s := startSlowSearcher(t, h)
			s.awaitServed(t, h, 0)
			working := begin(t, h, "working", "/order/1", "body", 4)
			s.awaitRun(t, "working")
			queued := begin(t, h, "queued", "/order/1", "body", 4)
			gathered := begin(t, h, "gathered", "/gathered/1", "body", 4)
			half := begin(t, h, "half", "/order/1", "bo", 4)
			completed := begin(t, h, "completed", "/order/1", "bo", 4)
			require.Eventually(t, func() bool { return h.InFlight() == 5 }, waitTimeout, time.Millisecond)
			for range signals {
				h.Stop()
			}
			require.Eventually(t, func() bool { return h.Phase() > lifecycle.LameDuck }, waitTimeout, time.Millisecond)
			_, _ = io.WriteString(completed.conn, "dy")

			working.requireStatus(t, http.StatusBadGateway)
			for _, x := range []*exchange{queued, gathered, half, completed} {
				x.requireStatus(t, http.StatusServiceUnavailable)
				require.False(t, s.ran(x.id), "%s is called not run", x.id)
			}
			stop()
			require.Equal(t, []string{"probe", "working"}, s.runs)
		})
	}
}

// Guards against an answer that comes during a stop, as late as its end, and is not
// delivered.
func TestStopDeliversAnswersThatAreReady(t *testing.T) {
	t.Parallel()
	h := newPlanHost(t, "h", briefStop)
	stop := start(t, h)
	submitSlowPlan(t, h)
	s := startSlowSearcher(t, h)
	s.awaitServed(t, h, 0)
	x := begin(t, h, "q", "/order/1", "body", 4)
	s.awaitRun(t, "q")
	h.Stop()
	require.Eventually(t, func() bool { return h.Phase() == lifecycle.Refusing }, waitTimeout, time.Millisecond)
	close(s.release)
	x.requireStatus(t, http.StatusOK)
	require.Equal(t, "sig-q", x.resp.Header.Get("X-Response-Signature"))
	require.Equal(t, recordOf("s1"), x.body)
	stop()
}

// Guards against a request that is passed on during a stop though it can't be answered
// before the end, when the caller could still go to another host.
func TestStopBeginsNoWorkThatItWouldCutOff(t *testing.T) {
	t.Parallel()
	h := newPlanHost(t, "h", func(s *settings.Settings) {
		s.BalancerLag, s.ShutdownTimeout = 600*time.Millisecond, 100*time.Millisecond
	})
	stop := start(t, h)
	submitSlowPlan(t, h)
	s := startSlowSearcher(t, h)
	s.awaitServed(t, h, time.Second)
	h.Stop()
	x := begin(t, h, "late", "/order/1", "body", 4)
	x.requireStatus(t, http.StatusServiceUnavailable)
	stop()
	require.False(t, s.ran("late"))
}

// Guards against requests that one host has handed over to another and that the stop of
// either cuts off.
func TestStopAnswersRequestsThatWereHandedOver(t *testing.T) {
	for name, stopped := range map[string]string{"host that asked": "h", "gatherer": "g"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newPlanHost(t, "g", briefStop)
			stopGatherer := start(t, g)
			submitSlowPlan(t, g)
			s := startSlowSearcher(t, g)
			s.awaitServed(t, g, 0)
			h := newPlanHost(t, "h", briefStop)
			stopSender := h.RunHandingOver("g", g.Address("peer"), "s1")
			t.Cleanup(stopSender)
			submitSlowPlan(t, h)
			working := begin(t, h, "working", "/order/1", "body", 4)
			s.awaitRun(t, "working")
			queued := begin(t, h, "queued", "/gathered/1", "body", 4)
			require.Eventually(t, func() bool { return g.InFlight() == 2 }, waitTimeout, time.Millisecond)
			if stopped == "h" {
				stopSender()
				working.requireStatus(t, http.StatusBadGateway)
				queued.requireStatus(t, http.StatusBadGateway)
			} else {
				stopGatherer()
				for x, want := range map[*exchange]int{working: http.StatusBadGateway, queued: http.StatusServiceUnavailable} {
					<-x.done
					require.NoError(t, x.err, "request %s ended without a complete answer", x.id)
					require.Equal(t, want, x.resp.StatusCode, x.body)
				}
				require.False(t, s.ran("queued"))
			}
			require.Equal(t, 1, strings.Count(strings.Join(s.runs, " "), "working"))
		})
	}
}
