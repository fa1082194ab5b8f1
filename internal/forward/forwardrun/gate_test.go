package forwardrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// testGate keeps requests away from one target while closed is set.
type testGate struct {
	target string
	closed atomic.Bool
	lost   atomic.Int64
}

func (g *testGate) open(id forward.Identity) bool { return id.Target != g.target || !g.closed.Load() }

func (g *testGate) Admits(_ time.Time, id forward.Identity) bool { return g.open(id) }
func (g *testGate) Held(forward.Identity)                        {}
func (g *testGate) Begin(_ time.Time, id forward.Identity) bool  { return g.open(id) }
func (g *testGate) Send(_ time.Time, id forward.Identity) bool   { return g.open(id) }
func (g *testGate) Lost(time.Time, forward.Identity)             { g.lost.Add(1) }

func newGatedEngine(t *testing.T, g forward.Gate, specs map[string][]forward.SearcherSpec) *Engine {
	t.Helper()
	e := New(Config{Wire: testWire{}, Gate: g, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}})
	e.SetSearchers(specs)
	t.Cleanup(e.Close)
	return e
}

// Guards against an attempt that was chosen before the gate closed and is sent after it,
// over a connection that is idle or one that is opened for it.
func TestChosenAttemptIsNotSentThroughAClosedGate(t *testing.T) {
	for name, warm := range map[string]bool{"idle connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			s := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
			g := &testGate{target: "t"}
			spec := s.spec("t")
			spec.OnDemand = true
			e := newGatedEngine(t, g, map[string][]forward.SearcherSpec{"a": {spec}})
			if warm {
				_, err := e.Do(context.Background(), call("first", true))
				require.Nil(t, err)
			}
			before := s.count()
			svc := e.service("a")
			searcher, _, _ := svc.begin(time.Now(), forward.Criteria{}, forward.AttemptOptions{}, rand.New(rand.NewPCG(1, 2)))
			require.NotNil(t, searcher)
			g.closed.Store(true)
			results := make(chan forward.Result, 1)
			svc.send(&exchange{
				Attempt: &forward.Attempt{Service: "a", Searcher: searcher, Began: time.Now(), Open: true}, call: call("q", true), deadline: time.Now().Add(testTimeout),
				done: func(_ *exchange, result forward.Result) { results <- result },
			})
			require.Equal(t, forward.Unsent, <-results)
			require.Equal(t, before, s.count())
			_, err := e.Do(context.Background(), call("next", true))
			require.Equal(t, verdict.NotRun, err.Verdict)
			g.closed.Store(false)
			_, err = e.Do(context.Background(), call("last", true))
			require.Nil(t, err)
		})
	}
}

// Guards against a request that waits for capacity, or that is due for a hedge, and then
// goes to a searcher whose gate closed meanwhile.
func TestWaitingAndHedgedRequestsStayAwayFromAClosedGate(t *testing.T) {
	g := &testGate{target: "withdrawn"}
	var late atomic.Int64
	release := make(chan struct{})
	slow := startSearcher(t, func(_ int, id string, c net.Conn) bool {
		<-release
		return write(c, reply(id, record("a")))
	})
	withdrawn := startSearcher(t, func(_ int, id string, c net.Conn) bool {
		if g.closed.Load() {
			late.Add(1)
		}
		<-release
		return write(c, reply(id, record("a")))
	})
	a, b := slow.spec("stays"), withdrawn.spec("withdrawn")
	a.Capacity, b.Capacity = 2, 2
	e := newGatedEngine(t, g, map[string][]forward.SearcherSpec{"a": {a, b}})
	done := make(chan *verdict.Error, 8)
	ask := func(id string) {
		go func() {
			_, err := e.Do(context.Background(), gatherCall(id, "a"))
			done <- err
		}()
	}
	for _, id := range []string{"1", "2", "3", "4"} { // they fill both searchers
		ask(id)
	}
	require.Eventually(t, func() bool { return slow.count()+withdrawn.count() == 4 }, testTimeout, time.Millisecond)
	for _, id := range []string{"5", "6", "7", "8"} {
		ask(id)
	}
	svc := e.service("a")
	require.Eventually(t, func() bool {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		return svc.queue.Len() >= 4
	}, testTimeout, time.Millisecond)
	g.closed.Store(true)
	close(release)
	for range 8 {
		require.Nil(t, <-done)
	}
	require.Zero(t, late.Load())
}

