package forwardrun

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/httpanswer"
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
	// maxInterimResponses bounds the interim responses before the final one.
	maxInterimResponses = 8
	// maxForeignReplies is how many replies to other requests are skipped. A
	// faulty searcher may send a reply twice, and the second one arrives where
	// the next reply is expected.
	maxForeignReplies = 2
	// firstBodyBuffer is the size in bytes of the first buffer for a body. It holds the
	// replies of most shards and is not charged to the memory for replies: when faulty
	// searchers have used that up, the good ones still answer.
	firstBodyBuffer = 4 << 10
	// headStep is the part of a head in bytes for which memory is charged at a time. The
	// first one is free: it fits the buffer of the connection, and most heads are smaller.
	headStep = readBufferSize
	// headExpansion is the memory that a head takes in relation to its bytes. A field of
	// four bytes becomes an entry of a map, its name and a list of values.
	headExpansion = 32
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

// Charge is memory for replies that is in use until Release. It is not safe for
// concurrent use.
type Charge struct {
	memory *replyMemory
	bytes  int64
}

// NewCharge returns an empty charge on the memory for replies.
func (e *Engine) NewCharge() *Charge { return &Charge{memory: &e.memory} }

// Take reserves more bytes and reports whether they were available.
func (c *Charge) Take(n int64) bool {
	if !c.memory.take(n) {
		return false
	}
	c.bytes += n
	return true
}

// Release returns all bytes. The charge may be nil or released already.
func (c *Charge) Release() {
	if c == nil {
		return
	}
	c.memory.release(c.bytes)
	c.bytes = 0
}

// headLimiter bounds the bytes that are read from a connection for the head of a
// response, and charges the memory that a large head takes. Only the reader goroutine of
// the connection uses it.
type headLimiter struct {
	r       io.Reader
	memory  *replyMemory
	limited bool
	left    int   // bytes, while limited
	free    int   // of these, bytes that need no further charge
	charged int64 // bytes of the memory for replies
}

func (l *headLimiter) begin() { l.limited, l.left, l.free = true, maxReplyHead, headStep }
func (l *headLimiter) end()   { l.limited = false }

// takeCharge returns what the heads since the last call were charged. The caller
// releases it.
func (l *headLimiter) takeCharge() int64 {
	n := l.charged
	l.charged = 0
	return n
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	if l.free <= 0 {
		if !l.memory.take(headStep * headExpansion) {
			return 0, errMemoryLimited
		}
		l.charged += headStep * headExpansion
		l.free = headStep
	}
	n, err := l.r.Read(b[:min(len(b), l.left, l.free)])
	l.left -= n
	l.free -= n
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
		charged += c.in.takeCharge()
		if err != nil {
			c.memory.release(charged)
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
		switch {
		case err != nil:
		case httpanswer.Final(resp.StatusCode):
			return resp, nil
		case !httpanswer.Interim(resp.StatusCode):
			err = httpanswer.NotAnAnswer(resp.StatusCode)
		}
		if err != nil {
			c.memory.release(c.in.takeCharge())
			return nil, err
		}
	}
	return nil, errInterim
}

// readBody reads the body of a response. It returns the bytes that are charged to
// the memory for replies, also after an error; the caller releases them.
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
	body = make([]byte, 0, size)
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			larger := min(2*size, limit+1)
			if length >= 0 {
				larger = min(larger, length)
			}
			switch {
			case larger <= size:
				return nil, charged, errBodyTooLarge
			case !c.memory.take(larger):
				return nil, charged, errMemoryLimited
			}
			body = append(make([]byte, 0, larger), body...)
			c.memory.release(charged) // of the smaller buffer
			charged, size = larger, larger
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
