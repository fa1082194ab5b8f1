package intakerun

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	gate *Gate
	id   intake.ID
	head atomic.Int64 // memory that the head of the request took, in bytes

	mu      sync.Mutex
	refused *verdict.Error // nil unless the request was refused
	quiet   bool           // refused without a response
	leaving bool           // counted in Gate.leaving
	closed  bool           // Close was called; nothing subtracts from Gate.leaving any more
	body    *body          // of the request in progress, nil if it has none or was read
}

// Read implements net.Conn. The bytes of a head are charged here, those of a body in the
// body of the request.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.refusal(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if refusal := c.refusal(); refusal != nil {
		return 0, refusal
	}
	if n > 0 && c.gate.receivingHead(c) {
		head := headOf(b[:n])
		cost := intake.HeadCost(len(head), bytes.Count(head, []byte{'\n'}))
		c.head.Add(cost)
		if err := c.gate.receive(c, n, cost); err != nil {
			return 0, err
		}
	}
	return n, err
}

// answerPiece is the part of an answer in bytes that a client must take within
// Config.AnswerStall. It fits the send buffer that a connection begins with.
const answerPiece = 16 << 10

// Write implements net.Conn. It fails if the client does not take the bytes in time.
func (c *Conn) Write(b []byte) (written int, err error) {
	defer c.gate.answer(c, true)
	for written < len(b) && err == nil {
		c.gate.answer(c, false)
		if stall := c.gate.cfg.AnswerStall; stall > 0 {
			_ = c.Conn.SetWriteDeadline(time.Now().Add(stall)) // a connection that is closed ends its writes as well
		}
		var n int
		n, err = c.Conn.Write(b[written:min(written+answerPiece, len(b))])
		written += n
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.count(Unread, 1)
	}
	return written, err
}

// headOf returns the part of the received bytes up to the empty line that ends a head. The
// rest is the beginning of a body, which stays in a buffer of the server. An empty line
// that arrives in two parts is not found, and the bytes after it count as a head.
func headOf(received []byte) []byte {
	end := len(received)
	for _, empty := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(received[:end], []byte(empty)); i >= 0 {
			end = i + len(empty)
		}
	}
	return received[:end]
}

// receivingHead reports whether bytes that arrive on a connection belong to a head.
func (g *Gate) receivingHead(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.ledger.PhaseOf(c.id) {
	case intake.Waiting:
		g.ledger.Enter(c.id, intake.Head, time.Now())
		return true
	case intake.Head:
		return true
	default:
		return false
	}
}

// SetReadDeadline implements net.Conn. The deadline of a refused connection stays in the
// past, whatever the server sets.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.closed(c)
	c.endBody()
	c.mu.Lock()
	c.closed = true
	if c.leaving {
		c.leaving = false
		c.gate.leaving.Add(-1)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// refuse ends the reads of a connection with an error. The client gets a response if few
// others are being told at this moment and its head is small. The server keeps the head
// while it waits for the client to read the response.
func (c *Conn) refuse(code verdict.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused != nil || c.closed {
		return
	}
	c.refused = intake.Refusal(code)
	if c.head.Load() <= intake.FreeCharge {
		if c.gate.leaving.Add(1) <= politeRefusals {
			c.leaving = true
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a connection that is closed ends its reads as well
			return
		}
		c.gate.leaving.Add(-1)
	}
	c.quiet = true
	_ = c.Conn.Close()
}

// cut closes a connection on which no complete request is waiting for its answer.
func (c *Conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused, c.quiet = intake.Refusal(intake.CodeMemory), true
		_ = c.Conn.Close()
	}
}

func (c *Conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		return nil
	}
	return refusalError{c.refused}
}

// ended returns the error of a connection that the ledger does not know any more.
func (c *Conn) ended() error {
	if err := c.refusal(); err != nil {
		return err
	}
	return refusalError{intake.Refusal(intake.CodeMemory)}
}

// silent reports whether the connection was closed without a response.
func (c *Conn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiet
}

// endBody ends the supervision of the body of the request in progress.
func (c *Conn) endBody() {
	c.mu.Lock()
	b := c.body
	c.body = nil
	c.mu.Unlock()
	if b != nil {
		b.stop()
	}
}

// body is the body of a request that charges what is read. It is supervised until it was
// read, or until the server is done with the request: after a handler that did not read a
// body, the server reads the rest of a small one before it responds.
type body struct {
	io.ReadCloser
	conn  *Conn
	timer *time.Timer

	mu    sync.Mutex
	since time.Time // start of the period in which progress is due
	ended bool
}

func newBody(r io.ReadCloser, c *Conn) *body {
	_ = c.gate.enter(c, intake.Body) // a read fails if the request was refused
	// The period begins after the phase in the ledger, which would otherwise count as
	// progress in it.
	b := &body{ReadCloser: r, conn: c, since: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(c.gate.cfg.BodyStall, b.expired)
	c.mu.Lock()
	c.body = b
	c.mu.Unlock()
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if refusal := b.conn.refusal(); refusal != nil {
		return 0, refusal
	}
	if n > 0 {
		if err := b.conn.gate.receive(b.conn, n, intake.BodyCost(n)); err != nil {
			return 0, err
		}
	}
	if err == io.EOF {
		b.conn.endBody()
		if refusal := b.conn.gate.enter(b.conn, intake.Complete); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// expired ends a period in which the body must have made progress.
func (b *body) expired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.conn.gate.checkStalled(b.conn, b.since) {
		return
	}
	b.since = time.Now()
	b.timer.Reset(b.conn.gate.cfg.BodyStall)
}

// stop ends the supervision of the body.
func (b *body) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
}
