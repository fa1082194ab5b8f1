// Package querybench compares query policies in a simulation on virtual time.
// It drives query.Run against a queueing model of targets. The same seeds give
// the same output on every run.
package querybench

import "time"

// Shape is the size of a group.
type Shape struct {
	Name      string
	Targets   int
	Searchers int // per target
	Slots     int // per searcher
	Replicas  int // of each shard
}

// Shards returns the number of shards of the group. Every searcher holds one.
func (s Shape) Shards() int { return s.Targets * s.Searchers / s.Replicas }

// failureDomain returns the number of a target's failure domain. The replicas
// of a shard are in different failure domains.
func (s Shape) failureDomain(i int) int { return (i + i*s.Replicas/s.Targets) % failureDomains }

// Shapes are the group sizes of most tables.
var Shapes = []Shape{
	{Name: "20x2x2", Targets: 20, Searchers: 2, Slots: 2, Replicas: 2},
	{Name: "30x2x2", Targets: 30, Searchers: 2, Slots: 2, Replicas: 3},
	{Name: "4x1x4", Targets: 4, Searchers: 1, Slots: 4, Replicas: 2},
	{Name: "20x1x2", Targets: 20, Searchers: 1, Slots: 2, Replicas: 2},
}

// Wide has 480 shards, as many as the design scale.
var Wide = Shape{Name: "720x2x2", Targets: 720, Searchers: 2, Slots: 2, Replicas: 3}

// Fault is the kind of target fault in a case.
type Fault uint8

// Faults.
const (
	FaultNone       Fault = iota
	FaultRefusing         // a target refuses connections for the lease time, then leaves the catalog
	FaultSilent           // a target accepts sub-requests and never answers, then leaves the catalog
	FaultDraining         // a target drains
	FaultMisleading       // a slow target reports no load, and a healthy one full load
	FaultCold             // a quarter of the targets starts cold
)

// String returns the name used in tables.
func (f Fault) String() string {
	return [...]string{"none", "refusing", "silent", "draining", "misleading", "cold"}[f]
}

// Case is one experiment.
type Case struct {
	Shape      Shape
	Load       float64 // offered work relative to the capacity of the slots
	Stragglers float64 // fraction of sub-requests that straggle
	Fault      Fault
	Policy     Policy
	Hosts      int
	Queries    int
	Seed       uint64
}

// warmUp returns the number of queries at the start whose latencies are left
// out: a host hedges after the default delay until it has seen enough replies.
// FaultCold includes all latencies.
func (c *Case) warmUp() int {
	if c.Fault == FaultCold {
		return 0
	}
	return c.Queries / 10
}

// Parameters of the model that all cases share.
const (
	deadline           = 130 * time.Millisecond
	medianService      = 5 * time.Millisecond
	serviceSigma       = 0.25 // of the logarithm of the service time
	stragglerMin       = 10.0 // times the service time
	stragglerMax       = 20.0
	networkMin         = 800 * time.Microsecond
	networkMax         = 1200 * time.Microsecond
	targetQueue        = 16 // sub-requests that wait at a searcher before it sheds
	failureDomains     = 4
	leaseTime          = 3 * time.Second
	drainTime          = 2 * time.Second
	coldTime           = 2 * time.Second
	coldFactor         = 6.0
	slowFactor         = 5.0
	defaultHosts       = 11
	hitsWanted         = 10
	saturatedAfterShed = 100 * time.Millisecond // a group is saturated for this time after a target shed
)
