package journal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// workload is a sequence of requests as a node submits them, with the state
// after each of them.
type workload struct {
	requests []consensus.Persist
	states   []consensus.DurableState // states[i] holds after i requests
}

func newWorkload(rnd *rand.Rand, n int) *workload {
	w := &workload{states: []consensus.DurableState{{}}}
	voters := consensus.VoterSet{Voters: []consensus.Member{{Identity: "i", Name: "a", Address: "127.0.0.1:1"}}}
	w.add(consensus.Persist{
		HardState: consensus.HardState{Cluster: "i", Term: 1},
		Snapshot:  &consensus.Snapshot{Index: 1, Term: 1, Voters: voters},
	})
	for range n {
		s := w.states[len(w.states)-1]
		p := consensus.Persist{HardState: s.HardState}
		last := s.Snapshot.Index + uint64(len(s.Entries))
		switch k := rnd.IntN(10); {
		case k == 0 && len(s.Entries) > 0: // compaction
			e := s.Entries[rnd.IntN(len(s.Entries))]
			p.Snapshot = &consensus.Snapshot{Index: e.Index, Term: e.Term, Voters: voters, Data: []byte("compacted")}
		case k == 1: // snapshot from a leader
			p.HardState.Term++
			p.Snapshot = &consensus.Snapshot{Index: last + 5, Term: p.HardState.Term, Voters: voters, Data: []byte("installed")}
		case k == 2 && len(s.Entries) > 0: // conflict with a new leader
			p.HardState.Term++
			from := s.Entries[rnd.IntN(len(s.Entries))].Index
			p.Entries = []consensus.Entry{{Index: from, Term: p.HardState.Term, Kind: consensus.EntryNoOp}}
		case k == 3:
			p.HardState.Term++
			p.HardState.Vote = "i"
		default:
			for i := range uint64(1 + rnd.IntN(4)) {
				data := fmt.Appendf(nil, "entry %d HLJR", last+1+i)
				p.Entries = append(p.Entries, consensus.Entry{Index: last + 1 + i, Term: p.HardState.Term, Data: data})
			}
		}
		w.add(p)
	}
	return w
}

func (w *workload) add(p consensus.Persist) {
	p.Seq = uint64(len(w.requests) + 1)
	w.requests = append(w.requests, p)
	s := w.states[len(w.states)-1]
	s.HardState = p.HardState
	if p.Snapshot != nil {
		s.Entries = entriesAfter(s, *p.Snapshot)
		s.Snapshot = p.Snapshot
	}
	if len(p.Entries) > 0 {
		keep := p.Entries[0].Index - s.Snapshot.Index - 1
		s.Entries = append(s.Entries[:keep:keep], p.Entries...)
	}
	w.states = append(w.states, s)
}

func entriesAfter(s consensus.DurableState, snapshot consensus.Snapshot) []consensus.Entry {
	for i, e := range s.Entries {
		if e.Index == snapshot.Index && e.Term == snapshot.Term {
			return s.Entries[i+1:]
		}
	}
	return nil
}

// renumbered returns requests as a restarted node numbers them.
func renumbered(requests []consensus.Persist) []consensus.Persist {
	out := slices.Clone(requests)
	for i := range out {
		out[i].Seq = uint64(i + 1)
	}
	return out
}

// write submits requests, up to burst at a time, and returns how many were
// reported durable. It stops at the first error.
func write(t *testing.T, j *Journal, done chan Completion, requests []consensus.Persist, burst int) (int, error) {
	acked := 0
	for len(requests) > 0 {
		n := min(burst, len(requests))
		for _, p := range requests[:n] {
			require.NoError(t, j.Submit(p))
		}
		var failed error
		for range n {
			if c := <-done; c.Err == nil && failed == nil {
				acked++
			} else if failed == nil {
				failed = c.Err
			}
		}
		if failed != nil {
			return acked, failed
		}
		requests = requests[n:]
	}
	return acked, nil
}

