package journal

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Completion reports the outcome of one request.
//
// Without Err the change is durable. An error with verdict.NotRun means that
// nothing was written; every later request is then refused until this one has
// been submitted again. A *FatalError means that the process must exit.
type Completion struct {
	Seq uint64
	Err error
}

// Journal writes the changes of a consensus node. Submit, Stats and Close may
// be called from any goroutine.
type Journal struct {
	opts  Options
	dir   directory
	lock  io.Closer
	stats counters

	closing sync.RWMutex // guards closed, and queue against a send after its close
	closed  bool
	queue   chan consensus.Persist
	done    chan struct{} // closed when the journal goroutine has ended

	// The fields below are owned by Open and then by the journal goroutine.
	segments []segment // the last one is open in file, unless file is nil
	file     File
	salt     uint32
	size     int    // of the open segment
	batch    uint64 // number of the last record
	state    change // hard state and snapshot position, without entries
	lastSeq  uint64 // last durable request
	noSpace  bool   // the latest write was refused for lack of space
	fatal    *FatalError
	closeErr error
	buf      []byte
}

func newJournal(opts Options, dir directory, lock io.Closer) *Journal {
	return &Journal{
		opts: opts, dir: dir, lock: lock,
		queue: make(chan consensus.Persist, opts.QueueLength), done: make(chan struct{}),
	}
}

// Submit queues a request and returns at once. Sequence numbers start at 1
// after Open and rise by one. A request that was refused by Submit or by its
// completion must be submitted again under the same number, followed by all
// later requests.
func (j *Journal) Submit(p consensus.Persist) error {
	j.closing.RLock()
	defer j.closing.RUnlock()
	if j.closed {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the journal is closed")
	}
	select {
	case j.queue <- p:
		return nil
	default:
		return verdict.New(verdict.NotRun, CodeQueueFull, "%d requests are waiting for the journal", len(j.queue))
	}
}

// Close writes the queued requests and releases the data directory. It
// returns the fatal error of the journal, if any.
func (j *Journal) Close() error {
	j.closing.Lock()
	if !j.closed {
		j.closed = true
		close(j.queue)
	}
	j.closing.Unlock()
	<-j.done
	return j.closeErr
}

// run is the journal goroutine. It collects the queued requests into one batch,
// so that requests share syncs under load.
func (j *Journal) run() {
	defer close(j.done)
	for p := range j.queue {
		batch := []consensus.Persist{p}
		size := persistSize(p)
		for size < j.opts.MaxBatchBytes {
			next, ok := j.poll()
			if !ok {
				break
			}
			batch = append(batch, next)
			size += persistSize(next)
		}
		j.process(batch)
	}
	j.closeErr = j.shutdown()
}

func (j *Journal) poll() (consensus.Persist, bool) {
	select {
	case p, ok := <-j.queue:
		return p, ok
	default:
		return consensus.Persist{}, false
	}
}

// persistSize estimates the encoded size of a request.
func persistSize(p consensus.Persist) int {
	const perEntry = 16
	n := 0
	for _, e := range p.Entries {
		n += len(e.Data) + perEntry
	}
	return n
}

func (j *Journal) shutdown() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	err = errors.CombineErrors(err, j.lock.Close())
	if j.fatal != nil {
		return j.fatal
	}
	return err
}

// process makes a batch durable and reports the outcome of each request. One
// sync suffices unless a snapshot, a gap in the sequence numbers or an error
// splits the batch.
func (j *Journal) process(batch []consensus.Persist) {
	for len(batch) > 0 {
		n, err := j.write(batch)
		for _, p := range batch[:n] {
			j.lastSeq = max(j.lastSeq, p.Seq)
			j.opts.Completed(Completion{Seq: p.Seq})
		}
		batch = batch[n:]
		if err == nil {
			continue
		}
		j.opts.Completed(Completion{Seq: batch[0].Seq, Err: err})
		batch = batch[1:]
	}
}

// write makes a prefix of the batch durable and returns its length. The error
// is that of the first request after the prefix.
func (j *Journal) write(batch []consensus.Persist) (int, error) {
	if j.fatal != nil {
		return 0, j.fatal
	}
	first := batch[0]
	if first.Seq <= j.lastSeq {
		return 1, nil // submitted again although it is durable
	}
	if first.Seq > j.lastSeq+1 {
		return 0, verdict.New(verdict.NotRun, CodeOutOfOrder, "journal: request %d came before request %d", first.Seq, j.lastSeq+1)
	}
	n, err := j.writeBatch(batch)
	switch {
	case err == nil:
		j.clearNoSpace()
		return n, nil
	case noSpace(err):
		return 0, j.storageFull(err)
	default:
		return 0, j.fail("write", err)
	}
}

