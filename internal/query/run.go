package query

import "time"

// Event is an input to a running query.
type Event interface{ queryEvent() }

// ReplyArrived carries the reply to one attempt.
type ReplyArrived struct{ Reply Reply }

// Tick reports that the time of the latest WakeAt has come.
type Tick struct{}

// CallerGone reports that the caller no longer waits.
type CallerGone struct{}

// CatalogChanged carries a newer catalog of the query's group.
type CatalogChanged struct{ Catalog *Catalog }

func (ReplyArrived) queryEvent()   {}
func (Tick) queryEvent()           {}
func (CallerGone) queryEvent()     {}
func (CatalogChanged) queryEvent() {}

// Effect is an action that the driver of a query must carry out.
type Effect interface{ queryEffect() }

// Send tells the driver to send a sub-request.
type Send struct{ Request SubRequest }

// Cancel tells the driver to cancel an attempt.
type Cancel struct{ Attempt uint32 }

// WakeAt tells the driver to deliver a Tick at a time. It replaces an earlier
// WakeAt.
type WakeAt struct{ At time.Time }

// DrainObserved reports that a reply marked its target as draining. It is
// returned once per target and incarnation.
type DrainObserved struct {
	Target      string
	Incarnation uint64
}

// Finish ends the query. Exactly one of Answer and Err is set.
type Finish struct {
	Answer *Answer
	Err    error
}

func (Send) queryEffect()          {}
func (Cancel) queryEffect()        {}
func (WakeAt) queryEffect()        {}
func (DrainObserved) queryEffect() {}
func (Finish) queryEffect()        {}

// Chooser picks a replica for a sub-request. Pick returns the index of a
// candidate, or false if none of them should get the sub-request now.
// avoidDomain is the failure domain to avoid, or empty.
type Chooser interface {
	Pick(now time.Time, candidates []Replica, avoidDomain string) (index int, ok bool)
}

// Budgets limits the sub-requests that a query sends beyond one per shard.
// Implementations are shared by all queries of a group and safe for
// concurrent use.
type Budgets interface {
	// AllowHedge reports whether a hedge may be sent, and charges it if so.
	AllowHedge() bool
	// AllowRetry reports whether a retry may be sent, and charges it if so.
	AllowRetry() bool
	// OnFirstAttempt records a sub-request that is neither hedge nor retry.
	OnFirstAttempt()
}

// LatencyObserver is implemented by Budgets that also record latencies.
type LatencyObserver interface {
	// ObserveLatency records the time from sending a sub-request to its reply.
	// A cancelled sub-request is recorded with its age, so that the quantiles
	// do not lose their slowest samples.
	ObserveLatency(now time.Time, d time.Duration, answered bool)
}
