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
// Without Err the change is durable. An error with verdict.NotRun says that
// nothing was written; every later request is then refused until this one was
// submitted again. A *FatalError says that the process must end.
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

	closing sync.RWMutex // guards closed against a concurrent Submit
	closed  bool
	queue   chan consensus.Persist
	done    chan struct{} // closed when the journal goroutine has ended

	// The fields below belong to Open and then to the journal goroutine.
	segments []segment // the last one is written to, unless file is nil
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
// after Open and rise by one. A request that Submit or its completion refused
// is submitted again under its old number, and so are those after it.
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

// run is the journal goroutine. It gathers what is waiting into one batch, so
// that requests share syncs under load.
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

// process makes a batch durable with one sync and reports each request. A
// batch that snapshot or space limits divide is written in parts.
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
// concerns the request after the prefix.
func (j *Journal) write(batch []consensus.Persist) (int, error) {
	if j.fatal != nil {
		return 0, j.fatal
	}
	first := batch[0]
	if first.Seq <= j.lastSeq {
		return 1, nil // submitted again after it had succeeded
	}
	if first.Seq > j.lastSeq+1 {
		return 0, verdict.New(verdict.NotRun, CodeOutOfOrder, "journal: request %d came before request %d", first.Seq, j.lastSeq+1)
	}
	n, err := j.writeBatch(batch)
	switch {
	case err == nil:
		j.written()
		return n, nil
	case noSpace(err):
		return 0, j.full(err)
	default:
		return 0, j.fail("write", err)
	}
}

// writeBatch writes one record. A snapshot ends it, since its file must be
// durable before the record and old files are removed after it.
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

// writeRecord appends a record and syncs it. A write that fails for lack of
// space is cut back, so the segment again ends with an intact record.
func (j *Journal) writeRecord(r record) error {
	j.buf = appendRecord(j.buf[:0], j.salt, r)
	if len(j.buf) > maxRecordBytes {
		return errors.Newf("a batch takes %d bytes", len(j.buf))
	}
	if _, err := j.file.Write(j.buf); err != nil {
		if !noSpace(err) {
			return err
		}
		if cut := j.file.Truncate(int64(j.size)); cut != nil {
			return j.fail("cutting back a partial write", cut)
		}
		return err
	}
	if err := j.file.Sync(); err != nil {
		return j.fail("sync", err)
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

// afterSnapshot starts a segment, so that the ones before it can go as soon
// as the snapshot covers them. Without space the old segment stays in use.
func (j *Journal) afterSnapshot() error {
	if err := j.roll(); err != nil && !noSpace(err) {
		return err
	}
	return j.removeObsolete()
}

// fail records the first fatal error. All later requests get it too.
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

func (j *Journal) full(err error) error {
	if !j.noSpace {
		j.noSpace = true
		j.opts.Log.Log(EventFull).Err(err).Send()
	}
	j.stats.refused.Add(1)
	return verdict.Wrap(err, verdict.NotRun, CodeStorageFull, "journal: the data directory is full")
}

// written notes that space has returned, if it was lacking.
func (j *Journal) written() {
	if j.noSpace {
		j.noSpace = false
		j.opts.Log.Log(EventSpaceReturned).Send()
	}
}
