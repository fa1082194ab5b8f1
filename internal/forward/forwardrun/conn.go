package forwardrun

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// Bounds of one connection.
const (
	readBuffer = 4 << 10 // bytes; an answer's headers and most parts fit
	// maxReply bounds a searcher's answer in bytes.
	maxReply = 16 << 20
	// maxForeign is how many answers to other requests are skipped. A faulty
	// searcher may send an answer twice, and the second one arrives where the
	// next answer is expected.
	maxForeign = 2
	// inlineWrite is the size up to which a request is written by the goroutine
	// of the run. A larger one may have to wait for the searcher to read.
	inlineWrite = 8 << 10
	// readGrace is how much longer than the caller's deadline an answer is
	// awaited, so that a searcher's own "deadline exceeded" still arrives and
	// the connection can be kept.
	readGrace = 150 * time.Millisecond
	// idleMargin is how much earlier than the searcher an idle connection is
	// given up, so that no request crosses its close.
	idleMargin = 700 * time.Millisecond
)

// conn is a connection to a searcher. Its reader goroutine owns br; the fields
// below mu are shared.
type conn struct {
	net    net.Conn
	br     *bufio.Reader
	wire   Wire
	opened time.Time
	// answered says that an answer came. The reader goroutine owns it until it
	// has released the connection.
	answered bool

	mu       sync.Mutex
	sending  *sending // in progress
	written  bool     // the whole request was written
	closed   bool
	idleEnd  time.Time // when the searcher may close it for being idle; zero if unknown
	released func(c *conn, reusable bool)
}

// sending is one attempt on its way.
type sending struct {
	*forward.Attempt
	call  *Call
	done  func(s *sending, result forward.Result)
	reply *Reply
	conn  *conn

	mu        sync.Mutex
	abandoned bool
	timedOut  bool // nothing came until the deadline
	ended     bool
}

// end reports the result once.
func (s *sending) end(result forward.Result, reply *Reply) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	if s.abandoned && result != forward.Good {
		result = forward.Abandoned
	}
	s.reply = reply
	s.mu.Unlock()
	s.done(s, result)
}

// abandon closes the attempt's connection, which makes the searcher drop the
// request.
func (s *sending) abandon() {
	s.mu.Lock()
	s.abandoned = true
	c := s.conn
	s.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// attach notes the connection of an attempt, unless it was abandoned before.
func (s *sending) attach(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = c
	return !s.abandoned
}

func newConn(nc net.Conn, wire Wire, released func(*conn, bool)) *conn {
	return &conn{net: nc, br: bufio.NewReaderSize(nc, readBuffer), wire: wire, opened: time.Now(), released: released}
}

// usable reports whether the searcher still keeps the idle connection.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.idleEnd.IsZero() || now.Before(c.idleEnd))
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.net.Close()
}

// send writes the request of an attempt. The reader reports the result.
func (c *conn) send(s *sending) {
	if !s.attach(c) {
		c.refuse(s)
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.refuse(s)
		return
	}
	c.sending, c.written = s, false
	c.mu.Unlock()
	left := time.Until(s.call.Deadline)
	_ = c.net.SetDeadline(time.Now().Add(left + readGrace))
	request := c.wire.AppendRequest(make([]byte, 0, 512+len(s.call.Body)), s.call, s.Searcher.Target, left)
	if len(request) > inlineWrite {
		go c.write(request)
		return
	}
	c.write(request)
}

// refuse ends an attempt that was not written.
func (c *conn) refuse(s *sending) {
	s.end(forward.Unsent, nil)
	c.close()
}

// write writes a request. A failed write closes the connection, and the reader
// reports what that means for the attempt.
func (c *conn) write(request []byte) {
	if _, err := c.net.Write(request); err != nil {
		c.close()
		return
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// read reads answers until the connection ends.
func (c *conn) read() {
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		s := c.sending
		c.mu.Unlock()
		if s == nil {
			c.fail(errUnsolicited)
			return
		}
		reply, keep, err := c.readReply(s)
		if err != nil {
			c.fail(err)
			return
		}
		if !c.finish(s, reply, keep) {
			return
		}
	}
}

// Reasons why a connection is given up.
var (
	errUnsolicited = errors.New("the searcher sent bytes that no request waits for")
	errForeign     = errors.New("the searcher sent answers to other requests")
)

// readReply reads the answer to a request and skips answers to others.
func (c *conn) readReply(s *sending) (reply *Reply, keep bool, err error) {
	keep = true
	for range maxForeign + 1 {
		resp, err := c.readResponse(s)
		if err != nil {
			return nil, false, err
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
		if err != nil || len(body) > maxReply {
			return nil, false, errors.CombineErrors(err, errors.Newf("answer of %d bytes", len(body)))
		}
		keep = keep && !resp.Close && resp.ContentLength >= 0 || keep && !resp.Close && len(resp.TransferEncoding) > 0
		meta := c.wire.ParseHeader(resp.Header)
		if meta.RequestID == "" && meta.Signature == "" || meta.RequestID == s.call.ID {
			c.noteIdle(resp.Header)
			return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Signature: meta.Signature}, keep, nil
		}
		keep = false
	}
	return nil, false, errForeign
}

// readResponse reads the next final response.
func (c *conn) readResponse(s *sending) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: s.call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// noteIdle reads after how many idle seconds the searcher closes the
// connection.
func (c *conn) noteIdle(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			c.mu.Lock()
			c.idleEnd = time.Now().Add(time.Duration(seconds)*time.Second - idleMargin)
			c.mu.Unlock()
		}
	}
}

// finish hands a reply over and reports whether the connection goes on.
func (c *conn) finish(s *sending, reply *Reply, keep bool) bool {
	c.answered = true
	c.mu.Lock()
	// Bytes behind the answer belong to no request, and a request that is not
	// written in full would be followed by the rest of its body.
	keep = keep && c.written && !c.closed && c.br.Buffered() == 0
	c.sending = nil
	c.closed = c.closed || !keep
	c.mu.Unlock()
	if keep {
		_ = c.net.SetDeadline(time.Time{})
	} else {
		_ = c.net.Close()
	}
	c.released(c, keep)
	s.end(classify(reply, c.wire.ParseHeader(reply.Header)), reply)
	return keep
}

// fail ends the connection and the attempt in progress.
func (c *conn) fail(err error) {
	c.mu.Lock()
	s := c.sending
	c.sending = nil
	c.closed = true
	c.mu.Unlock()
	_ = c.net.Close()
	c.released(c, false)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	s.mu.Unlock()
	s.end(forward.Lost, nil)
}

// statusMisdirected says that another searcher is at the address.
const statusMisdirected = http.StatusMisdirectedRequest

// classify returns the result of an attempt that got a whole answer. A success
// without the searcher's signature, or with an encoded body, is not the
// searcher's answer.
func classify(r *Reply, meta ReplyMeta) forward.Result {
	success := r.Status >= 200 && r.Status < 300
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
