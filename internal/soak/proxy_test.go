package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fault is what a proxy does to its connections. The zero value forwards them
// unchanged.
type fault struct {
	delay   time.Duration // before each chunk is forwarded
	refuse  bool          // new connections are reset
	silent  bool          // no bytes are forwarded
	oneWay  bool          // no bytes are forwarded from the target
	resetIn int           // connections are reset within this many chunks in either direction, 0 for never
}

// proxy forwards connections from hosts to one target.
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

func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) currentFault() fault {
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

func (p *proxy) track(c net.Conn) bool {
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
		if p.currentFault().refuse {
			reset(c)
			continue
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(c)
			continue
		}
		if p.track(c) && p.track(up) {
			go p.forward(c, up, false)
			go p.forward(up, c, true)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (p *proxy) forward(from, to net.Conn, fromTarget bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 16<<10)
	for chunk := 1; ; chunk++ {
		n, err := from.Read(buf)
		f := p.currentFault()
		if f.silent || f.oneWay && fromTarget {
			if err != nil {
				return
			}
			continue
		}
		if f.resetIn > 0 && chunk%f.resetIn == 0 {
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
