package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener closes new connections above a limit and delays the others by a
// setup time.
type limitListener struct {
	net.Listener
	limit int
	setup time.Duration

	mu   sync.Mutex
	open int
	peak int
}

func newLimitListener(ln net.Listener, limit int, setup time.Duration) *limitListener {
	return &limitListener{Listener: ln, limit: limit, setup: setup}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitedConn{Conn: conn, listener: l, ready: time.Now().Add(l.setup)}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	l.peak = max(l.peak, l.open)
	return true
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

func (l *limitListener) maxOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

type limitedConn struct {
	net.Conn
	listener *limitListener
	ready    time.Time
	setup    sync.Once
	once     sync.Once
}

// Read waits until the setup time has passed before it reads the first byte.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.setup.Do(func() {
		if d := time.Until(c.ready); d > 0 {
			time.Sleep(d)
		}
	})
	return c.Conn.Read(p)
}

// Close releases the connection's place within the limit.
func (c *limitedConn) Close() error {
	c.once.Do(c.listener.release)
	return c.Conn.Close()
}
