package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that have been idle for longer than a
// limit, which may change while the process runs. Abandoned connections would
// otherwise use up the process's file descriptors.
type idleCloser struct {
	limit func() time.Duration // 0 for no limit

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// changed is the ConnState hook of an http.Server.
func (i *idleCloser) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if limit := i.limit(); state == http.StateIdle && limit > 0 {
		var t *time.Timer
		t = time.AfterFunc(limit, func() { i.expired(c, &t) })
		i.timers[c] = t
	}
}

// expired closes a connection unless its timer was replaced meanwhile.
func (i *idleCloser) expired(c net.Conn, t **time.Timer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == *t {
		delete(i.timers, c)
		_ = c.Close()
	}
}
