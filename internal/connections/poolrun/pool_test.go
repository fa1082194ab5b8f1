package poolrun

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var testAddress = netip.MustParseAddrPort("10.0.0.1:9")

// fakeTarget counts its connections. Each counts from the start of its set-up
// until one latency after its close, when the target learns of the close.
type fakeTarget struct {
	setup, latency, service time.Duration
	dialErr                 error

	mu      sync.Mutex
	open    int
	maxOpen int
	dials   int
}

func (f *fakeTarget) dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	f.dials++
	if f.dialErr != nil {
		f.mu.Unlock()
		return nil, f.dialErr
	}
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	f.mu.Unlock()
	time.Sleep(f.setup)
	client, server := net.Pipe()
	go f.serve(server)
	return &closeWatch{Conn: client, closed: f.connClosed}, nil
}

// closeWatch calls closed on the first close of a connection.
type closeWatch struct {
	net.Conn
	once   sync.Once
	closed func()
}

func (c *closeWatch) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

func (f *fakeTarget) connClosed() {
	time.AfterFunc(f.latency, func() {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
	})
}

func (f *fakeTarget) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(f.service)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			break
		}
	}
	conn.Close()
}

func (f *fakeTarget) counts() (open, maxOpen, dials int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open, f.maxOpen, f.dials
}

func (f *fakeTarget) resetMax() {
	f.mu.Lock()
	f.maxOpen = f.open
	f.mu.Unlock()
}

func request(ctx context.Context, p *Pool) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+testAddress.String()+"/", nil)
	if err != nil {
		return err
	}
	resp, err := p.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func newTarget() *fakeTarget {
	return &fakeTarget{setup: 6 * time.Millisecond, latency: time.Millisecond, service: 20 * time.Millisecond}
}

func newPool(f *fakeTarget, spare int) *Pool {
	return New(testAddress, Config{Spare: spare, Dial: f.dial}, eventlog.Nop())
}

func closePool(t *testing.T, p *Pool) {
	p.SetShare(0)
	require.NoError(t, p.AwaitWithinShare(t.Context()))
	time.Sleep(time.Second) // lets the target's goroutines end
}

// Guards against more connections than the share, even for a moment, under any
// mix of requests, cancellations and changes of the share.
func TestShareIsNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newTarget()
			p := newPool(f, 2)
			var wg sync.WaitGroup
			for range 40 {
				share := 1 + rng.IntN(5)
				p.SetShare(share)
				require.NoError(t, p.AwaitWithinShare(t.Context()))
				f.resetMax()
				for range 12 {
					timeout := time.Duration(1+rng.IntN(60)) * time.Millisecond
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						defer cancel()
						_ = request(ctx, p)
					})
					time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
					_, maxOpen, _ := f.counts()
					require.LessOrEqual(t, maxOpen, share, "seed %d", seed)
				}
			}
			wg.Wait()
			closePool(t, p)
			open, _, _ := f.counts()
			require.Zero(t, open, "seed %d: connections leaked", seed)
			st := p.Stats()
			require.Zero(t, st.Open)
			require.Zero(t, st.InUse)
		})
	}
}

// Guards against a smaller share that leaves spare connections open or closes
// connections with a request in progress.
func TestSmallerShareClosesOnlyIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		p := newPool(f, 2)
		p.SetShare(4)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 2, p.Stats().Spare, "a new pool opens its spare connections")

		done := make(chan error, 2)
		for range 2 {
			go func() { done <- request(t.Context(), p) }()
		}
		time.Sleep(15 * time.Millisecond)
		require.Equal(t, 4, p.Stats().Open)
		p.SetShare(1)
		time.Sleep(f.latency + DefaultCloseSettle)
		require.Equal(t, 2, p.Stats().Open, "both spare connections are closed, both requests continue")
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		require.NoError(t, p.AwaitWithinShare(t.Context()))
		require.NoError(t, request(t.Context(), p))
		closePool(t, p)
	})
}

// Guards against a request that waits for connection set-up although the pool
// could have opened the connection in advance.
func TestDialsSpareConnectionsInAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		p := newPool(f, 1)
		p.SetShare(8)
		time.Sleep(10 * time.Millisecond)
		var wg sync.WaitGroup
		for range 3 { // each request needs one more connection
			wg.Go(func() {
				start := time.Now()
				require.NoError(t, request(t.Context(), p))
				require.Equal(t, f.service, time.Since(start))
			})
			time.Sleep(7 * time.Millisecond)
		}
		wg.Wait()
		st := p.Stats()
		require.EqualValues(t, 4, st.Dialed)
		require.EqualValues(t, 3, st.Handed)
		require.Equal(t, f.setup, st.SetupMax)
		require.Equal(t, 4*f.setup, st.SetupTotal)
		closePool(t, p)
	})
}

