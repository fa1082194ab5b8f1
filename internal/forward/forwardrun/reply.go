package forwardrun

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a reply. A faulty searcher may send bytes without end, in a head or in
// a body, until the connection is closed.
const (
	// maxReplyHead bounds the bytes read from the network for the status line and
	// the headers of one response.
	maxReplyHead = 64 << 10
	// maxPartSize bounds the body of a shard's reply in bytes. It has a few dozen
	// records, and hundreds of shards answer at the same time.
	maxPartSize = 1 << 20
	// maxReplySize bounds the body of any other reply in bytes.
	maxReplySize = 16 << 20
	// maxInterimResponses bounds the responses with a status below 200 before the
	// final one.
	maxInterimResponses = 8
	// maxForeignReplies is how many replies to other requests are skipped. A
	// faulty searcher may send a reply twice, and the second one arrives where
	// the next reply is expected.
	maxForeignReplies = 2
	// firstBodyBuffer is the size in bytes of the first buffer for a body. It holds the
	// replies of most shards and is not charged to the memory for replies: when faulty
	// searchers have used that up, the good ones still answer.
	firstBodyBuffer = 4 << 10
)

// Reasons for closing a connection.
var (
	errUnsolicited   = errors.New("the searcher sent bytes without a pending request")
	errForeign       = errors.New("the searcher sent replies to other requests")
	errUnidentified  = errors.New("the searcher sent a reply without a request ID on a connection that was used before")
	errHeadTooLarge  = errors.Newf("the head of a reply is larger than %d bytes", maxReplyHead)
	errInterim       = errors.Newf("more than %d interim responses", maxInterimResponses)
	errBodyTooLarge  = errors.New("the body of a reply is too large")
	errMemoryLimited = errors.New("all memory for replies is in use")
)

// replyMemory bounds the bytes that the replies of all calls hold together, so
// that many faulty searchers at once can't use up the memory of the process.
type replyMemory struct {
	limit int64 // bytes
	used  atomic.Int64
}

// take reserves n bytes and reports whether they were available.
func (m *replyMemory) take(n int64) bool {
	for {
		used := m.used.Load()
		if used+n > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (m *replyMemory) release(n int64) { m.used.Add(-n) }

// headLimiter bounds the bytes that are read from a connection for the head of a
// response. Only the reader goroutine of the connection uses it.
type headLimiter struct {
	r       io.Reader
	limited bool
	left    int // bytes, while limited
}

func (l *headLimiter) begin() { l.limited, l.left = true, maxReplyHead }
func (l *headLimiter) end()   { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// readReply reads the reply to a request and skips replies to other requests. It
// records in the exchange what the searcher states about itself.
func (c *conn) readReply(x *exchange) (reply *Reply, keep bool, err error) {
	keep = true
	for range maxForeignReplies + 1 {
		resp, err := c.readResponse(x)
		if err != nil {
			return nil, false, err
		}
		meta := c.wire.ParseHeader(resp.StatusCode, resp.Header)
		own := meta.RequestID == x.call.ID || meta.RequestID == "" && meta.Signature == ""
		x.notice.Leaving = x.notice.Leaving || meta.Notice.Leaving
		if own {
			x.notice.Pause = meta.Notice.Pause
		}
		body, charged, err := c.readBody(x, resp)
		if err != nil {
			return nil, false, err
		}
		keep = keep && !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
		switch {
		case !own:
			c.memory.release(charged)
			keep = false
		case meta.RequestID == "" && c.requests() > 1:
			// It may be a delayed copy of a refusal of an earlier request.
			c.memory.release(charged)
			return nil, false, errUnidentified
		default:
			c.parseKeepAlive(resp.Header)
			return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Signature: meta.Signature, meta: meta, charged: charged}, keep, nil
		}
	}
	return nil, false, errForeign
}

// readResponse reads the head of the next final response.
func (c *conn) readResponse(x *exchange) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		c.in.begin()
		resp, err := http.ReadResponse(c.br, &http.Request{Method: x.call.Method})
		c.in.end()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, errInterim
}

// readBody reads the body of a response. It returns the bytes that are charged to
// the memory for replies.
func (c *conn) readBody(x *exchange, resp *http.Response) (body []byte, charged int64, err error) {
	limit := int64(maxReplySize)
	if x.call.Route.Gather != nil {
		limit = maxPartSize
	}
	length := resp.ContentLength
	if length > limit {
		return nil, 0, errBodyTooLarge
	}
	size := int64(firstBodyBuffer)
	if length >= 0 {
		size = min(size, length)
	}
	defer func() {
		if err != nil {
			c.memory.release(charged)
		}
	}()
	body = make([]byte, 0, size)
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			larger := min(2*size, limit+1)
			switch {
			case larger <= size:
				return nil, charged, errBodyTooLarge
			case !c.memory.take(larger - size):
				return nil, charged, errMemoryLimited
			}
			charged, size = charged+larger-size, larger
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && int64(len(body)) > limit:
			return nil, charged, errBodyTooLarge
		case err == io.EOF:
			return body, charged, nil
		case err != nil:
			return nil, charged, err
		}
	}
	return body, charged, nil
}

// parseKeepAlive sets idleUntil from the timeout in the Keep-Alive header.
func (c *conn) parseKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			c.mu.Lock()
			c.idleUntil = time.Now().Add(time.Duration(min(seconds, maxKeepAlive))*time.Second - idleMargin)
			c.mu.Unlock()
		}
	}
}
