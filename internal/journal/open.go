package journal

import (
	"crypto/rand"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Options are the settings of a journal. Zero fields take the defaults.
type Options struct {
	Dir string
	FS  FS // OS by default
	// FirstStart is set at the first start of the whole system. It is recorded in an
	// empty data directory.
	FirstStart bool
	Log        *eventlog.Logger

	// Completed is called by the journal goroutine for every request, in
	// order. It may block, which delays further writes.
	Completed func(Completion)

	SegmentBytes  int // size at which a new segment starts
	QueueLength   int // maximum number of queued requests
	MaxBatchBytes int // size of a batch after which no request is added
}

// Defaults of Options.
const (
	DefaultSegmentBytes  = 16 << 20
	DefaultQueueLength   = 256
	DefaultMaxBatchBytes = 4 << 20
)

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.Log == nil {
		o.Log = eventlog.Nop()
	}
	if o.Completed == nil {
		o.Completed = func(Completion) {}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.QueueLength == 0 {
		o.QueueLength = DefaultQueueLength
	}
	if o.MaxBatchBytes == 0 {
		o.MaxBatchBytes = DefaultMaxBatchBytes
	}
	return o
}

// Recovered describes the state that Open found.
type Recovered struct {
	Identity consensus.Identity
	New      bool // the data directory was empty
	// FirstStart reports whether the directory was created at the first start of the
	// whole system.
	FirstStart bool
	State      consensus.DurableState

	Bytes          int64 // read from segments and the snapshot
	Entries        int   // read, including those replaced or covered by a snapshot
	TruncatedBytes int64 // removed as a torn write
}

// segment is one file of the log.
type segment struct {
	number   uint64
	maxIndex uint64 // greatest index of an entry ever written to it
}

// Open locks a data directory, recovers its state and starts the journal. It
// returns a *CorruptError if the state is damaged before the tail, and
// ErrLocked if another process uses the directory.
func Open(opts Options) (*Journal, Recovered, error) {
	opts = opts.withDefaults()
	dir := directory{fs: opts.FS, path: opts.Dir}
	if err := dir.fs.MkdirAll(dir.path); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "journal: create the data directory")
	}
	lock, err := dir.fs.Lock(dir.join(lockName))
	if err != nil {
		return nil, Recovered{}, errors.Wrapf(err, "journal: lock %s", dir.path)
	}
	j, recovered, err := openLocked(opts, dir, lock)
	if err != nil {
		var corrupt *CorruptError
		if errors.As(err, &corrupt) {
			opts.Log.Log(EventCorrupt).Str("file", corrupt.File).Int64("offset", corrupt.Offset).
				Str("reason", corrupt.Reason).Send()
		}
		return nil, Recovered{}, errors.CombineErrors(err, lock.Close())
	}
	opts.Log.Log(EventOpened).Str("identity", string(recovered.Identity)).Int64("bytes", recovered.Bytes).
		Int("entries", recovered.Entries).Int("segments", len(j.segments)).Send()
	go j.run()
	return j, recovered, nil
}

func openLocked(opts Options, dir directory, lock io.Closer) (*Journal, Recovered, error) {
	l, err := dir.list()
	if err != nil {
		return nil, Recovered{}, errors.Wrap(err, "journal: list the data directory")
	}
	j := newJournal(opts, dir, lock)
	if !l.identity {
		return j.createNew(l)
	}
	recovered := Recovered{FirstStart: l.firstStart}
	if recovered.Identity, err = dir.readIdentity(); err != nil {
		return nil, recovered, err
	}
	if len(l.segments) == 0 {
		return nil, recovered, dir.corrupt(segmentName(1), 0, "the log is missing")
	}
	if err := j.recover(l, &recovered); err != nil {
		return nil, recovered, err
	}
	// On a full disk Open succeeds, so that the state can be read; the first
	// write tries again to start a segment.
	if err := j.roll(); err != nil && !noSpace(err) {
		return nil, recovered, errors.Wrap(err, "journal: start a segment")
	}
	return j, recovered, j.removeObsolete()
}

// createNew starts the log of an empty data directory. The identity is written
// last, so a directory with an identity always has a log, and a missing log is
// detected.
func (j *Journal) createNew(l listing) (*Journal, Recovered, error) {
	recovered := Recovered{New: true, FirstStart: l.firstStart || j.opts.FirstStart}
	if len(l.snapshots) > 0 || len(l.segments) > 1 {
		return nil, recovered, j.dir.corrupt(identityName, 0, "the identity is missing in a directory with data")
	}
	for _, number := range l.segments {
		if err := j.removeUnused(number); err != nil {
			return nil, recovered, err
		}
	}
	j.removeFiles(l.temporary)
	if err := j.roll(); err != nil {
		return nil, recovered, errors.Wrap(err, "journal: start a segment")
	}
	if j.opts.FirstStart {
		if err := j.dir.replace(firstStartName, nil); err != nil {
			return nil, recovered, errors.Wrap(err, "journal: record the first start")
		}
	}
	var err error
	if recovered.Identity, err = j.dir.createIdentity(); err != nil {
		return nil, recovered, errors.Wrap(err, "journal: create the identity")
	}
	j.opts.Log.Log(EventIdentityCreated).Str("identity", string(recovered.Identity)).Send()
	return j, recovered, nil
}