// writeBatch writes one record. A request with a snapshot has a record of its
// own, since the snapshot file must be durable before the record, and old files
// are removed after it.
func (j *Journal) writeBatch(batch []consensus.Persist) (int, error) {
	if err := j.prepareSegment(); err != nil {
		return 0, err
	}
	r := record{batch: j.batch + 1}
	var snapshot *consensus.Snapshot
	for i, p := range batch {
		follows := i == 0 || p.Seq == batch[i-1].Seq+1
		if !follows || p.Snapshot != nil && len(r.changes) > 0 {
			break
		}
		r.changes = append(r.changes, changeOf(p))
		if p.Snapshot != nil {
			snapshot = p.Snapshot
			break
		}
	}
	if snapshot != nil {
		if err := j.writeSnapshot(*snapshot); err != nil {
			return 0, err
		}
	}
	if err := j.writeRecord(r); err != nil {
		return 0, err
	}
	j.stats.batch(len(r.changes))
	if snapshot == nil {
		return len(r.changes), nil
	}
	return len(r.changes), j.afterSnapshot()
}

func (j *Journal) writeSnapshot(s consensus.Snapshot) error {
	size, err := j.dir.writeSnapshot(s)
	if err != nil {
		return err
	}
	j.stats.snapshot(size)
	j.opts.Log.Log(EventSnapshotWritten).Uint64("index", s.Index).Int("bytes", size).Send()
	return nil
}

// writeRecord appends a record and syncs it. After a write that fails for lack
// of space, the segment is truncated to its last intact record.
func (j *Journal) writeRecord(r record) error {
	j.buf = appendRecord(j.buf[:0], j.salt, r)
	if len(j.buf) > maxRecordBytes {
		return errors.Newf("batch of %d bytes exceeds the maximum size of a record", len(j.buf))
	}
	if _, err := j.file.Write(j.buf); err != nil {
		if !noSpace(err) {
			return err
		}
		if cut := j.file.Truncate(int64(j.size)); cut != nil {
			return j.fail("truncating a partial write", cut)
		}
		return err
	}
	if err := j.file.Sync(); err != nil {
		return j.syncFailed(err)
	}
	j.stats.synced(len(j.buf))
	j.size += len(j.buf)
	j.batch = r.batch
	current := &j.segments[len(j.segments)-1]
	for _, c := range r.changes {
		current.maxIndex = max(current.maxIndex, c.maxIndex())
		j.state.hard = c.hard
		if c.hasSnapshot {
			j.state.hasSnapshot = true
			j.state.snapshotIndex, j.state.snapshotTerm = c.snapshotIndex, c.snapshotTerm
		}
	}
	return nil
}

// syncFailed handles a failed sync of the segment. File systems that allocate blocks only
// when they write data back report a full disk here. The record is then cut off, and the
// segment is as before once the cut is durable. Any other failed sync is fatal.
func (j *Journal) syncFailed(err error) error {
	if !noSpace(err) {
		return j.fail("sync", err)
	}
	if cut := j.file.Truncate(int64(j.size)); cut != nil {
		return j.fail("truncating an unsynced write", cut)
	}
	if again := j.file.Sync(); again != nil {
		return j.fail("sync of a truncated segment", again)
	}
	return err
}

// afterSnapshot starts a segment, so that earlier ones can be removed once the
// snapshot covers them. On a full disk the current segment stays in use.
func (j *Journal) afterSnapshot() error {
	if err := j.roll(); err != nil && !noSpace(err) {
		return err
	}
	return j.removeObsolete()
}

// fail records the first fatal error and returns it for this and all later
// requests.
func (j *Journal) fail(op string, err error) error {
	if j.fatal != nil {
		return j.fatal
	}
	var fatal *FatalError
	if !errors.As(err, &fatal) {
		fatal = &FatalError{Op: op, cause: err}
	}
	j.fatal = fatal
	j.opts.Log.Log(EventFailed).Str("op", fatal.Op).Err(err).Send()
	return fatal
}

func (j *Journal) storageFull(err error) error {
	if !j.noSpace {
		j.noSpace = true
		j.opts.Log.Log(EventFull).Err(err).Send()
	}
	j.stats.refused.Add(1)
	return verdict.Wrap(err, verdict.NotRun, CodeStorageFull, "journal: the data directory is full")
}

// clearNoSpace ends the state of a full disk after a successful write.
func (j *Journal) clearNoSpace() {
	if j.noSpace {
		j.noSpace = false
		j.opts.Log.Log(EventWritingResumed).Send()
	}
}
