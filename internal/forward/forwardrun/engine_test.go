package forwardrun

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds how long a test waits for an event that must come. It does
// not measure speed.
const testTimeout = 20 * time.Second

// testWire is the protocol of the test searchers.
type testWire struct{}

func (testWire) AppendRequest(b []byte, c *Call, target string, _ time.Duration) []byte {
	return fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nTarget: %s\r\nContent-Length: %d\r\n\r\n%s", c.Method, c.URI, c.ID, target, len(c.Body), c.Body)
}

func (testWire) ParseHeader(_ int, h http.Header) ReplyMeta {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	return ReplyMeta{
		RequestID: h.Get("Id"), Signature: h.Get("Signature"), NotRun: h.Get("Not-Run") != "",
		Notice: forward.Notice{Leaving: h.Get("Leaving") != "", Pause: pause},
	}
}

// searcher answers each request with what its script writes. The script gets
// the number of the request, from 0.
type searcher struct {
	ln       net.Listener
	script   func(n int, id string, c net.Conn) (keep bool)
	mu       sync.Mutex
	requests int
	conns    []net.Conn
	workers  sync.WaitGroup
}

func startSearcher(t testing.TB, script func(n int, id string, c net.Conn) bool) *searcher {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &searcher{ln: ln, script: script}
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.workers.Add(1)
			go s.serve(c)
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.workers.Wait()
	})
	return s
}

func (s *searcher) serve(c net.Conn) {
	defer s.workers.Done()
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.mu.Lock()
		n := s.requests
		s.requests++
		s.mu.Unlock()
		if !s.script(n, r.Header.Get("Id"), c) {
			return
		}
	}
}