// Guards against a lost connection or failed dial that leaves a target counted as warm,
// and against one that is reported although the connection ended as usual.
func TestLostConnectionsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		script func(id string, c net.Conn) bool
		lost   bool
	}{
		"in a request":  {func(string, net.Conn) bool { return false }, true},
		"while idle":    {func(id string, c net.Conn) bool { write(c, keepAlive(id, 60)); return false }, true},
		"after a reply": {func(id string, c net.Conn) bool { write(c, reply(id, "body")); return false }, false},
		"in a reply": {func(id string, c net.Conn) bool {
			return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbody", id)) && false
		}, true},
		"reset": {func(_ string, c net.Conn) bool { _ = c.(*net.TCPConn).SetLinger(0); return false }, true},
		"body over the limit": {func(id string, c net.Conn) bool {
			return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 999999999999\r\n\r\n", id))
		}, false},
		"replies to other requests": {func(_ string, c net.Conn) bool {
			return write(c, strings.Repeat(reply("other", "body"), maxForeignReplies+1))
		}, false},
		"no HTTP": {func(_ string, c net.Conn) bool { return write(c, "no HTTP\r\n\r\n") }, false},
		"bytes while idle": {func(id string, c net.Conn) bool {
			write(c, keepAlive(id, 60))
			time.Sleep(20 * time.Millisecond) // until the reply was taken
			return write(c, reply("other", "body"))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 64)
			s := startSearcher(t, func(_ int, id string, conn net.Conn) bool {
				defer func() { ended <- struct{}{} }()
				return c.script(id, conn)
			})
			g := &testGate{}
			spec := s.spec("t")
			spec.OnDemand = true
			e := newGatedEngine(t, g, map[string][]forward.SearcherSpec{"a": {spec}})
			_, _ = e.Do(context.Background(), call("q", false))
			<-ended
			svc := e.service("a")
			require.Eventually(t, func() bool {
				svc.mu.Lock()
				defer svc.mu.Unlock()
				return svc.poolOf(spec.Identity).open == 0
			}, testTimeout, time.Millisecond)
			require.Equal(t, c.lost, g.lost.Load() > 0)
		})
	}
	t.Run("in a write", func(t *testing.T) {
		own, peer := net.Pipe()
		require.NoError(t, peer.Close())
		for failure, want := range map[error]bool{syscall.EPIPE: true, os.ErrDeadlineExceeded: false, errMemoryLimited: false} {
			released := make(chan bool, 1)
			c := newConn(failingWrites{own, failure}, testWire{}, &replyMemory{}, func(c *conn, _ bool) { released <- c.lost })
			c.write([]byte("request"))
			c.read()
			require.Equal(t, want, <-released, "%v", failure)
		}
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := forward.SearcherSpec{Identity: forward.Identity{Target: "t", Address: ln.Addr().(*net.TCPAddr).AddrPort()}, Slots: 1, Capacity: 1}
	require.NoError(t, ln.Close())
	g := &testGate{}
	newGatedEngine(t, g, map[string][]forward.SearcherSpec{"a": {gone}})
	require.Eventually(t, func() bool { return g.lost.Load() > 0 }, testTimeout, time.Millisecond)
}

// failingWrites is a connection whose writes fail.
type failingWrites struct {
	net.Conn
	err error
}

func (c failingWrites) Write([]byte) (int, error) { return 0, c.err }

func keepAlive(id string, seconds int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nKeep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n", id, seconds)
}

// Guards against a lock of the service that each request takes once more for the gate.
func TestGateIsAskedWithoutTheLockOfTheService(t *testing.T) {
	e := newGatedEngine(t, &testGate{}, map[string][]forward.SearcherSpec{"a": nil})
	svc := e.service("a")
	svc.mu.Lock()
	defer svc.mu.Unlock()
	require.True(t, svc.maySend(forward.Identity{Target: "t"}))
}

// countingGate lets each attempt through once.
type countingGate struct {
	testGate
	begun, sent atomic.Int64
}

func (g *countingGate) Begin(time.Time, forward.Identity) bool {
	g.begun.Add(1)
	return true
}

func (g *countingGate) Send(time.Time, forward.Identity) bool { return g.sent.Add(1) <= g.begun.Load() }

// Guards against a request that asks the gate twice, and so uses up another one's room: one
// that may run once and is sent over a new connection because it was refused on the old one.
func TestGateIsAskedOnceForEachAttempt(t *testing.T) {
	s := startSearcher(t, func(n int, id string, c net.Conn) bool {
		if n == 1 {
			return write(c, fmt.Sprintf("HTTP/1.1 503 Busy\r\nNot-Run: full\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id))
		}
		return write(c, reply(id, "body"))
	})
	g := &countingGate{}
	e := newGatedEngine(t, g, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
	for i := range 4 {
		_, err := e.Do(context.Background(), call(fmt.Sprint(i), false))
		require.Nil(t, err)
	}
	require.EqualValues(t, 5, s.count())
	require.EqualValues(t, 5, g.begun.Load())
	require.EqualValues(t, 5, g.sent.Load())
}
