package targethttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/connections/poolrun"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// rawTarget is a fake target that counts complete requests and answers each with
// the result of reply. An empty result closes the connection.
type rawTarget struct {
	address  netip.AddrPort
	arrivals atomic.Int32
	reply    func(n int32, path string, body []byte) string
}

func startRawTarget(t *testing.T, reply func(n int32, path string, body []byte) string) *rawTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	rt := &rawTarget{address: ln.Addr().(*net.TCPAddr).AddrPort(), reply: reply}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go rt.serve(conn)
		}
	}()
	return rt
}

func (rt *rawTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := rt.reply(rt.arrivals.Add(1), req.URL.Path, body)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %03d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func echoOrder(body []byte) string {
	var req OrderRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return response(400, err.Error())
	}
	return response(200, fmt.Sprintf(`{"request_id":%q,"result":{"ok":true}}`, req.RequestID))
}

func newTestClient(t *testing.T, address netip.AddrPort, cfg ClientConfig, log *eventlog.Logger) *Client {
	t.Helper()
	pools := poolrun.NewPools(poolrun.Config{Spare: -1}, log)
	pools.SetShare(address, 4)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, pools.Close(ctx))
	})
	return NewClient(cfg, pools, log)
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against an order that runs twice because net/http sends it again when a
// reused connection breaks after the target has read the request.
func TestDroppedOrderArrivesOnce(t *testing.T) {
	target := startRawTarget(t, func(n int32, _ string, body []byte) string {
		if n == 1 {
			return echoOrder(body)
		}
		return ""
	})
	c := newTestClient(t, target.address, ClientConfig{}, eventlog.Nop())
	order := OrderRequest{RequestID: "o-1", Body: json.RawMessage(`{"item":7}`)}
	reply, err := c.Order(testContext(t), target.address, order)
	require.NoError(t, err)
	require.JSONEq(t, `{"ok":true}`, string(reply.Result))

	order.RequestID = "o-2"
	_, err = c.Order(testContext(t), target.address, order)
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.EqualValues(t, 2, target.arrivals.Load(), "o-1 and o-2 arrive once each")
}

// Guards against a rawTarget that misses a replay: with a replayable body and an
// Idempotency-Key, net/http does send the request twice.
func TestRawTargetCountsReplayByNetHTTP(t *testing.T) {
	target := startRawTarget(t, func(n int32, _ string, body []byte) string {
		if n == 1 {
			return echoOrder(body)
		}
		return ""
	})
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequestWithContext(testContext(t), http.MethodPost, "http://"+target.address.String()+pathOrder, bytes.NewReader([]byte(`{"request_id":"o"}`)))
		require.NoError(t, err)
		req.Header.Set("Idempotency-Key", "o")
		if resp, err := tr.RoundTrip(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	require.EqualValues(t, 3, target.arrivals.Load())
}

// Guards against a wrong verdict for any kind of reply, above all "not run" for a
// request that may have run.
func TestVerdictOfReplies(t *testing.T) {
	cases := []struct {
		name    string
		answer  string
		verdict verdict.Verdict
		code    verdict.Code
	}{
		{"shed", response(503, `{"not_run":true,"reason":"shed"}`), verdict.NotRun, CodeTargetShed},
		{"snapshot gone", response(409, `{"not_run":true,"reason":"snapshot_gone"}`), verdict.NotRun, CodeTargetSnapshotGone},
		{"unknown reason", response(503, `{"not_run":true,"reason":"moon"}`), verdict.NotRun, CodeTargetRefused},
		{"refusal of this request", response(503, `{"not_run":true,"reason":"draining","request_id":"o-1"}`), verdict.NotRun, CodeTargetDraining},
		{"refusal of another request", response(503, `{"not_run":true,"reason":"shed","request_id":"o-0"}`), verdict.MayHaveRun, CodeTargetError},
		{"503 without not_run", response(503, `{"reason":"shed"}`), verdict.MayHaveRun, CodeTargetError},
		{"503 that is not JSON", response(503, `busy`), verdict.MayHaveRun, CodeTargetError},
		{"not_run with status 500", response(500, `{"not_run":true,"reason":"shed"}`), verdict.MayHaveRun, CodeTargetError},
		{"not_run with status 200", response(200, `{"not_run":true,"reason":"shed"}`), verdict.MayHaveRun, CodeReplyInvalid},
		{"404", response(404, `no such page`), verdict.MayHaveRun, CodeTargetError},
		{"status 000", response(0, `{"request_id":"o-1"}`), verdict.MayHaveRun, CodeReplyInvalid},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", verdict.MayHaveRun, CodeReplyInvalid},
		{"status 600", response(600, `{"not_run":true,"reason":"shed"}`), verdict.MayHaveRun, CodeReplyInvalid},
		{"malformed", response(200, `{"request_id":`), verdict.MayHaveRun, CodeReplyInvalid},
		{"another request", response(200, `{"request_id":"o-0"}`), verdict.MayHaveRun, CodeReplyInvalid},
		{"too large", response(200, strings.Repeat("x", 300)), verdict.MayHaveRun, CodeReplyTooLarge},
		{"too large, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12c\r\n" + strings.Repeat("x", 300) + "\r\n0\r\n\r\n", verdict.MayHaveRun, CodeReplyTooLarge},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nConnection: close\r\n\r\n{", verdict.MayHaveRun, verdict.CodeDeadlineExceeded},
		{"dropped", "", verdict.MayHaveRun, verdict.CodeUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target := startRawTarget(t, func(int32, string, []byte) string { return tc.answer })
			c := newTestClient(t, target.address, ClientConfig{MaxReplyBytes: 200}, eventlog.Nop())
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := c.Order(ctx, target.address, OrderRequest{RequestID: "o-1"})
			require.Error(t, err)
			require.Equal(t, tc.verdict, verdict.Of(err))
			require.Equal(t, tc.code, verdict.CodeOf(err))
			require.EqualValues(t, 1, target.arrivals.Load())
		})
	}
}

// Guards against a client that follows redirects, which would send an order to a
// second server.
func TestRedirectsAreNotFollowed(t *testing.T) {
	other := startRawTarget(t, func(_ int32, _ string, body []byte) string { return echoOrder(body) })
	for _, status := range []int{301, 302, 307, 308} {
		target := startRawTarget(t, func(int32, string, []byte) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nLocation: http://%s/v1/order\r\nContent-Length: 0\r\n\r\n", status, other.address)
		})
		c := newTestClient(t, target.address, ClientConfig{}, eventlog.Nop())
		_, err := c.Order(testContext(t), target.address, OrderRequest{RequestID: "o-1"})
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	}
	require.Zero(t, other.arrivals.Load())
}

