package orders

import (
	"encoding/binary"
	"time"
)

// Limits of a ledger. They are part of the replicated state, because every
// replica must decide alike.
type Limits struct {
	Partitions  int           // IDs are assigned by hash, so it can't change later
	Retention   time.Duration // an ID is accepted this long after it was issued
	MaxSkew     time.Duration // how far ahead of the claimant's clock an ID may be issued
	MaxEntries  int           // requests per partition from which new ones are rejected
	MaxBytes    int           // result bytes per partition from which new requests are rejected
	MaxResult   int           // length of one result body
	MaxEndedIDs int           // ended claims remembered per request
}

// DefaultLimits returns limits of 131,072 requests and 16 MiB of results in
// total.
func DefaultLimits() Limits {
	return Limits{
		Partitions: 16, Retention: 24 * time.Hour, MaxSkew: 5 * time.Minute,
		MaxEntries: 8192, MaxBytes: 1 << 20, MaxResult: 16 << 10, MaxEndedIDs: 8,
	}
}

// Ledger is the replicated state machine of claims and results. One goroutine
// owns it.
type Ledger struct {
	index      uint64
	limits     Limits
	partitions []*partition
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	limits.Partitions = max(1, limits.Partitions)
	l := &Ledger{limits: limits, partitions: make([]*partition, limits.Partitions)}
	for i := range l.partitions {
		l.partitions[i] = newPartition(&l.limits)
	}
	return l
}

// Index returns the index of the last applied log entry.
func (l *Ledger) Index() uint64 { return l.index }

// Limits returns the limits of the ledger.
func (l *Ledger) Limits() Limits { return l.limits }

// PartitionOf returns the partition of a request.
func (l *Ledger) PartitionOf(requestID string) int {
	return l.partitionIndex(hashID(requestID))
}

func (l *Ledger) partitionIndex(id Hash) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(len(l.partitions)))
}

func (l *Ledger) partition(id Hash) *partition { return l.partitions[l.partitionIndex(id)] }

// Apply applies a command. Index is that of its log entry; an entry at or
// below the last applied index changes nothing.
func (l *Ledger) Apply(index uint64, cmd Command) Reply {
	if index <= l.index {
		return l.replyToDuplicate(cmd)
	}
	l.index = index
	switch c := cmd.(type) {
	case Claim:
		return l.partition(hashID(c.RequestID)).claim(c)
	case Record:
		return l.partition(hashID(c.RequestID)).record(c)
	case Release:
		return l.partition(hashID(c.RequestID)).release(c)
	case MarkMayHaveRun:
		return l.partition(hashID(c.RequestID)).mark(c)
	case ClaimantDied:
		for _, p := range l.partitions {
			p.claimantDied(c.Claimant)
		}
		return Reply{Outcome: Done}
	}
	return Reply{Outcome: Stale}
}

// replyToDuplicate replies to a command that the log delivers twice.
func (l *Ledger) replyToDuplicate(cmd Command) Reply {
	c, ok := cmd.(Claim)
	if !ok {
		return Reply{Outcome: Done}
	}
	e := l.partition(hashID(c.RequestID)).entries[hashID(c.RequestID)]
	if e == nil {
		return Reply{Outcome: Expired}
	}
	return e.reply(c.Token)
}

// Lookup returns the state of a request.
func (l *Ledger) Lookup(requestID string) Reply {
	id := hashID(requestID)
	p := l.partition(id)
	if e := p.entries[id]; e != nil {
		return e.reply(Token{})
	}
	issued, err := IssuedAt(requestID)
	if err == nil && p.expired(issued.UnixMilli()) {
		return Reply{Outcome: Expired}
	}
	return Reply{Outcome: Unknown}
}

// OpenClaims returns the number of open claims by claimant. The leader
// compares the claimants with the live hosts and proposes ClaimantDied.
func (l *Ledger) OpenClaims() map[Claimant]int {
	out := map[Claimant]int{}
	for _, p := range l.partitions {
		for _, e := range p.entries {
			if e.Status == Claimed {
				out[e.Token.Claimant]++
			}
		}
	}
	return out
}

// Len returns the number of requests kept.
func (l *Ledger) Len() int {
	n := 0
	for _, p := range l.partitions {
		n += len(p.entries)
	}
	return n
}
