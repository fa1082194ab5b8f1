// Package query runs one caller's query: it pins an index snapshot, sends one
// sub-request to every shard, merges the replies and reports their coverage.
// Run is a state machine without I/O; the queryrun subpackage drives it.
package query

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of errors that a query returns.
const (
	CodeNoSnapshot           verdict.Code = "no_index_snapshot"
	CodeCoverageBelowMinimum verdict.Code = "coverage_below_minimum"
	CodeCancelled            verdict.Code = "cancelled"
)

// Codes of errors in replies that a query handles.
const (
	CodeSnapshotGone verdict.Code = "snapshot_gone"
	CodeShed         verdict.Code = "shed"
	CodeDraining     verdict.Code = "draining"
)

// Query is a validated query of a caller.
type Query struct {
	RequestID   string
	Group       string
	Terms       string
	K           int       // maximum number of hits to return
	Deadline    time.Time // the answer must be returned before this time
	MinCoverage float64   // fraction of shards that must answer, 0 to 1
}

// Replica is a searcher that holds a shard.
type Replica struct {
	Target        string
	Searcher      string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Incarnation   uint64
	Cold          bool // the target announced that it has just started
	Unhealthy     bool // reported by the target itself; may be wrong
	Load          float64
}

// Snapshot is an index snapshot that the targets of a group hold.
type Snapshot struct {
	Name       string
	Generation uint64
	Layout     []string    // names of all shards
	Replicas   [][]Replica // usable replicas by position in Layout
}

// Covered returns the number of shards that have a usable replica.
func (s *Snapshot) Covered() int {
	n := 0
	for _, r := range s.Replicas {
		if len(r) > 0 {
			n++
		}
	}
	return n
}

// Catalog lists the index snapshots of a group, newest first. It is immutable.
type Catalog struct {
	Group     string
	Snapshots []Snapshot
}

// SubRequest asks one searcher for the hits of one shard.
type SubRequest struct {
	RequestID     string
	Attempt       uint32 // unique within the query
	Shard         int    // position in the layout
	ShardName     string
	IndexSnapshot string
	Replica       Replica
	Terms         string
	K             int
	Deadline      time.Time
	Hedge         bool
}

// Hit is a matching record.
type Hit struct {
	ID    string
	Score float64
	Text  string
}

// Reply is the result of a sub-request, or the error of an attempt that did
// not get one.
type Reply struct {
	Attempt       uint32
	IndexSnapshot string
	Shard         string
	Hits          []Hit
	Draining      bool
	Err           error // carries a verdict; nil if the search succeeded
}

// Reason says why a shard is missing from an answer.
type Reason string

// Reasons for a missing shard.
const (
	ReasonNoReplica    Reason = "no_replica"
	ReasonTimeout      Reason = "timeout"
	ReasonFailed       Reason = "failed"
	ReasonShed         Reason = "shed"
	ReasonSnapshotGone Reason = "snapshot_gone"
)

// MissingShard names a shard that an answer does not cover.
type MissingShard struct {
	Shard  string
	Reason Reason
}

// Coverage lists every shard of the pinned snapshot's layout, either as
// answered or as missing.
type Coverage struct {
	Total    int
	Answered []string
	Missing  []MissingShard
}

// Ratio returns the fraction of shards that answered, 0 to 1.
func (c Coverage) Ratio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(len(c.Answered)) / float64(c.Total)
}

// Answer is the result of a query. All its hits come from IndexSnapshot.
type Answer struct {
	RequestID     string
	Group         string
	IndexSnapshot string
	Verdict       verdict.Verdict
	Coverage      Coverage
	Hits          []Hit
	Attempts      int // sub-requests sent, hedges and retries included
	Hedges        int
	Retries       int
	Restarts      int // times the query was restarted on another snapshot
}