// Guards against unused connections that stay open, and against a pool that
// keeps redialing them.
func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		p := newPool(f, 2)
		p.SetShare(4)
		require.NoError(t, request(t.Context(), p))
		time.Sleep(2*DefaultIdleTimeout + time.Second)
		open, _, _ := f.counts()
		require.Zero(t, open)
		_, _, dials := f.counts()
		time.Sleep(time.Hour)
		_, _, later := f.counts()
		require.Equal(t, dials, later)
		require.NoError(t, request(t.Context(), p), "the pool works again when used")
		closePool(t, p)
	})
}

// Guards against a request that waits for a connection past its deadline, or
// then gets a verdict other than not_run.
func TestWaitForShareEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		f.service = time.Second
		p := newPool(f, -1)
		require.Equal(t, CodeNoShare, verdict.CodeOf(request(t.Context(), p)))
		p.SetShare(1)
		done := make(chan error, 1)
		go func() { done <- request(t.Context(), p) }()
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		err := request(ctx, p)
		require.Equal(t, 50*time.Millisecond, time.Since(start))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, CodeShareBusy, verdict.CodeOf(err))

		waiting := make(chan error, 1)
		go func() { waiting <- request(t.Context(), p) }()
		synctest.Wait()
		p.SetShare(0)
		require.Equal(t, CodeNoShare, verdict.CodeOf(<-waiting), "a share of zero ends the wait at once")
		require.NoError(t, <-done)
		closePool(t, p)
	})
}

// Guards against a dial storm to a target that is down, and against failed
// dials that keep their slots.
func TestFailedDialsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		f.dialErr = errors.New("refused")
		p := newPool(f, 2)
		p.SetShare(2)
		for range 50 {
			err := request(t.Context(), p)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			time.Sleep(time.Millisecond)
		}
		_, _, dials := f.counts()
		require.LessOrEqual(t, dials, 50+10, "one dial per request and a few spare dials")
		require.Zero(t, p.Stats().Open)
		f.mu.Lock()
		f.dialErr = nil
		f.mu.Unlock()
		require.NoError(t, request(t.Context(), p))
		closePool(t, p)
	})
}

// Guards against a request written to a connection that the target closed
// before its first use.
func TestDeadSpareIsNotUsed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := ln.Accept()
	require.NoError(t, err)
	c := &Conn{Conn: client}
	require.True(t, c.alive())
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool { return !c.alive() }, 10*time.Second, time.Millisecond)
}

// Guards against pools of removed targets that are never removed, and against
// removing a pool that still has connections.
func TestPoolsRemovesEmptyPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		s := NewPools(Config{Dial: f.dial}, eventlog.Nop())
		s.SetShare(testAddress, 2)
		rt, err := s.RoundTripper(testAddress)
		require.NoError(t, err)
		done := make(chan error, 1)
		go func() { done <- request(t.Context(), rt.(*Pool)) }()
		time.Sleep(10 * time.Millisecond)
		s.SetShare(testAddress, 0)
		require.Len(t, s.Stats(), 1)
		require.NoError(t, <-done)
		require.NoError(t, s.Close(t.Context()))
		time.Sleep(time.Second)
		require.Empty(t, s.Stats())
		_, err = s.RoundTripper(testAddress)
		require.Equal(t, CodeNoShare, verdict.CodeOf(err))
	})
}

// queueOnWrite is a log output that requests a connection while the failure of a
// spare dial is logged: the slot of the dial has been freed, but spareDials
// still counts the dial.
type queueOnWrite struct {
	pool   *Pool
	once   sync.Once
	result chan error
}

func (w *queueOnWrite) Write(b []byte) (int, error) {
	w.once.Do(func() {
		go func() {
			_, err := w.pool.dialContext(context.Background(), "tcp", testAddress.String())
			w.result <- err
		}()
		synctest.Wait()
	})
	return len(b), nil
}

// Guards against a request that waits for a spare dial that has already failed,
// and then fails with CodeShareBusy.
func TestRequestDoesNotWaitForFailedSpareDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTarget()
		f.dialErr = errors.New("refused")
		w := &queueOnWrite{result: make(chan error, 1)}
		p := New(testAddress, Config{Spare: 1, Dial: f.dial}, eventlog.New(w, zerolog.InfoLevel, "h"))
		w.pool = p
		p.SetShare(2) // starts a spare dial
		require.Equal(t, CodeDial, verdict.CodeOf(<-w.result))
		closePool(t, p)
	})
}