// Guards against the verdict "may have run" when nothing was sent, which would
// forbid a retry of the order without need.
func TestNothingSentIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := ln.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, ln.Close())
	c := newTestClient(t, closed, ClientConfig{}, eventlog.Nop())
	_, err = c.Order(testContext(t), closed, OrderRequest{RequestID: "o-1"})
	require.Equal(t, verdict.NotRun, verdict.Of(err), "%v", err)
	require.Equal(t, poolrun.CodeDial, verdict.CodeOf(err))

	unknown := netip.MustParseAddrPort("127.0.0.1:1")
	_, err = c.Order(testContext(t), unknown, OrderRequest{RequestID: "o-1"})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, poolrun.CodeNoShare, verdict.CodeOf(err))

	_, err = c.Order(context.Background(), closed, OrderRequest{RequestID: "o-1"})
	require.Equal(t, verdict.CodeInvalidRequest, verdict.CodeOf(err))
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = c.Order(short, closed, OrderRequest{RequestID: "o-1"})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, verdict.CodeDeadlineExceeded, verdict.CodeOf(err))
}

// Guards against an error that blames the target for a wait at this host. A
// request that found every connection of the share in use has not run, and its
// error has the code CodeShareBusy.
func TestBusyShareIsNotRun(t *testing.T) {
	arrived := make(chan struct{})
	finish := make(chan struct{})
	target := startRawTarget(t, func(_ int32, _ string, body []byte) string {
		close(arrived)
		<-finish
		return echoOrder(body)
	})
	pools := poolrun.NewPools(poolrun.Config{Spare: -1}, eventlog.Nop())
	pools.SetShare(target.address, 1)
	c := NewClient(ClientConfig{}, pools, eventlog.Nop())
	done := make(chan error)
	go func() {
		_, err := c.Order(testContext(t), target.address, OrderRequest{RequestID: "o-1"})
		done <- err
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Order(ctx, target.address, OrderRequest{RequestID: "o-2"})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, poolrun.CodeShareBusy, verdict.CodeOf(err))
	close(finish)
	require.NoError(t, <-done)
	require.EqualValues(t, 1, target.arrivals.Load())
	require.NoError(t, pools.Close(testContext(t)))
}

