package forwardrun

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Limits of a connection.
const (
	readBufferSize = 4 << 10 // bytes; holds the headers and most shards' replies
	// maxInlineWrite is the size up to which the goroutine of the run writes a
	// request itself. A larger write may block until the searcher reads.
	maxInlineWrite = 8 << 10
	// readGrace is how long after the caller's deadline a reply is awaited, so
	// that a searcher's own "deadline exceeded" still arrives and the
	// connection can be kept.
	readGrace = 150 * time.Millisecond
	// idleMargin is how long before the searcher's idle timeout a connection is
	// dropped, so that no request is sent while the searcher closes it.
	idleMargin = 700 * time.Millisecond
	// maxKeepAlive bounds the idle timeout in seconds that a searcher can state.
	maxKeepAlive = 24 * 60 * 60
)

// conn is a connection to a searcher. Its reader goroutine owns br; mu guards
// the fields below it.
type conn struct {
	net    net.Conn
	in     *headLimiter // over net
	br     *bufio.Reader
	wire   Wire
	memory *replyMemory
	opened time.Time
	// answered reports whether any reply arrived. The reader goroutine owns it
	// until it has released the connection.
	answered bool
	// lost reports whether the searcher ended the connection in the middle of a request or
	// before its idle time, or a write to it failed. It is owned like answered.
	lost bool

	// writing is held while a request is written that fits the socket's buffer, so
	// that the reader of a fast reply sees whether all of it was written.
	writing sync.Mutex

	mu        sync.Mutex
	current   *exchange // in flight
	sent      int       // requests
	written   bool      // the whole request was written
	broken    bool      // a write failed
	closed    bool
	idleUntil time.Time // when it is no longer used if idle; zero if unknown
	onRelease func(c *conn, reusable bool)
}

// exchange is the request and the reply of one attempt.
type exchange struct {
	*forward.Attempt
	call *Call
	// deadline is the time until which the searcher may work on the request.
	deadline time.Time
	done     func(x *exchange, result forward.Result)
	reply    *Reply
	conn     *conn
	// notice is what the searcher stated about itself. The reader goroutine of the
	// connection sets it before the exchange ends.
	notice forward.Notice
	// observed is what the response time said. It is set when the exchange has ended.
	observed workload.Observation

	mu        sync.Mutex
	abandoned bool
	timedOut  bool // the deadline passed without a complete reply
	ended     bool
}

// end reports the result, unless one was reported before.
func (x *exchange) end(result forward.Result, reply *Reply) {
	x.mu.Lock()
	if x.ended {
		x.mu.Unlock()
		return
	}
	x.ended = true
	if x.abandoned && result != forward.Good {
		result = forward.Abandoned
	}
	x.reply = reply
	x.mu.Unlock()
	x.done(x, result)
}

// abandon closes the connection of the exchange, which makes the searcher drop
// the request.
func (x *exchange) abandon() {
	x.mu.Lock()
	x.abandoned = true
	c := x.conn
	x.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// attach sets the connection of an exchange and reports whether the exchange
// may go on. It may not if it was abandoned.
func (x *exchange) attach(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.abandoned
}

func newConn(nc net.Conn, wire Wire, memory *replyMemory, onRelease func(*conn, bool)) *conn {
	in := &headLimiter{r: nc, memory: memory}
	return &conn{net: nc, in: in, br: bufio.NewReaderSize(in, readBufferSize), wire: wire, memory: memory, opened: time.Now(), onRelease: onRelease}
}

// requests returns the number of requests that were sent.
func (c *conn) requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// usable reports whether the searcher should still have the idle connection
// open.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.idleUntil.IsZero() || now.Before(c.idleUntil))
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.net.Close()
}

// send writes the request of an exchange. The reader goroutine reports the
// result.
func (c *conn) send(x *exchange) {
	if !x.attach(c) {
		c.endUnsent(x)
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.endUnsent(x)
		return
	}
	c.current, c.written = x, false
	c.sent++
	c.mu.Unlock()
	left := time.Until(x.deadline)
	_ = c.net.SetDeadline(time.Now().Add(left + readGrace))
	request := c.wire.AppendRequest(make([]byte, 0, 512+len(x.call.Body)), x.call, x.Searcher.Target, left)
	if len(request) > maxInlineWrite {
		go c.write(request)
		return
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.write(request)
}

// endUnsent ends an exchange whose request was not written, and closes the
// connection.
func (c *conn) endUnsent(x *exchange) {
	x.end(forward.Unsent, nil)
	c.close()
}

// write writes a request. If the write fails, it closes the connection, and the
// reader goroutine reports the result.
func (c *conn) write(request []byte) {
	if _, err := c.net.Write(request); err != nil {
		c.mu.Lock()
		c.broken = !c.closed && endedByPeer(err)
		c.mu.Unlock()
		c.close()
		return
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// read reads replies until the connection ends.
func (c *conn) read() {
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		x := c.current
		c.mu.Unlock()
		if x == nil {
			c.fail(errUnsolicited)
			return
		}
		reply, keep, err := c.readReply(x)
		if err != nil {
			c.fail(err)
			return
		}
		if !c.finish(x, reply, keep) {
			return
		}
	}
}

// awaitWrite waits until a write that was begun has ended.
func (c *conn) awaitWrite() {
	c.writing.Lock()
	defer c.writing.Unlock()
}

// finish reports the reply of an exchange and returns whether the connection
// stays open.
func (c *conn) finish(x *exchange, reply *Reply, keep bool) bool {
	c.answered = true
	c.awaitWrite()
	c.mu.Lock()
	// Bytes after the reply belong to no request, and a request that is not
	// written in full would be followed by the rest of its body.
	keep = keep && c.written && !c.closed && c.br.Buffered() == 0
	c.current = nil
	c.closed = c.closed || !keep
	c.mu.Unlock()
	if keep {
		_ = c.net.SetDeadline(time.Time{})
	} else {
		_ = c.net.Close()
	}
	c.onRelease(c, keep)
	x.end(classify(reply), reply)
	return keep
}

// fail closes the connection and ends its exchange in flight.
func (c *conn) fail(err error) {
	c.mu.Lock()
	x := c.current
	c.lost = c.broken || !c.closed && endedByPeer(err) && (x != nil || time.Now().Before(c.idleUntil))
	c.current = nil
	c.closed = true
	c.mu.Unlock()
	_ = c.net.Close()
	c.onRelease(c, false)
	if x == nil {
		return
	}
	x.mu.Lock()
	x.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	x.mu.Unlock()
	x.end(forward.Lost, nil)
}

// endedByPeer reports whether an error of a connection means that the other side ended it.
// Limits of this host and replies that it does not accept say nothing about the state of the
// searcher.
func endedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// statusMisdirected means that another searcher has the address.
const statusMisdirected = http.StatusMisdirectedRequest

// classify returns the result of an attempt that got a complete reply. A reply
// without the searcher's signature, or with an encoded body, does not come from
// the searcher itself and counts as lost, unless it states that the request did
// not run.
func classify(r *Reply) forward.Result {
	success, meta := r.Status >= 200 && r.Status < 300, r.meta
	switch {
	case r.Status == statusMisdirected:
		return forward.Misdirected
	case meta.NotRun && !success:
		return forward.Rejected
	case r.Header.Get("Content-Encoding") != "":
		return forward.Lost
	case meta.Signature == "":
		return forward.Lost
	case success:
		return forward.Good
	default:
		return forward.SearcherFailed
	}
}
