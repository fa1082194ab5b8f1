package entryrun

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// InFlight counts the requests in progress, for a graceful stop, and ends them when the
// stop can wait no longer. It is safe for concurrent use.
type InFlight struct {
	n      atomic.Int64
	ending context.Context
	end    context.CancelFunc

	stopping atomic.Bool // EndBy was called

	mu    sync.Mutex
	timer *time.Timer // ends the requests; nil until EndBy
}

// NewInFlight returns a count of 0.
func NewInFlight() *InFlight {
	f := &InFlight{}
	f.ending, f.end = context.WithCancel(context.Background())
	return f
}

// Begin counts a request until the returned function is called.
func (f *InFlight) Begin() (end func()) {
	f.n.Add(1)
	return func() { f.n.Add(-1) }
}

// Count returns the number of requests in progress.
func (f *InFlight) Count() int { return int(f.n.Load()) }

// EndBy sets the time at which Ending ends. An earlier time replaces a later one.
func (f *InFlight) EndBy(at time.Time) {
	f.stopping.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(time.Until(at), f.end)
}

// Stopping reports whether the end of the requests in progress is set. It is true before the
// host's phase changes for other goroutines.
func (f *InFlight) Stopping() bool { return f.stopping.Load() }

// Ending returns a context that ends when requests in progress must be answered with
// what is known about them, because the host is about to exit.
func (f *InFlight) Ending() context.Context { return f.ending }

// explain returns the error of a request whose context Bind made from ctx. If the
// request failed because the host is about to exit, the error says so.
func (f *InFlight) explain(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil || f.ending.Err() == nil {
		return err
	}
	return verdict.Wrap(err, verdict.Of(err), verdict.CodeHostStops, "this host stops")
}

// Bind returns a context for the work on a request that ends with ctx or with Ending,
// whichever is first.
func (f *InFlight) Bind(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(f.ending, cancel)
	return bound, func() {
		stop()
		cancel()
	}
}