// Guards against a request that fails because the target had closed an idle
// connection, although nothing was written and another connection works.
func TestSealedIdleConnectionIsReplaced(t *testing.T) {
	target := startRawTarget(t, func(_ int32, _ string, body []byte) string { return echoOrder(body) })
	pools := poolrun.NewPools(poolrun.Config{Spare: -1}, eventlog.Nop())
	pools.SetShare(target.address, 2)
	c := NewClient(ClientConfig{}, pools, eventlog.Nop())
	rt, err := pools.RoundTripper(target.address)
	require.NoError(t, err)
	var w writeTracker
	resp, err := rt.RoundTrip(newRequest(testContext(t), &w, target.address, pathOrder, "o-0", []byte(`{"request_id":"o-0"}`)))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	w.conn.SealWrites() // every later write on the idle connection fails

	_, err = c.Order(testContext(t), target.address, OrderRequest{RequestID: "o-1"})
	require.NoError(t, err)
	require.EqualValues(t, 2, target.arrivals.Load())
	require.NoError(t, pools.Close(testContext(t)))
}

// Guards against a target that works past the caller's deadline, and against a
// client that accepts a reply for another shard.
func TestSearchCarriesDeadlineAndChecksReply(t *testing.T) {
	var seen SearchRequest
	shard := "s3"
	target := startRawTarget(t, func(_ int32, path string, body []byte) string {
		if path != "/v1/search" || json.Unmarshal(body, &seen) != nil {
			return response(400, "")
		}
		return response(200, fmt.Sprintf(`{"request_id":"q","attempt":2,"index_snapshot":"v9","shard":%q,"hits":[{"id":"a","score":1.5,"text":"x"}],"draining":true}`, shard))
	})
	var log bytes.Buffer
	c := newTestClient(t, target.address, ClientConfig{NetworkAllowance: time.Second}, eventlog.New(&log, 0, "h"))
	req := SearchRequest{RequestID: "q", Attempt: 2, Searcher: "a", IndexSnapshot: "v9", Shard: "s3", Terms: "moss", K: 5}
	reply, err := c.Search(testContext(t), target.address, req)
	require.NoError(t, err)
	require.True(t, reply.Draining)
	require.Equal(t, []Hit{{ID: "a", Score: 1.5, Text: "x"}}, reply.Hits)
	require.LessOrEqual(t, seen.DeadlineMS, int64(4000))
	require.Positive(t, seen.DeadlineMS)
	seen.DeadlineMS = 0
	require.Equal(t, req, seen)

	shard = "s4"
	_, err = c.Search(testContext(t), target.address, req)
	require.Equal(t, CodeReplyInvalid, verdict.CodeOf(err))
	require.Contains(t, log.String(), `"event":2080`)
}

// Guards against a canceled search that keeps its slot at the target. Closing the
// connection cancels it there.
func TestCancelClosesConnection(t *testing.T) {
	reached := make(chan struct{})
	gone := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(reached)
		<-r.Context().Done()
		close(gone)
	})}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	c := newTestClient(t, address, ClientConfig{}, eventlog.Nop())
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-reached
		cancel()
	}()
	_, err = c.Search(ctx, address, SearchRequest{RequestID: "q"})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, CodeCanceled, verdict.CodeOf(err))
	<-gone
}

// cannedTransport answers every request at once, so that a benchmark measures
// only the work of the client.
type cannedTransport struct{ body []byte }

func (c cannedTransport) RoundTripper(netip.AddrPort) (http.RoundTripper, error) { return c, nil }

func (c cannedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, ContentLength: int64(len(c.body)), Body: io.NopCloser(bytes.NewReader(c.body))}, nil
}

func BenchmarkSearchOutsideNetHTTP(b *testing.B) {
	reply := SearchReply{RequestID: "q", IndexSnapshot: "v1", Shard: "s1"}
	for i := range 10 {
		reply.Hits = append(reply.Hits, Hit{ID: fmt.Sprint("hit-", i), Score: 0.5, Text: "LATIN SMALL LETTER A"})
	}
	body, err := json.Marshal(reply)
	require.NoError(b, err)
	c := NewClient(ClientConfig{}, cannedTransport{body: body}, eventlog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Search(ctx, address, SearchRequest{RequestID: "q", IndexSnapshot: "v1", Shard: "s1", Terms: "small letter", K: 10})
		require.NoError(b, err)
	}
}
