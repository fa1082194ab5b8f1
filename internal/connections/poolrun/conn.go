package poolrun

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

var errWritesSealed = errors.New("writes to the connection were sealed")

// Conn is a pooled connection that records how many bytes of requests may have
// left this host. It occupies one slot of its pool until it is closed.
type Conn struct {
	net.Conn
	pool     *Pool
	openedAt time.Time

	closeOnce sync.Once

	mu      sync.Mutex
	written uint64 // bytes written or being written
	sealed  bool
}

// Write counts the bytes before it writes them, so Written never reports less
// than the peer may have received.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errWritesSealed
	}
	c.written += uint64(len(b))
	c.mu.Unlock()

	n, err := c.Conn.Write(b)
	if n < len(b) {
		c.mu.Lock()
		c.written -= uint64(len(b) - n)
		c.mu.Unlock()
	}
	return n, err
}

// Written returns the number of bytes that were written or are being written.
func (c *Conn) Written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// SealWrites makes every later Write fail and returns the number of bytes
// written. When a request fails, net/http may still be about to write; after
// SealWrites the number can't change.
func (c *Conn) SealWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Close closes the connection and returns its slot to the pool.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.pool.connClosed)
	return err
}

// alive reports whether a connection that has carried no request yet is still
// usable. If the peer has closed it, a read returns end of file. Without this
// check the first request would be written to a dead connection and would have
// to be reported as may_have_run.
func (c *Conn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var readErr error
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), buf[:])
		return true
	})
	if err != nil || n > 0 {
		return false
	}
	return errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EINTR)
}
