package query

import "time"

// Event is something that happens to a running query.
type Event interface{ queryEvent() }

// ReplyArrived carries the reply to one attempt.
type ReplyArrived struct{ Reply Reply }

// Tick reports that the time asked for by WakeAt has come.
type Tick struct{}

// CallerGone reports that the caller no longer waits.
type CallerGone struct{}

// CatalogChanged carries a newer catalog of the query's group.
type CatalogChanged struct{ Catalog *Catalog }

func (ReplyArrived) queryEvent()   {}
func (Tick) queryEvent()           {}
func (CallerGone) queryEvent()     {}
func (CatalogChanged) queryEvent() {}

// Effect is something that the driver of a query must do.
type Effect interface{ queryEffect() }

// Send asks for a sub-request to be sent.
type Send struct{ Request SubRequest }

// Cancel asks for an attempt to be abandoned at once.
type Cancel struct{ Attempt uint32 }

// WakeAt asks for a Tick at a time, in place of an earlier request.
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

func (Send) queryEffect()      {}
func (Cancel) queryEffect()    {}
func (WakeAt) queryEffect()    {}
func (DrainObserved) queryEffect() {}
func (Finish) queryEffect()    {}

// Chooser picks a replica for a sub-request. It sees the candidates that the
// query has not tried yet and the failure domain to avoid, which is empty for
// a first attempt.
type Chooser interface {
	Pick(now time.Time, candidates []Replica, avoidDomain string) (index int, ok bool)
}

// Budgets limits the sub-requests that a query sends beyond one per shard.
// Implementations are shared by all queries of a group and safe for
// concurrent use.
type Budgets interface {
	// AllowHedge takes the permission for one hedge.
	AllowHedge() bool
	// AllowRetry takes the permission for one retry.
	AllowRetry() bool
	// OnSubRequest records a sub-request that is neither hedge nor retry.
	OnSubRequest()
}

// LatencyObserver is implemented by Budgets that learn from latencies.
type LatencyObserver interface {
	// ObserveLatency records the time from sending a sub-request to its reply.
	// A sub-request that was abandoned is recorded with the time it had taken
	// by then, so that the quantiles do not lose their slowest samples.
	ObserveLatency(now time.Time, d time.Duration, answered bool)
}
