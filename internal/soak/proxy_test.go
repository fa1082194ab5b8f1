package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fault is what a proxy does to the connections that pass it.
type fault struct {
	delay   time.Duration // before each piece of bytes
	refuse  bool          // new connections are reset
	silent  bool          // no bytes pass in either direction
	oneWay  bool          // no bytes pass from the target
	resetIn int           // connections are reset after this many pieces, 0 for never
}

// proxy stands between hosts and one target.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
	done  bool
}

func startProxy(t *testing.T, target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) get() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.get().refuse {
			reset(c)
			continue
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(c)
			continue
		}
		if p.keep(c) && p.keep(up) {
			go p.pass(c, up, false)
			go p.pass(up, c, true)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (p *proxy) pass(from, to net.Conn, answers bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 16<<10)
	for piece := 1; ; piece++ {
		n, err := from.Read(buf)
		f := p.get()
		if f.silent || f.oneWay && answers {
			if err != nil {
				return
			}
			continue
		}
		if f.resetIn > 0 && piece%f.resetIn == 0 {
			reset(from)
			reset(to)
			return
		}
		time.Sleep(f.delay)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
