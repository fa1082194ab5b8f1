package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener closes connections above a limit and delays new ones by a
// set-up time.
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
		if l.take() {
			return &limitedConn{Conn: conn, listener: l, ready: time.Now().Add(l.setup)}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) take() bool {
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

// Read waits out the set-up time before the first byte is read.
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
