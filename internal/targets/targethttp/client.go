// Package targethttp is the HTTP and JSON interface between hosts and targets:
// a client that sends requests to targets, and a handler for the announcements
// that targets send.
package targethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/httpanswer"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes of Client. The codes target_shed, target_draining,
// target_snapshot_gone and target_refused mean that the target refused the
// request.
const (
	CodeCanceled           verdict.Code = "canceled"
	CodeReplyInvalid       verdict.Code = "target_reply_invalid"
	CodeReplyTooLarge      verdict.Code = "target_reply_too_large"
	CodeTargetError        verdict.Code = "target_error"
	CodeTargetShed         verdict.Code = "target_shed"
	CodeTargetDraining     verdict.Code = "target_draining"
	CodeTargetSnapshotGone verdict.Code = "target_snapshot_gone"
	CodeTargetRefused      verdict.Code = "target_refused"
)

// Defaults of ClientConfig. The allowance covers one-way latency in both
// directions (about 1 ms each) and the work of reading the reply.
const (
	DefaultNetworkAllowance = 3 * time.Millisecond
	DefaultMaxReplyBytes    = 4 << 20
)

const (
	pathSearch       = "/v1/search"
	pathOrder        = "/v1/order"
	headerRequestID  = "X-Request-Id"
	faultLogInterval = time.Second
	smallReplyBytes  = 64 << 10 // a reply with a Content-Length up to this is read in one allocation
)

// Transports returns the round tripper with the connections to the target at an
// address.
type Transports interface {
	RoundTripper(address netip.AddrPort) (http.RoundTripper, error)
}

// SealableConn is a connection that counts the bytes written to it. SealWrites
// returns the final count: no further byte is written after it.
type SealableConn interface {
	Written() uint64
	SealWrites() uint64
	Close() error
}

// ClientConfig holds the settings of a Client. Zero fields take the defaults.
type ClientConfig struct {
	NetworkAllowance time.Duration // subtracted from the deadline that the target gets
	MaxReplyBytes    int64
}

// Client sends sub-requests and orders to targets. An error has the verdict
// not_run only if no byte of the request was written or the target replied that
// the request did not run. Client is safe for concurrent use.
type Client struct {
	cfg        ClientConfig
	transports Transports
	log        *eventlog.Logger
	start      time.Time
	nextFault  atomic.Int64 // earliest time of the next fault event, since start
}

// NewClient returns a client over the given transports.
func NewClient(cfg ClientConfig, transports Transports, log *eventlog.Logger) *Client {
	if cfg.NetworkAllowance <= 0 {
		cfg.NetworkAllowance = DefaultNetworkAllowance
	}
	if cfg.MaxReplyBytes <= 0 {
		cfg.MaxReplyBytes = DefaultMaxReplyBytes
	}
	return &Client{cfg: cfg, transports: transports, log: log, start: time.Now()}
}

// Search sends a sub-request to the target at address. The context must have a
// deadline; canceling it closes the connection, which cancels the search.
func (c *Client) Search(ctx context.Context, address netip.AddrPort, req SearchRequest) (SearchReply, error) {
	var reply SearchReply
	left, err := c.timeLeft(ctx)
	if err != nil {
		return SearchReply{}, err
	}
	req.DeadlineMS = left
	decode := func(body []byte) error { return decodeSearchReply(body, &reply) }
	matches := func() bool {
		return reply.RequestID == req.RequestID && reply.Attempt == req.Attempt &&
			reply.IndexSnapshot == req.IndexSnapshot && reply.Shard == req.Shard
	}
	payload := req.appendTo(make([]byte, 0, req.sizeHint()))
	if err := c.call(ctx, address, pathSearch, req.RequestID, payload, decode, matches); err != nil {
		return SearchReply{}, err
	}
	return reply, nil
}