func open(fs FS, dir string) (*Journal, Recovered, chan Completion, error) {
	done := make(chan Completion, 1024)
	j, r, err := Open(Options{
		Dir: dir, FS: fs, SegmentBytes: 600,
		Completed: func(c Completion) { done <- c },
	})
	return j, r, done, err
}

func requireState(t *testing.T, want, got consensus.DurableState, msg ...any) {
	t.Helper()
	require.Equal(t, len(want.Entries), len(got.Entries), msg...)
	if len(want.Entries) == 0 {
		want.Entries, got.Entries = nil, nil
	}
	if s := got.Snapshot; s != nil && len(s.Data) == 0 {
		s.Data = nil
	}
	require.Equal(t, want, got, msg...)
}

// Guards against the loss of a request that was reported durable, and against a
// recovered state that no sequence of requests leads to, after a crash at any
// disk operation.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(4) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newWorkload(rnd, 60)
		burst := 1 + int(seed)
		for crashAt := 1; ; crashAt++ {
			fs := newMemFS()
			fs.crashAt = crashAt
			if !crashOnce(t, rnd, fs, w, burst) {
				break
			}
		}
	}
}

// crashOnce reports whether the crash happened before the workload ended.
func crashOnce(t *testing.T, rnd *rand.Rand, fs *memFS, w *workload, burst int) bool {
	acked := 0
	j, first, done, err := open(fs, "d")
	if err == nil {
		acked, err = write(t, j, done, w.requests, burst)
		_ = j.Close()
	}
	crashed := err != nil
	msg := fmt.Sprintf("crash at operation %d", fs.crashAt)
	after := fs.afterCrash(rnd)
	for range rnd.IntN(3) { // crashes during recovery
		after.crashAt = 1 + rnd.IntN(6)
		if j, _, _, err := open(after, "d"); err == nil {
			_ = j.Close()
		} else {
			require.ErrorIs(t, err, errCrashed, msg)
		}
		after = after.afterCrash(rnd)
	}
	j, r, done, err := open(after, "d")
	require.NoError(t, err, msg)
	if acked > 0 {
		require.Equal(t, first.Identity, r.Identity, msg)
	}
	at := matchState(w, r.State, acked)
	require.GreaterOrEqual(t, at, acked, msg)
	_, err = write(t, j, done, renumbered(w.requests[at:]), burst)
	require.NoError(t, err, msg)
	require.NoError(t, j.Close())
	j, r, _, err = open(after, "d")
	require.NoError(t, err, msg)
	requireState(t, w.states[len(w.states)-1], r.State, msg)
	require.NoError(t, j.Close())
	return crashed
}

// matchState returns the number of requests after which the state is s, or -1.
func matchState(w *workload, s consensus.DurableState, from int) int {
	for i := from; i < len(w.states); i++ {
		want := w.states[i]
		same := want.HardState == s.HardState && len(want.Entries) == len(s.Entries) &&
			(want.Snapshot == nil) == (s.Snapshot == nil)
		if same && want.Snapshot != nil {
			same = want.Snapshot.Index == s.Snapshot.Index && want.Snapshot.Term == s.Snapshot.Term
		}
		for k := 0; same && k < len(s.Entries); k++ {
			a, b := want.Entries[k], s.Entries[k]
			same = a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
		}
		if same {
			return i
		}
	}
	return -1
}

// Guards against a journal that continues after a failed sync, when the
// operating system may have dropped the data.
func TestFailedSyncIsFatal(t *testing.T) {
	fs := newMemFS()
	w := newWorkload(rand.New(rand.NewPCG(1, 1)), 10)
	j, _, done, err := open(fs, "d")
	require.NoError(t, err)
	_, err = write(t, j, done, w.requests[:5], 1)
	require.NoError(t, err)
	fs.failSync = true
	var fatal *FatalError
	_, err = write(t, j, done, w.requests[5:6], 1)
	require.ErrorAs(t, err, &fatal)
	fs.failSync = false
	_, err = write(t, j, done, w.requests[5:6], 1)
	require.ErrorAs(t, err, &fatal)
	require.ErrorAs(t, j.Close(), &fatal)
}

