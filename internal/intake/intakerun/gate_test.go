package intakerun_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/intake/intakerun"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// host is a server behind a gate.
type host struct {
	t       *testing.T
	gate    *intakerun.Gate
	address string
	hold    chan struct{} // if set, requests wait for it after their bodies were read
}

func startHost(t *testing.T, cfg intakerun.Config, limits intake.ListenerLimits, hold chan struct{}) *host {
	h := &host{t: t, gate: intakerun.New(cfg, eventlog.Nop()), hold: hold}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = ln.Addr().String()
	server := &http.Server{Handler: intakerun.Handler(http.HandlerFunc(h.serve)), ConnState: intakerun.StateChanged, ConnContext: intakerun.ConnContext}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(h.gate.Listener("caller", ln, limits))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return h
}

// serve responds to /unread without reading the body, and otherwise with the number of bytes
// that it read, or with the code and the verdict of the refusal.
func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		fmt.Fprint(w, "unread")
		return
	}
	if r.URL.Path == "/endless" {
		piece := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = w.Write(piece)
		}
		close(h.hold)
		return
	}
	body, err := intakerun.ReadAll(r.Body, r.ContentLength)
	var refused *verdict.Error
	if errors.As(err, &refused) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, refused.Code, " ", refused.Verdict)
		return
	}
	if h.hold != nil {
		<-h.hold
	}
	fmt.Fprint(w, len(body))
}

