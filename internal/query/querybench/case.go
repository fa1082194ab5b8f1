// Package querybench compares policies of the data path on virtual time. It
// drives query.Run against a queueing model of targets. The same seeds give
// the same output on every run.
package querybench

import "time"

// Shape is the size of a group.
type Shape struct {
	Name      string
	Instances int
	Searchers int // per instance
	Slots     int // per searcher
	Replicas  int // of each shard
}

// Shards is the number of shards of the group. Every searcher holds one.
func (s Shape) Shards() int { return s.Instances * s.Searchers / s.Replicas }

// zone is the failure domain of an instance. The replicas of a shard are in
// different ones.
func (s Shape) zone(i int) int { return (i + i*s.Replicas/s.Instances) % failureZones }

// Shapes are the sizes that are measured.
var Shapes = []Shape{
	{Name: "20x2x2", Instances: 20, Searchers: 2, Slots: 2, Replicas: 2},
	{Name: "30x2x2", Instances: 30, Searchers: 2, Slots: 2, Replicas: 3},
	{Name: "4x1x4", Instances: 4, Searchers: 1, Slots: 4, Replicas: 2},
	{Name: "20x1x2", Instances: 20, Searchers: 1, Slots: 2, Replicas: 2},
}

// Wide has as many shards as the design scale.
var Wide = Shape{Name: "720x2x2", Instances: 720, Searchers: 2, Slots: 2, Replicas: 3}

// Fault is something that is wrong with a target during a case.
type Fault uint8

// Faults.
const (
	FaultNone       Fault = iota
	FaultRefusing         // an instance refuses connections for the lease time, then leaves the catalog
	FaultSilent           // an instance accepts sub-requests and never answers, then leaves the catalog
	FaultDraining         // an instance drains
	FaultMisleading       // a slow instance reports no load, and a good one reports that it is unhealthy
	FaultCold             // a quarter of the instances starts cold
)

// String returns the name used in tables.
func (f Fault) String() string {
	return [...]string{"none", "refusing", "silent", "draining", "misleading", "cold"}[f]
}

// Case is one experiment.
type Case struct {
	Shape      Shape
	Load       float64 // offered work as a share of what the slots can do
	Stragglers float64 // share of sub-requests that straggle
	Fault      Fault
	Policy     Policy
	Hosts      int
	Queries    int
	Seed       uint64
}

// warmUp is the number of queries at the start whose latencies are left out:
// until a host has seen enough replies, it hedges after the default delay.
// A cold start is measured as a whole.
func (c *Case) warmUp() int {
	if c.Fault == FaultCold {
		return 0
	}
	return c.Queries / 10
}

// Values of the model that all cases share.
const (
	deadline      = 130 * time.Millisecond
	medianService = 5 * time.Millisecond
	serviceSigma  = 0.25 // of the logarithm of the service time
	stragglerMin  = 10.0 // times the service time
	stragglerMax  = 20.0
	networkMin    = 800 * time.Microsecond
	networkMax    = 1200 * time.Microsecond
	targetQueue   = 16 // sub-requests that wait at a searcher before it sheds
	failureZones  = 4
	leaseTime     = 3 * time.Second
	drainTime     = 2 * time.Second
	coldTime      = 2 * time.Second
	coldFactor    = 6.0
	slowFactor    = 5.0
	defaultHosts  = 11
	hitsWanted    = 10
	shedMemory    = 100 * time.Millisecond // a group is saturated for this time after a target shed
)