func (s *searcher) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *searcher) spec(name string) forward.SearcherSpec {
	return forward.SearcherSpec{Identity: forward.Identity{Target: name, Incarnation: 1, Address: s.ln.Addr().(*net.TCPAddr).AddrPort()}, Slots: 2, Capacity: 4}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func write(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

func newEngine(t *testing.T, specs map[string][]forward.SearcherSpec) *Engine {
	t.Helper()
	e := New(Config{Wire: testWire{}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}})
	e.SetSearchers(specs)
	t.Cleanup(e.Close)
	return e
}

func call(id string, idempotent bool) *Call {
	now := time.Now()
	return &Call{
		ID: id, Method: http.MethodPost, URI: "/x", Arrived: now, Deadline: now.Add(testTimeout),
		Route: &routeplan.Route{Name: "r", Idempotent: idempotent, MaxAttempts: 2, Timeout: testTimeout, Objective: testTimeout, Splits: []routeplan.Split{{Service: "a", Weight: 1}}},
	}
}

// faultyAnswer is what a searcher sends to a request, and whether and with which verdict
// it may be used.
type faultyAnswer struct {
	script func(id string, c net.Conn) bool
	ok     bool
	v      verdict.Verdict
}

// invalidStatus is an answer whose status is none, with a body that looks like a good
// answer.
func invalidStatus(status string) faultyAnswer {
	return faultyAnswer{func(id string, c net.Conn) bool {
		body := reply(id, "smuggled")
		return write(c, fmt.Sprintf("HTTP/1.1 %s X\r\nSignature: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body))
	}, false, verdict.MayHaveRun}
}

// Guards against using a reply that belongs to another request, is incomplete,
// or is not the searcher's: a request that is not idempotent must fail without
// the promise that it did not run, and the next request must get its own reply.
func TestFaultyAnswers(t *testing.T) {
	for name, c := range map[string]faultyAnswer{
		"whole":          {func(id string, c net.Conn) bool { return write(c, reply(id, "body")) }, true, 0},
		"extra behind":   {func(id string, c net.Conn) bool { return write(c, reply(id, "body")+reply(id, "other")) }, true, 0},
		"garbage behind": {func(id string, c net.Conn) bool { return write(c, reply(id, "body")+"rubbish") }, true, 0},
		"other before":   {func(id string, c net.Conn) bool { return write(c, reply("other", "stale")+reply(id, "body")) }, true, 0},
		"only another's": {func(id string, c net.Conn) bool { write(c, reply("other", "stale")); return false }, false, verdict.MayHaveRun},
		"unframed": {func(id string, c net.Conn) bool {
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSignature: s\r\n\r\nbody")
			return false
		}, true, 0},
		"cut short": {func(id string, c net.Conn) bool {
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbody")
			return false
		}, false, verdict.MayHaveRun},
		"no signature": {func(id string, c net.Conn) bool {
			return write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 4\r\n\r\nbody")
		}, false, verdict.MayHaveRun},
		"encoded": {func(id string, c net.Conn) bool {
			return write(c, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nId: "+id+"\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody")
		}, false, verdict.MayHaveRun},
		"rubbish": {func(_ string, c net.Conn) bool { return write(c, "rubbish\r\n\r\n") }, false, verdict.MayHaveRun},
		"closed":  {func(string, net.Conn) bool { return false }, false, verdict.MayHaveRun},
		"rejected": {func(id string, c net.Conn) bool {
			return write(c, "HTTP/1.1 503 Busy\r\nNot-Run: full\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}, false, verdict.NotRun},
		"another searcher": {func(id string, c net.Conn) bool {
			return write(c, "HTTP/1.1 421 Misdirected\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}, false, verdict.NotRun},
		"failure that ran": {func(id string, c net.Conn) bool {
			return write(c, "HTTP/1.1 500 Failed\r\nSignature: s\r\nId: "+id+"\r\nContent-Length: 4\r\n\r\nbody")
		}, false, verdict.Ran},
		"status 000":          invalidStatus("000"),
		"status 099":          invalidStatus("099"),
		"switch of protocols": invalidStatus("101"),
		"status 600":          invalidStatus("600"),
		"status 999":          invalidStatus("999"),
		"interim responses": {func(id string, c net.Conn) bool {
			return write(c, "HTTP/1.1 102 Processing\r\n\r\n"+reply(id, "body"))
		}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSearcher(t, func(n int, id string, conn net.Conn) bool {
				if id == "first" {
					return c.script(id, conn)
				}
				return write(conn, reply(id, "body"))
			})
			e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
			a, err := e.Do(context.Background(), call("first", false))
			if c.ok {
				require.Nil(t, err)
				require.Equal(t, "body", string(a.Reply.Body))
			} else {
				require.NotNil(t, err)
				require.Equal(t, c.v, err.Verdict)
			}
			if name == "another searcher" {
				return // nothing may be sent there again
			}
			require.Eventually(t, func() bool {
				a, err = e.Do(context.Background(), call("second", true))
				return err == nil
			}, testTimeout, time.Millisecond)
			require.Equal(t, "sig-second", a.Reply.Signature)
		})
	}
}

// Guards against a request that fails because a searcher closed its connection
// without an answer.
func TestIdempotentRequestSurvivesAClosedConnection(t *testing.T) {
	script := func(n int, id string, c net.Conn) bool {
		if strings.HasPrefix(id, "lost") {
			return false
		}
		return write(c, reply(id, "body"))
	}
	one, two := startSearcher(t, script), startSearcher(t, func(n int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {one.spec("one"), two.spec("two")}})
	for i := range 10 {
		a, err := e.Do(context.Background(), call(fmt.Sprintf("lost-%d", i), true))
		require.Nil(t, err)
		require.Equal(t, fmt.Sprintf("sig-lost-%d", i), a.Reply.Signature)
	}
}

// Guards against work for a caller that has left: the connection to the
// searcher must be closed.
func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	s := startSearcher(t, func(_ int, _ string, c net.Conn) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1)) // returns when the connection ends
		close(closed)
		return false
	})
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := e.Do(ctx, call("first", true))
	require.NotNil(t, err)
	require.Equal(t, CodeCallerGone, err.Code)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the searcher still works on the request")
	}
}

// Guards against an error that does not say "not run", or has no retry hint,
// when searchers refuse connections.
func TestUnreachableServiceIsRefusedAsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, ln.Close())
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {{Identity: forward.Identity{Target: "t", Address: address}, Slots: 1, Capacity: 1}}})
	_, failure := e.Do(context.Background(), call("first", false))
	require.NotNil(t, failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	require.Positive(t, failure.RetryAfter)
}

// Guards against more connections to a searcher than this host's share, and
// against a waiting request that is never notified.
func TestShareOfConnectionsIsNotExceeded(t *testing.T) {
	var mu sync.Mutex
	working, most := 0, 0
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool {
		mu.Lock()
		working++
		most = max(most, working)
		mu.Unlock()
		time.Sleep(time.Millisecond)
		mu.Lock()
		working--
		mu.Unlock()
		return write(c, reply(id, "body"))
	})
	o := s.spec("t")
	o.Capacity = 2
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {o}})
	var calls sync.WaitGroup
	for i := range 40 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_, err := e.Do(context.Background(), call(fmt.Sprint(i), true))
			require.Nil(t, err)
		}()
	}
	calls.Wait()
	require.Equal(t, 40, s.count())
	require.LessOrEqual(t, most, 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.LessOrEqual(t, len(s.conns), 3, "two for requests, and one that was kept idle")
}