// Order sends a non-idempotent request to the target at address, at most
// once. The context must have a deadline.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, req OrderRequest) (OrderReply, error) {
	var reply OrderReply
	left, err := c.timeLeft(ctx)
	if err != nil {
		return OrderReply{}, err
	}
	req.DeadlineMS = left
	payload, err := json.Marshal(req)
	if err != nil {
		return OrderReply{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "encode order")
	}
	decode := func(body []byte) error { return json.Unmarshal(body, &reply) }
	matches := func() bool { return reply.RequestID == req.RequestID }
	if err := c.call(ctx, address, pathOrder, req.RequestID, payload, decode, matches); err != nil {
		return OrderReply{}, err
	}
	return reply, nil
}

// timeLeft returns the deadline for the target in milliseconds from now.
func (c *Client) timeLeft(ctx context.Context) (int64, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "a request to a target needs a deadline")
	}
	left := (time.Until(deadline) - c.cfg.NetworkAllowance).Milliseconds()
	if left < 1 {
		return 0, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "too little time is left to reach the target")
	}
	return left, nil
}

// call sends one request, decodes its reply and checks that the reply matches
// the request. After a malformed or mismatched reply the connection is closed,
// because the next reply on it may belong to this request.
func (c *Client) call(ctx context.Context, address netip.AddrPort, path, requestID string, payload []byte, decode func([]byte) error, matches func() bool) error {
	rt, err := c.transports.RoundTripper(address)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, codeOr(err, verdict.CodeUnavailable), "no connection to target")
	}
	resp, conn, err := c.send(ctx, rt, address, path, requestID, payload)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if !httpanswer.Final(resp.StatusCode) {
		closeConn(conn)
		err := httpanswer.NotAnAnswer(resp.StatusCode)
		c.logFault(address, requestID, err.Error())
		return verdict.Wrap(err, verdict.MayHaveRun, CodeReplyInvalid, "read reply")
	}
	body, err := readReply(resp, c.cfg.MaxReplyBytes)
	if err != nil {
		return c.readError(ctx, address, requestID, err)
	}
	if resp.StatusCode != http.StatusOK {
		return c.statusError(address, requestID, resp.StatusCode, body)
	}
	if err := decode(body); err != nil {
		closeConn(conn)
		c.logFault(address, requestID, "reply is not valid JSON")
		return verdict.Wrap(err, verdict.MayHaveRun, CodeReplyInvalid, "decode reply")
	}
	if !matches() {
		closeConn(conn)
		c.logFault(address, requestID, "reply to another request")
		return verdict.New(verdict.MayHaveRun, CodeReplyInvalid, "the reply belongs to another request than %q", requestID)
	}
	return nil
}

func closeConn(conn SealableConn) {
	if conn != nil {
		conn.Close()
	}
}

// send sends a request. It retries once if the first attempt failed on a reused
// connection before a byte was written, because a target may close a connection
// while it is idle.
func (c *Client) send(ctx context.Context, rt http.RoundTripper, address netip.AddrPort, path, requestID string, payload []byte) (*http.Response, SealableConn, error) {
	for attempt := 0; ; attempt++ {
		var w writeTracker
		resp, err := rt.RoundTrip(newRequest(ctx, &w, address, path, requestID, payload))
		if err == nil {
			return resp, w.conn, nil
		}
		written := w.mayHaveWritten()
		if !written && w.reused && attempt == 0 && ctx.Err() == nil {
			continue
		}
		return nil, nil, sendError(ctx, err, written)
	}
}

// newRequest builds a POST that net/http can't send twice: the body has no
// GetBody, and the header has no Idempotency-Key or X-Idempotency-Key, either
// of which would let the transport replay it. A round tripper follows no
// redirects.
func newRequest(ctx context.Context, w *writeTracker, address netip.AddrPort, path, requestID string, payload []byte) *http.Request {
	host := address.String()
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: host, Path: path},
		Host:          host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"application/json"}, headerRequestID: {requestID}},
		Body:          io.NopCloser(bytes.NewReader(payload)),
		ContentLength: int64(len(payload)),
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn}))
}