// client is a connection on which a test sends raw bytes.
type client struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func (h *host) dial() *client {
	conn, err := net.Dial("tcp", h.address)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	// Ends a test that would otherwise wait without end.
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	return &client{h.t, conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

func (c *client) answer() string {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return "closed"
	}
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return string(body)
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

var (
	manyConnections = intake.ListenerLimits{Connections: 100, AddressConnections: 100}
	largeBody       = strings.Repeat("b", 100<<10)
)

func limits(memory int64) intakerun.Config {
	return intakerun.Config{Limits: intake.Limits{Memory: memory, ListenerMemory: memory, AddressMemory: memory}, BodyStall: time.Hour, AnswerStall: time.Hour}
}

func (h *host) eventually(what string, f func() bool) {
	h.t.Helper()
	require.Eventually(h.t, f, 30*time.Second, time.Millisecond, what)
}

// Guards against bodies that hold memory without end, and against refusals that are not
// told to the client.
func TestStoppedBodyIsRefusedInFavorOfAnotherOne(t *testing.T) {
	h := startHost(t, limits(300<<10), manyConnections, nil)
	stopped := h.dial()
	stopped.send(post(len(largeBody), largeBody[1:]))
	h.eventually("the body was not charged", func() bool { return h.gate.Memory() > 180<<10 })
	second := h.dial()
	second.send(post(len(largeBody), largeBody))
	require.Equal(t, fmt.Sprint(len(largeBody)), second.answer())
	require.Equal(t, "intake_memory_full not_run", stopped.answer())
	require.EqualValues(t, 1, h.gate.Refused(intakerun.Memory))
	h.eventually("the memory was not returned", func() bool { return h.gate.Memory() == 0 })
	small := h.dial()
	for range 3 {
		small.send(post(1, "b"))
		require.Equal(t, "1", small.answer(), "on a connection that stays open")
	}
}

// Guards against a connection without a response because of the heads of earlier requests.
func TestRefusalOnAConnectionOfManyRequests(t *testing.T) {
	cfg := limits(1 << 20)
	cfg.BodyStall = 50 * time.Millisecond
	h := startHost(t, cfg, manyConnections, nil)
	c := h.dial()
	for range 10 {
		c.send(strings.Replace(post(1, "b"), "Host: a", "Host: a\r\nX: "+strings.Repeat("x", 2000), 1))
		require.Equal(t, "1", c.answer())
	}
	c.send(post(10, "b"))
	require.Equal(t, "request_stalled not_run", c.answer())
}

// Guards against cutting off requests that wait for their answers, in favor of later ones.
func TestRequestThatWaitsForItsAnswerIsNotRefused(t *testing.T) {
	hold := make(chan struct{})
	h := startHost(t, limits(250<<10), manyConnections, hold)
	complete := h.dial()
	complete.send(post(len(largeBody), largeBody))
	h.eventually("the body was not read", func() bool { return h.gate.Memory() >= 190<<10-intake.FreeCharge })
	late := h.dial()
	late.send(post(len(largeBody), largeBody[1:]))
	require.Equal(t, "intake_memory_full not_run", late.answer())
	close(hold)
	require.Equal(t, fmt.Sprint(len(largeBody)), complete.answer())
}

// Guards against heads of many short lines, which take many times their bytes: the
// connection is closed before anything ran.
func TestHeadOfManyLinesIsRefused(t *testing.T) {
	h := startHost(t, limits(1<<20), manyConnections, nil)
	c := h.dial()
	c.send("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 5000))
	require.Equal(t, "closed", c.answer())
	require.EqualValues(t, 1, h.gate.Refused(intakerun.Memory))
}

// Guards against charging the bytes of a body, which arrive with the head, like a head:
// the request would then be refused without a response.
func TestBodyThatArrivesWithTheHeadIsNoHead(t *testing.T) {
	h := startHost(t, limits(1<<20), manyConnections, nil)
	c := h.dial()
	c.send(post(4000, strings.Repeat("\n", 4000)))
	require.Equal(t, "4000", c.answer())
}

// Guards against a body that makes no progress, and against ending a request that waits
// for its answer for longer than a body may stall.
func TestStalledBodyIsRefused(t *testing.T) {
	cfg := limits(1 << 20)
	cfg.BodyStall = 50 * time.Millisecond
	hold := make(chan struct{})
	h := startHost(t, cfg, manyConnections, hold)
	complete, stalled := h.dial(), h.dial()
	complete.send(post(1, "b"))
	stalled.send(post(10, "b"))
	require.Equal(t, "request_stalled not_run", stalled.answer())
	require.EqualValues(t, 1, h.gate.Refused(intakerun.Stalled))
	close(hold)
	require.Equal(t, "1", complete.answer())
}

// Guards against a server that waits without end for a body that its handler did not read.
func TestUnreadBodyThatStalls(t *testing.T) {
	cfg := limits(1 << 20)
	cfg.BodyStall = 50 * time.Millisecond
	h := startHost(t, cfg, manyConnections, nil)
	c := h.dial()
	c.send(strings.Replace(post(100, "b"), "POST /", "POST /unread", 1))
	require.Equal(t, "unread", c.answer())
	require.Equal(t, "closed", c.answer())
	require.EqualValues(t, 1, h.gate.Refused(intakerun.Stalled))
	idle := h.dial()
	for range 3 {
		idle.send(strings.Replace(post(1, "b"), "POST /", "POST /unread", 1))
		require.Equal(t, "unread", idle.answer())
		time.Sleep(2 * cfg.BodyStall) // an idle connection has no body that could stall
	}
}

// Guards against connections that use up the descriptors: the one without progress for the
// longest time is closed, and the new one is served.
func TestTooManyConnections(t *testing.T) {
	h := startHost(t, limits(1<<20), intake.ListenerLimits{Connections: 3, AddressConnections: 3}, nil)
	idle := h.dial()
	h.eventually("not accepted", func() bool { return h.gate.Connections("caller") == 1 })
	for range 5 {
		c := h.dial()
		c.send(post(1, "b"))
		require.Equal(t, "1", c.answer())
	}
	require.Equal(t, "closed", idle.answer())
	require.Equal(t, 3, h.gate.Connections("caller"))
	require.EqualValues(t, 3, h.gate.Refused(intakerun.Connections))
}

// pipeListener accepts connections without a network.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	own, _ := net.Pipe()
	return own, nil
}

// Guards against a log line for each of the refusals of a flood, and against refusals that
// no line counts.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		gate := intakerun.New(limits(1<<20), eventlog.New(&out, 0, "h"))
		limited := gate.Listener("caller", pipeListener{}, intake.ListenerLimits{Connections: 1, AddressConnections: 1})
		for range 20 {
			_, err := limited.Accept()
			require.NoError(t, err)
		}
		require.EqualValues(t, 19, gate.Refused(intakerun.Connections))
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 2, strings.Count(out.String(), `"event":9502`))
		require.Contains(t, out.String(), `"refused":1,`)
		require.Contains(t, out.String(), `"refused":18,`)
	})
}

// Guards against bodies that are cut off or changed while their buffer grows.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, 511, 2047, 2048, 2049, 100_000, 262_144} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, length := range []int64{-1, int64(size), int64(size / 2)} {
			for name, r := range map[string]io.Reader{
				"whole": bytes.NewReader(want), "bytes": iotest.OneByteReader(bytes.NewReader(want)), "end with data": iotest.DataErrReader(bytes.NewReader(want)),
			} {
				got, err := intakerun.ReadAll(r, length)
				require.NoError(t, err)
				require.True(t, bytes.Equal(want, got), "%s, %d of %d bytes", name, size, length)
				require.LessOrEqual(t, cap(got), 2*size+4096)
			}
		}
	}
	_, err := intakerun.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against answers that are held without end because their clients do not read them.
func TestUnreadAnswerIsCutOff(t *testing.T) {
	cfg := limits(1 << 20)
	cfg.AnswerStall = 50 * time.Millisecond
	failed := make(chan struct{})
	h := startHost(t, cfg, manyConnections, failed)
	h.dial().send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	<-failed
	h.eventually("the refusal was not counted", func() bool { return h.gate.Refused(intakerun.Unread) == 1 })
}