func record(s string) string { return s + strings.Repeat("-", forward.RecordSize-len(s)) }

// Guards against replies to two requests, or of a failure, in one gathered
// answer.
func TestGatherTakesOneReplyOfEachShard(t *testing.T) {
	specs := map[string][]forward.SearcherSpec{}
	var services []string
	for i := range 6 {
		name := fmt.Sprintf("s%d", i)
		services = append(services, name)
		s := startSearcher(t, func(n int, id string, c net.Conn) bool {
			if i == 0 {
				return write(c, "HTTP/1.1 500 Failed\r\nSignature: bad\r\nId: "+id+"\r\nContent-Length: 4\r\n\r\nbody")
			}
			return write(c, reply(id, record(name)))
		})
		specs[name] = []forward.SearcherSpec{s.spec(name)}
	}
	e := newEngine(t, specs)
	c := call("q", true)
	c.Route = &routeplan.Route{Name: "g", Idempotent: true, MaxAttempts: 2, Timeout: testTimeout, Objective: testTimeout, Gather: &routeplan.Gather{Services: services, TopK: 3, MinRatio: 0.8}}
	a, err := e.Do(context.Background(), c)
	require.Nil(t, err)
	require.Equal(t, 1, a.Missing)
	require.Equal(t, slices.Repeat([]string{"sig-q"}, 5), a.Signatures)
	require.Equal(t, record("s5")+record("s4")+record("s3"), string(a.Body))
	c.Route.Gather.MinRatio = 1
	c.ID = "q2"
	c.Arrived, c.Deadline = time.Now(), time.Now().Add(testTimeout)
	_, err = e.Do(context.Background(), c)
	require.NotNil(t, err)
	require.Equal(t, verdict.Ran, err.Verdict)
}

// Guards against logged times of attempts that run on until the end of the call.
func TestAttemptTimesEndWithTheAttempt(t *testing.T) {
	env := time.Unix(1, 0)
	run := forward.NewRun(oneSearcher{}, call("q", true).Route, []string{"a"}, env, env.Add(time.Minute))
	a := run.Start(env)[0].(forward.Send).Attempt
	run.Ended(env.Add(3*time.Millisecond), a, forward.Good)
	require.Equal(t, 3*time.Millisecond, attemptRecords(run, env.Add(time.Second))[0].Took)
}

// oneSearcher is an Environment in which every attempt goes to the same searcher.
type oneSearcher struct{}

func (oneSearcher) Begin(time.Time, string, forward.AttemptOptions) (*forward.Searcher, bool) {
	return &forward.Searcher{}, false
}

func (oneSearcher) HedgeDelay() time.Duration { return time.Second }

func (oneSearcher) Expected(time.Time, string) (time.Duration, bool)                { return time.Millisecond, true }
func (oneSearcher) Resume(time.Time, string, forward.AttemptOptions) (at time.Time) { return at }
func (oneSearcher) IntN(int) int                                                    { return 0 }