// Guards against a full disk that damages the log, and against a request that is
// written before a refused one that precedes it.
func TestFullDiskRefusesAndRecovers(t *testing.T) {
	for space := range 700 {
		fs := newMemFS()
		w := newWorkload(rand.New(rand.NewPCG(uint64(space), 1)), 30)
		j, _, done, err := open(fs, "d")
		require.NoError(t, err)
		fs.mu.Lock()
		fs.space = space
		fs.mu.Unlock()
		acked, err := write(t, j, done, w.requests, 3)
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, CodeStorageFull, verdict.CodeOf(err))
		fs.mu.Lock()
		fs.space = -1
		fs.mu.Unlock()
		_, err = write(t, j, done, w.requests[acked+1:acked+2], 1)
		require.Error(t, err, "a later request was accepted before the refused one")
		_, err = write(t, j, done, w.requests[acked:], 3)
		require.NoError(t, err)
		require.NoError(t, j.Close())
		j, r, _, err := open(fs, "d")
		require.NoError(t, err)
		requireState(t, w.states[len(w.states)-1], r.State)
		require.NoError(t, j.Close())
	}
}

// Guards against a process that ends because its disk is full, on a file system that
// reports this only when data is synced, and against a log that this damages.
func TestFullDiskAtASyncRefusesAndRecovers(t *testing.T) {
	for first := range 30 {
		fs := newMemFS()
		w := newWorkload(rand.New(rand.NewPCG(uint64(first), 2)), 30)
		j, _, done, err := open(fs, "d")
		require.NoError(t, err)
		acked, err := write(t, j, done, w.requests[:first], 3)
		require.NoError(t, err)
		setFull := func(full bool) {
			fs.mu.Lock()
			defer fs.mu.Unlock()
			fs.syncFull = full
		}
		setFull(true)
		for range 2 {
			refused, err := write(t, j, done, w.requests[first:first+1], 1)
			require.Zero(t, refused)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.Equal(t, CodeStorageFull, verdict.CodeOf(err))
			var fatal *FatalError
			require.False(t, errors.As(err, &fatal))
		}
		setFull(false)
		_, err = write(t, j, done, w.requests[acked:], 3)
		require.NoError(t, err)
		require.NoError(t, j.Close())
		j, r, _, err := open(fs, "d")
		require.NoError(t, err)
		requireState(t, w.states[len(w.states)-1], r.State)
		require.NoError(t, j.Close())
	}
}

// Guards against undetected damage before the last record, in any byte of any
// file.
func TestCorruptionIsRefused(t *testing.T) {
	w := newWorkload(rand.New(rand.NewPCG(9, 1)), 40)
	fs := newMemFS()
	j, _, done, err := open(fs, "d")
	require.NoError(t, err)
	_, err = write(t, j, done, w.requests, 1)
	require.NoError(t, err)
	tail := filepath.Join("d", segmentName(j.segments[len(j.segments)-1].number))
	lastRecord := len(appendRecord(nil, 0, record{batch: j.batch, changes: []change{changeOf(w.requests[len(w.requests)-1])}}))
	require.NoError(t, j.Close())
	for name, f := range fs.files {
		for at := range f.data {
			damaged := newMemFS()
			for n, o := range fs.files {
				damaged.files[n] = &memFile{data: append([]byte(nil), o.data...)}
			}
			damaged.files[name].data[at] ^= 0x40
			j, r, _, err := open(damaged, "d")
			if name == tail && at >= len(f.data)-lastRecord {
				require.NoError(t, err, "%s, byte %d", name, at)
				require.Equal(t, int64(lastRecord), r.TruncatedBytes)
				require.NoError(t, j.Close())
				continue
			}
			var corrupt *CorruptError
			require.ErrorAs(t, err, &corrupt, "%s, byte %d", name, at)
			require.Equal(t, name, corrupt.File, "byte %d", at)
			require.LessOrEqual(t, corrupt.Offset, int64(at))
		}
	}
}

