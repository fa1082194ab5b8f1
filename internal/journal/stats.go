package journal

import "sync/atomic"

// Stats are counts since the journal was opened.
type Stats struct {
	Syncs         uint64 // syncs of the log
	Bytes         uint64 // written to the log
	Batches       uint64 // group commits
	Requests      uint64 // requests made durable
	LastBatch     uint64 // requests in the latest group commit
	Snapshots     uint64
	SnapshotBytes uint64
	Refused       uint64 // requests refused for lack of space
	Queued        uint64 // requests in the queue now
}

type counters struct {
	syncs, bytes, batches, requests, lastBatch atomic.Uint64
	snapshots, snapshotBytes, refused          atomic.Uint64
}

func (c *counters) synced(bytes int) {
	c.syncs.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counters) batch(requests int) {
	c.batches.Add(1)
	c.requests.Add(uint64(requests))
	c.lastBatch.Store(uint64(requests))
}

func (c *counters) snapshot(bytes int) {
	c.snapshots.Add(1)
	c.snapshotBytes.Add(uint64(bytes))
}

// Stats returns the current counts.
func (j *Journal) Stats() Stats {
	c := &j.stats
	return Stats{
		Syncs: c.syncs.Load(), Bytes: c.bytes.Load(), Batches: c.batches.Load(),
		Requests: c.requests.Load(), LastBatch: c.lastBatch.Load(),
		Snapshots: c.snapshots.Load(), SnapshotBytes: c.snapshotBytes.Load(),
		Refused: c.refused.Load(), Queued: uint64(len(j.queue)),
	}
}
