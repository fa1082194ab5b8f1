// Package intakerun applies the limits of package intake to the connections of an
// http.Server: it wraps its listener, its connections and its handler.
package intakerun

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// DefaultReceiveBuffer is the size in bytes that is asked for the receive buffer of a
// connection. The kernel doubles it for its own overhead, and would otherwise let it grow
// to several megabytes for a client whose bytes are not read. 32 KB in flight are
// 5 MB a second at a round trip of 6 ms.
const DefaultReceiveBuffer = 32 << 10

// politeRefusals is the number of connections at once that get a response when their
// request is refused. The server keeps each open for half a second after it, so that the
// client can read it; more of them are closed without a response.
const politeRefusals = 16

// Config configures a gate.
type Config struct {
	Limits intake.Limits
	// BodyStall is the time in which a body must make progress; see intake.Ledger.Stalled.
	BodyStall time.Duration
	// AnswerStall is the time in which a client must take 16 KB of its answer; 0 for no
	// limit.
	AnswerStall time.Duration
	// ReceiveBuffer is the size in bytes that is asked for the receive buffers of
	// connections; 0 for DefaultReceiveBuffer.
	ReceiveBuffer int
}

// Kind is a kind of refusal in the metrics.
type Kind int

// Kinds of refusals.
const (
	Memory      Kind = iota // requests in progress held too much memory
	Stalled                 // a body made no progress
	Connections             // there were too many connections
	Unread                  // a client did not take its answer
	kinds
)

// String returns the kind as it appears in the metrics.
func (k Kind) String() string { return [kinds]string{"memory", "stalled", "connections", "unread"}[k] }

// Kinds lists all kinds of refusals.
func Kinds() []Kind { return []Kind{Memory, Stalled, Connections, Unread} }

// Gate bounds what the clients of all its listeners use together. It is safe for
// concurrent use.
type Gate struct {
	cfg     Config
	log     *refusalLog
	refused [kinds]atomic.Int64
	leaving atomic.Int64 // connections whose clients are being told of a refusal

	mu     sync.Mutex
	ledger *intake.Ledger
	conns  map[intake.ID]*Conn
}

// New returns a gate.
func New(cfg Config, log *eventlog.Logger) *Gate {
	return &Gate{cfg: cfg, log: newRefusalLog(log), ledger: intake.NewLedger(cfg.Limits), conns: map[intake.ID]*Conn{}}
}

// Refused returns how many requests and connections were refused.
func (g *Gate) Refused(k Kind) int64 { return g.refused[k].Load() }

// Memory returns the memory in bytes that requests in progress are charged.
func (g *Gate) Memory() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Memory()
}

// Connections returns the number of connections of a listener.
func (g *Gate) Connections(listener string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Connections(listener)
}

// Listener wraps a listener, whose connections then count towards the limits.
func (g *Gate) Listener(name string, ln net.Listener, limits intake.ListenerLimits) net.Listener {
	limitReceiveBuffer(ln, cmp.Or(g.cfg.ReceiveBuffer, DefaultReceiveBuffer))
	return &listener{Listener: ln, gate: g, name: name, limits: limits}
}

type listener struct {
	net.Listener
	gate   *Gate
	name   string
	limits intake.ListenerLimits
}

// Accept waits for the next connection that is within the limits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(l.name, l.limits, raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (g *Gate) open(name string, limits intake.ListenerLimits, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, gate: g}
	g.mu.Lock()
	id, closed, ok := g.ledger.Open(name, addressOf(raw), limits, time.Now())
	victims := g.take(closed)
	if ok {
		c.id = id
		g.conns[id] = c
	}
	g.mu.Unlock()
	for _, v := range victims {
		v.cut()
	}
	if n := len(victims); n > 0 {
		g.count(Connections, n)
	}
	if !ok {
		g.count(Connections, 1)
		return nil
	}
	return c
}

func addressOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// take removes connections that the ledger has removed, and returns them.
func (g *Gate) take(ids []intake.ID) []*Conn {
	var out []*Conn
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			delete(g.conns, id)
			out = append(out, c)
		}
	}
	return out
}

func (g *Gate) count(k Kind, n int) {
	g.refused[k].Add(int64(n))
	g.log.add(k, n)
}

// receive charges bytes of a request. It returns an error if the request is refused.
func (g *Gate) receive(c *Conn, bytes int, cost int64) error {
	g.mu.Lock()
	ids, ok := g.ledger.Receive(c.id, bytes, cost, time.Now())
	victims := g.take(ids)
	known := g.conns[c.id] == c
	if !ok {
		delete(g.conns, c.id)
	}
	g.mu.Unlock()
	for _, v := range victims {
		v.refuse(intake.CodeMemory)
	}
	if n := len(victims); n > 0 {
		g.count(Memory, n)
	}
	switch {
	case ok:
		return nil
	case known:
		g.count(Memory, 1)
		c.refuse(intake.CodeMemory)
	}
	return c.ended()
}

// enter records the phase of a connection. It returns an error if the request on it has
// been refused, after which it must not run.
func (g *Gate) enter(c *Conn, p intake.Phase) error {
	g.mu.Lock()
	known := g.conns[c.id] == c
	g.ledger.Enter(c.id, p, time.Now())
	g.mu.Unlock()
	if known {
		return nil
	}
	return c.ended()
}

// answer records that a part of an answer is about to be written, or that the client has
// taken all that was. It has no effect on a refused connection, whose client is told so.
func (g *Gate) answer(c *Conn, taken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Answer(c.id, taken, time.Now())
}

// closed records that the memory of a request is no longer in use.
func (g *Gate) closed(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(c.id)
	if g.conns[c.id] == c {
		delete(g.conns, c.id)
	}
}

// checkStalled refuses the request on a connection if its body has made no progress since
// a time.
func (g *Gate) checkStalled(c *Conn, since time.Time) (stalled bool) {
	g.mu.Lock()
	stalled = g.ledger.EndPeriod(c.id, since)
	if stalled {
		delete(g.conns, c.id)
	}
	g.mu.Unlock()
	if stalled {
		g.count(Stalled, 1)
		c.refuse(intake.CodeStalled)
	}
	return stalled
}

type connKey struct{}

// ConnContext is a hook of an http.Server, which Handler needs.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// StateChanged is the ConnState hook of an http.Server: the memory of a request is
// returned once it was answered.
func StateChanged(c net.Conn, state http.ConnState) {
	if own, ok := c.(*Conn); ok && state == http.StateIdle {
		own.endBody()
		own.head.Store(0)
		_ = own.gate.enter(own, intake.Waiting) // the next read of a refused connection fails
	}
}

// Handler wraps the handler of an http.Server, so that bodies are charged as they are
// read. The error of a read of a refused request is a *verdict.Error with a code of
// package intake, and the handler responds to it.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			if c.gate.enter(c, intake.Complete) != nil {
				panic(http.ErrAbortHandler) // closed while the end of its head was read
			}
		} else {
			r.Body = newBody(r.Body, c)
		}
		h.ServeHTTP(w, r)
		if c.refusal() != nil {
			c.gate.closed(c)
		}
		if c.silent() {
			// Ends the connection at once; the server would otherwise keep it, and the
			// head, for half a second.
			panic(http.ErrAbortHandler)
		}
	})
}

// refusalError is what a read of a refused request returns. It is a timeout to the server,
// which then closes a connection without a response if the head is incomplete.
type refusalError struct{ reason *verdict.Error }

func (e refusalError) Error() string   { return e.reason.Error() }
func (e refusalError) Timeout() bool   { return true }
func (e refusalError) Temporary() bool { return false }
func (e refusalError) Unwrap() error   { return e.reason }