// Guards against a log line about a truncated torn write when Open fails and
// leaves the files as they are.
func TestRefusedStartReportsNoTornWrite(t *testing.T) {
	w := newWorkload(rand.New(rand.NewPCG(9, 1)), 40)
	fs := newMemFS()
	j, _, done, err := open(fs, "d")
	require.NoError(t, err)
	_, err = write(t, j, done, w.requests, 1)
	require.NoError(t, err)
	tail := filepath.Join("d", segmentName(j.segments[len(j.segments)-1].number))
	require.NoError(t, j.Close())
	fs.files[tail].data[segmentHeaderSize+12] ^= 0x40
	var log bytes.Buffer
	_, _, err = Open(Options{Dir: "d", FS: fs, Log: eventlog.New(&log, zerolog.InfoLevel, "h"), Completed: func(Completion) {}})
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
	require.Contains(t, log.String(), `"event":4103`)
	require.NotContains(t, log.String(), `"event":4102`)
}

// Guards against two processes that write to one data directory.
func TestDirectoryIsLocked(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	j, first, _, err := open(nil, dir)
	require.NoError(t, err)
	_, _, _, err = open(nil, dir)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, j.Close())
	j, again, _, err := open(nil, dir)
	require.NoError(t, err)
	require.NoError(t, j.Close())
	require.True(t, first.New)
	require.False(t, again.New)
	require.Equal(t, first.Identity, again.Identity)
}

// Guards against a host that forgets at a restart that its disk dates from the first start of the system, or assumes it of an empty disk.
func TestFirstStartIsRecorded(t *testing.T) {
	for _, first := range []bool{true, false} {
		fs := newMemFS()
		for _, o := range []Options{{FirstStart: first}, {}} {
			o.Dir, o.FS = "d", fs
			j, r, err := Open(o)
			require.NoError(t, err)
			require.NoError(t, j.Close())
			require.Equal(t, first, r.FirstStart)
		}
	}
}

// Guards against opening a directory that lost its log under the old identity,
// or one that lost its identity with the old log.
func TestPartlyEmptiedDirectoryIsRefused(t *testing.T) {
	w := newWorkload(rand.New(rand.NewPCG(3, 1)), 5)
	for _, lost := range []string{identityName, "segment"} {
		fs := newMemFS()
		j, _, done, err := open(fs, "d")
		require.NoError(t, err)
		_, err = write(t, j, done, w.requests, 1)
		require.NoError(t, err)
		require.NoError(t, j.Close())
		for name := range fs.files {
			if base := filepath.Base(name); len(base) >= len(lost) && base[:len(lost)] == lost {
				delete(fs.files, name)
			}
		}
		var corrupt *CorruptError
		_, _, _, err = open(fs, "d")
		require.ErrorAs(t, err, &corrupt, lost)
	}
}

// Guards against an unbounded queue.
func TestQueueIsBounded(t *testing.T) {
	block := make(chan struct{})
	j, _, err := Open(Options{
		Dir: "d", FS: newMemFS(), QueueLength: 2,
		Completed: func(Completion) { <-block },
	})
	require.NoError(t, err)
	for seq := uint64(1); err == nil; seq++ {
		require.Less(t, seq, uint64(10))
		err = j.Submit(consensus.Persist{Seq: seq})
	}
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	close(block)
	require.NoError(t, j.Close())
}

// Guards against segments that accumulate over restarts without a change.
func TestRestartsLeaveNoSegments(t *testing.T) {
	fs := newMemFS()
	w := newWorkload(rand.New(rand.NewPCG(1, 1)), 5)
	j, _, done, err := open(fs, "d")
	require.NoError(t, err)
	_, err = write(t, j, done, w.requests, 1)
	require.NoError(t, err)
	require.NoError(t, j.Close())
	for range 10 {
		var r Recovered
		j, r, _, err = open(fs, "d")
		require.NoError(t, err)
		requireState(t, w.states[len(w.states)-1], r.State)
		require.NoError(t, j.Close())
	}
	require.LessOrEqual(t, len(fs.files), 5) // identity, snapshot, segments
}
