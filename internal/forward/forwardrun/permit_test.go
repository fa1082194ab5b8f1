package forwardrun

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// revoke returns a permit that holds until the key is dropped.
func revoke(c *Call) (drop func()) {
	var dropped atomic.Bool
	c.Permit = func() *verdict.Error {
		if dropped.Load() {
			return verdict.New(verdict.NotRun, accounts.CodeUnknownKey, "the key was dropped")
		}
		return nil
	}
	return func() { dropped.Store(true) }
}

// waiting returns the number of runs that wait for a searcher of a service.
func waiting(e *Engine, name string) int {
	s := e.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// Guards against a key that is dropped while its request waits for a searcher and that
// still runs, and against requests that wait behind it for good because it took their turn.
func TestKeyDroppedInTheQueue(t *testing.T) {
	working, finish := make(chan string, 8), make(chan struct{})
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool {
		working <- id
		<-finish
		return write(c, reply(id, "body"))
	})
	spec := s.spec("t")
	spec.Capacity = 1
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {spec}})
	ended := make(chan *verdict.Error, 3)
	do := func(c *Call) {
		go func() {
			_, err := e.Do(context.Background(), c)
			ended <- err
		}()
	}
	do(call("first", true))
	require.Equal(t, "first", <-working)
	revoked := call("revoked", true)
	revoked.Deadline = revoked.Deadline.Add(-time.Second) // its turn is before that of "last"
	drop := revoke(revoked)
	do(revoked)
	require.Eventually(t, func() bool { return waiting(e, "a") == 1 }, testTimeout, time.Millisecond)
	do(call("last", true))
	require.Eventually(t, func() bool { return waiting(e, "a") == 2 }, testTimeout, time.Millisecond)
	drop()
	close(finish)
	require.Equal(t, "last", <-working, "the next request takes the turn")
	var failures []*verdict.Error
	for range 3 {
		if err := <-ended; err != nil {
			failures = append(failures, err)
		}
	}
	require.Len(t, failures, 1)
	require.Equal(t, accounts.CodeUnknownKey, failures[0].Code)
	require.Equal(t, verdict.NotRun, failures[0].Verdict)
	require.Equal(t, 2, s.count())
}

// Guards against a key that is dropped before a retry and that still runs, and against a
// caller that waits until its deadline for an answer which is already known.
func TestKeyDroppedBeforeARetry(t *testing.T) {
	c := call("id", true)
	drop := revoke(c)
	s := startSearcher(t, func(_ int, id string, nc net.Conn) bool {
		drop()
		return write(nc, "HTTP/1.1 503 Service Unavailable\r\nId: "+id+"\r\nNot-Run: 1\r\nPause: 10s\r\nContent-Length: 0\r\n\r\n")
	})
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
	_, err := e.Do(context.Background(), c)
	require.NotNil(t, err)
	require.Equal(t, accounts.CodeUnknownKey, err.Code, "and not the pause")
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Equal(t, 1, s.count())
}