// removeUnused removes the first segment of a start that ended before the
// identity was written. It returns a *CorruptError if the segment has changes.
func (j *Journal) removeUnused(number uint64) error {
	b, err := j.dir.fs.ReadFile(j.dir.join(segmentName(number)))
	if err != nil {
		return err
	}
	unused := true
	_, _, err = readSegment(b, number, func(_ int, r record) error {
		unused = unused && r.batch == 1 && len(r.changes) == 1 && r.changes[0].hard == consensus.HardState{}
		return nil
	})
	if err != nil || !unused {
		return errors.CombineErrors(j.dir.corrupt(identityName, 0, "the identity is missing in a directory with data"), err)
	}
	return j.dir.fs.Remove(j.dir.join(segmentName(number)))
}

// recover reads all segments and the snapshot that they name.
func (j *Journal) recover(l listing, recovered *Recovered) error {
	var r replay
	for i, number := range l.segments {
		if i > 0 && number != l.segments[i-1]+1 {
			return j.dir.corrupt(segmentName(number-1), 0, "the segment is missing")
		}
		last := i == len(l.segments)-1
		if err := j.recoverSegment(&r, number, last, recovered); err != nil {
			return err
		}
	}
	if problem := r.finish(); problem != "" {
		return j.dir.corrupt(segmentName(l.segments[0]), 0, problem)
	}
	recovered.Entries = r.count
	recovered.State = consensus.DurableState{HardState: r.hard, Entries: r.entries}
	if r.hasSnapshot {
		s, err := j.dir.readSnapshot(r.snapshotIndex, r.snapshotTerm)
		if err != nil {
			return err
		}
		recovered.State.Snapshot = s
		recovered.Bytes += int64(len(s.Data))
	}
	return nil
}

func (j *Journal) recoverSegment(r *replay, number uint64, last bool, recovered *Recovered) error {
	name := segmentName(number)
	b, err := j.dir.fs.ReadFile(j.dir.join(name))
	if err != nil {
		return errors.Wrapf(err, "journal: read %s", name)
	}
	recovered.Bytes += int64(len(b))
	s := segment{number: number}
	batchBefore, records := j.batch, 0
	end, problem, err := readSegment(b, number, func(offset int, rec record) error {
		if j.batch != 0 && rec.batch != j.batch+1 {
			return j.dir.corrupt(name, offset, "a record is missing")
		}
		j.batch = rec.batch
		records++
		for _, c := range rec.changes {
			if problem := r.applyChange(c); problem != "" {
				return j.dir.corrupt(name, offset, problem)
			}
			s.maxIndex = max(s.maxIndex, c.maxIndex())
		}
		return nil
	})
	if err != nil {
		return err
	}
	j.state = r.position()
	if problem == "" && last && records == 1 && len(j.segments) > 0 {
		// The segment holds only the repeated state: an earlier start wrote
		// nothing to it. Such segments would otherwise accumulate over restarts.
		j.batch = batchBefore
		return j.removeSegment(name)
	}
	if problem == "" {
		j.segments = append(j.segments, s)
		return nil
	}
	if !last {
		return j.dir.corrupt(name, end, problem)
	}
	if end <= segmentHeaderSize {
		err = j.removeTornStart(b, name, number, problem)
	} else {
		j.segments = append(j.segments, s)
		err = j.truncateTail(b, name, number, end, problem)
	}
	if err != nil {
		return err
	}
	recovered.TruncatedBytes = int64(len(b) - end)
	j.opts.Log.Log(EventTornTail).Str("file", j.dir.join(name)).Int("offset", end).Int("bytes", len(b)-end).Send()
	return nil
}

// truncateTail removes a torn write at the end of the last segment.
func (j *Journal) truncateTail(b []byte, name string, number uint64, end int, problem string) error {
	salt, _ := readSegmentHeader(b, number)
	if findIntactRecord(b[end:], salt) >= 0 {
		return j.dir.corrupt(name, end, problem+", and an intact record follows")
	}
	return j.dir.fs.Truncate(j.dir.join(name), int64(end))
}

// removeTornStart removes a segment whose first write did not complete. That
// write holds the header and the first record only, and was synced before any
// other, so a longer file is corrupt.
func (j *Journal) removeTornStart(b []byte, name string, number uint64, problem string) error {
	if len(j.segments) == 0 || len(b) > len(j.segmentStart(number, 0)) {
		return j.dir.corrupt(name, 0, problem)
	}
	return j.removeSegment(name)
}

func (j *Journal) removeSegment(name string) error {
	if err := j.dir.fs.Remove(j.dir.join(name)); err != nil {
		return err
	}
	return j.dir.fs.SyncDir(j.dir.path)
}

func newSalt() (uint32, error) {
	var b [4]byte
	_, err := rand.Read(b[:])
	return binary.LittleEndian.Uint32(b[:]), err
}
