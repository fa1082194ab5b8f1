package entryrun

import "sync/atomic"

// InFlight counts the requests in progress, for a graceful shutdown.
type InFlight struct{ n atomic.Int64 }

// Begin counts a request until the returned function is called.
func (f *InFlight) Begin() (end func()) {
	f.n.Add(1)
	return func() { f.n.Add(-1) }
}

// Count returns the number of requests in progress.
func (f *InFlight) Count() int { return int(f.n.Load()) }