// writeTracker records the connection that a request got and how much had been
// written to it before.
type writeTracker struct {
	conn          SealableConn
	writtenBefore uint64
	reused        bool
	unknown       bool // the connection doesn't count writes, or there was a second one
}

// gotConn runs on the goroutine that called RoundTrip, so w needs no lock.
func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(SealableConn)
	if !ok || w.conn != nil {
		w.unknown = true
		return
	}
	w.conn = conn
	w.writtenBefore = conn.Written()
	w.reused = info.Reused
}

// mayHaveWritten reports whether a byte of the failed request may have been
// written. It seals the connection, so that the result stays valid while
// net/http's write loop ends.
func (w *writeTracker) mayHaveWritten() bool {
	if w.unknown {
		return true
	}
	return w.conn != nil && w.conn.SealWrites() != w.writtenBefore
}

func sendError(ctx context.Context, err error, written bool) error {
	v := verdict.NotRun
	if written {
		v = verdict.MayHaveRun
	}
	return verdict.Wrap(err, v, failureCode(ctx, err), "send request to target")
}

// failureCode returns the code for a failed request. It keeps the code of a
// pool's error, which distinguishes a busy share from a slow target.
func failureCode(ctx context.Context, err error) verdict.Code {
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return codeOr(err, verdict.CodeDeadlineExceeded)
	case errors.Is(err, context.Canceled) || errors.Is(ctx.Err(), context.Canceled):
		return codeOr(err, CodeCanceled)
	default:
		return codeOr(err, verdict.CodeUnavailable)
	}
}

func codeOr(err error, fallback verdict.Code) verdict.Code {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return fallback
}

var errReplyTooLarge = errors.New("reply is larger than the limit")

// readReply reads a reply of at most limit bytes. It reads to the end of the
// reply, so that the connection can be reused.
func readReply(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, errReplyTooLarge
	}
	if n := resp.ContentLength; n >= 0 && n <= smallReplyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errReplyTooLarge
	}
	return body, err
}

func (c *Client) readError(ctx context.Context, address netip.AddrPort, requestID string, err error) error {
	if errors.Is(err, errReplyTooLarge) {
		c.logFault(address, requestID, "reply is larger than "+strconv.FormatInt(c.cfg.MaxReplyBytes, 10)+" bytes")
		return verdict.Wrap(err, verdict.MayHaveRun, CodeReplyTooLarge, "read reply")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, failureCode(ctx, err), "read reply")
}

// statusError returns the error for a status other than 200. The request did
// not run only if the target says not_run in a 503 or 409 that does not name
// another request.
func (c *Client) statusError(address netip.AddrPort, requestID string, status int, body []byte) error {
	if status == http.StatusServiceUnavailable || status == http.StatusConflict {
		var r refusal
		if err := json.Unmarshal(body, &r); err == nil && r.NotRun && (r.RequestID == "" || r.RequestID == requestID) {
			return verdict.New(verdict.NotRun, refusalCode(r.Reason), "target refused: %s", r.Reason)
		}
	}
	c.logFault(address, requestID, "status "+strconv.Itoa(status))
	return verdict.New(verdict.MayHaveRun, CodeTargetError, "target replied with status %d", status)
}

func refusalCode(reason string) verdict.Code {
	switch reason {
	case "shed":
		return CodeTargetShed
	case "draining":
		return CodeTargetDraining
	case "snapshot_gone":
		return CodeTargetSnapshotGone
	default:
		return CodeTargetRefused
	}
}

// logFault logs at most one event a second, so that a faulty target can't flood
// the log.
func (c *Client) logFault(address netip.AddrPort, requestID, fault string) {
	now := time.Since(c.start)
	next := c.nextFault.Load()
	if int64(now) < next || !c.nextFault.CompareAndSwap(next, int64(now+faultLogInterval)) {
		return
	}
	c.log.Log(eventProtocolFault).Stringer("target_address", address).
		Str("request_id", requestID).Str("fault", fault).Send()
}
