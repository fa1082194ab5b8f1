package journal

import "github.com/cockroachdb/errors"

// prepareSegment starts a new segment if none is open or the current one has
// reached its size. On a full disk the current one stays in use.
func (j *Journal) prepareSegment() error {
	if j.file != nil && j.size < j.opts.SegmentBytes {
		return nil
	}
	err := j.roll()
	if j.file != nil && noSpace(err) {
		return nil
	}
	return err
}

// segmentStart returns the header and the first record of a segment.
func (j *Journal) segmentStart(number uint64, salt uint32) []byte {
	b := appendSegmentHeader(nil, number, salt)
	return appendRecord(b, salt, record{batch: j.batch + 1, changes: []change{j.state}})
}

// roll starts a segment and makes it durable before any batch is written to
// it.
func (j *Journal) roll() error {
	salt, err := newSalt()
	if err != nil {
		return err
	}
	number := uint64(1)
	if len(j.segments) > 0 {
		number = j.segments[len(j.segments)-1].number + 1
	}
	path := j.dir.join(segmentName(number))
	start := j.segmentStart(number, salt)
	file, err := j.startSegment(path, start)
	if err != nil {
		return err
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return j.fail("closing a segment", errors.CombineErrors(err, file.Close()))
		}
	}
	j.stats.synced(len(start))
	j.file, j.salt, j.size = file, salt, len(start)
	j.batch++
	j.segments = append(j.segments, segment{number: number})
	return nil
}

func (j *Journal) startSegment(path string, start []byte) (File, error) {
	file, err := j.dir.fs.Create(path)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(start)
	if err == nil {
		err = file.Sync()
		if err != nil && !noSpace(err) {
			return nil, j.fail("sync of a new segment", errors.CombineErrors(err, file.Close()))
		}
	}
	if err != nil {
		err = errors.CombineErrors(err, file.Close())
		if removeErr := j.dir.fs.Remove(path); removeErr != nil {
			return nil, j.fail("removing a partial segment", removeErr)
		}
		return nil, err
	}
	if err := j.dir.fs.SyncDir(j.dir.path); err != nil {
		return nil, j.fail("sync of the data directory", errors.CombineErrors(err, file.Close()))
	}
	return file, nil
}

// removeObsolete removes temporary files, all snapshots but the current one, and
// the oldest segments whose entries that one covers. Segments are removed one by
// one, so a crash never leaves a gap between them.
func (j *Journal) removeObsolete() error {
	for len(j.segments) > 1 && j.segments[0].maxIndex <= j.state.snapshotIndex {
		name := segmentName(j.segments[0].number)
		j.removeFiles([]string{name})
		if err := j.dir.fs.SyncDir(j.dir.path); err != nil {
			return j.fail("sync of the data directory", err)
		}
		j.segments = j.segments[1:]
	}
	l, err := j.dir.list()
	if err != nil {
		j.opts.Log.Log(EventCleanupFailed).Err(err).Send()
		return nil
	}
	obsolete := l.temporary
	for _, name := range l.snapshots {
		if name != snapshotName(j.state.snapshotIndex, j.state.snapshotTerm) {
			obsolete = append(obsolete, name)
		}
	}
	j.removeFiles(obsolete)
	return nil
}

func (j *Journal) removeFiles(names []string) {
	for _, name := range names {
		if err := j.dir.fs.Remove(j.dir.join(name)); err != nil {
			j.opts.Log.Log(EventCleanupFailed).Str("file", j.dir.join(name)).Err(err).Send()
		}
	}
}
