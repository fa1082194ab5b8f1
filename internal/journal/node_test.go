package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// host runs a single voter with a journal.
type host struct {
	t       testing.TB
	node    *consensus.Node
	journal *Journal
	done    chan Completion
	now     time.Time
	pending int // requests submitted to the journal and not completed
	applied []consensus.Entry
	restore *consensus.Snapshot
	refused int
}

func startHost(t testing.TB, dir string, fs FS) (*host, Recovered) {
	h := &host{t: t, done: make(chan Completion, 1024), now: time.Unix(1000, 0)}
	j, r, err := Open(Options{Dir: dir, FS: fs, Completed: func(c Completion) { h.done <- c }})
	require.NoError(t, err)
	h.journal = j
	self := consensus.Member{Identity: r.Identity, Name: "a", Address: "127.0.0.1:1"}
	h.node, err = consensus.New(consensus.Options{
		Self: self, Initial: []consensus.Member{self}, Rand: rand.New(rand.NewPCG(1, 1)),
	}, r.State)
	require.NoError(t, err)
	return h, r
}

func (h *host) step(ev consensus.Event) {
	for _, e := range h.node.Step(h.now, ev) {
		switch e := e.(type) {
		case consensus.Persist:
			require.NoError(h.t, h.journal.Submit(e))
			h.pending++
		case consensus.Apply:
			h.applied = append(h.applied, e.Entries...)
		case consensus.RestoreSnapshot:
			h.restore = &e.Snapshot
		case consensus.ProposalRefused:
			h.refused++
		}
	}
}

// wait handles one completion.
func (h *host) wait() {
	c := <-h.done
	h.pending--
	require.NoError(h.t, c.Err)
	h.step(consensus.Persisted{Seq: c.Seq})
}

func (h *host) lead() {
	for h.node.Status().Role != consensus.Leader {
		h.now = h.now.Add(consensus.DefaultHeartbeatInterval)
		h.step(consensus.Tick{})
		for h.pending > 0 {
			h.wait()
		}
	}
}

func (h *host) propose(n, size int) {
	for i := range n {
		h.step(consensus.Propose{ID: fmt.Sprint(i), Data: make([]byte, size)})
		for h.pending > 8 {
			h.wait()
		}
	}
	for h.pending > 0 {
		h.wait()
	}
	require.Zero(h.t, h.refused)
}

// Guards against a node that restarts from a journal without its committed
// state, with and without a snapshot.
func TestNodeRestartsFromJournal(t *testing.T) {
	for _, compact := range []bool{false, true} {
		fs := newMemFS()
		h, _ := startHost(t, "d", fs)
		h.lead()
		h.propose(100, 10)
		before := h.node.Status()
		if compact {
			h.step(consensus.Compact{Index: before.Applied - 10, Data: []byte("state")})
			h.wait()
		}
		require.NoError(t, h.journal.Close())

		h, r := startHost(t, "d", fs.afterCrash(rand.New(rand.NewPCG(1, 1))))
		require.False(t, r.New)
		h.lead()
		after := h.node.Status()
		require.Equal(t, before.Applied+1, after.Applied) // the no-op of the new term
		require.Greater(t, after.Term, before.Term)
		if compact {
			require.Equal(t, "state", string(h.restore.Data))
			require.Len(t, h.applied, 11)
		}
		require.NoError(t, h.journal.Close())
	}
}

// BenchmarkChanges measures changes through a single voter and its journal,
// with a given number of changes in flight.
func BenchmarkChanges(b *testing.B) {
	for _, inFlight := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("in-flight=%d", inFlight), func(b *testing.B) {
			h, _ := startHost(b, b.TempDir(), nil)
			h.lead()
			data := make([]byte, 256)
			syncs := h.journal.Stats().Syncs
			b.ResetTimer()
			start := len(h.applied)
			for proposed := 0; len(h.applied)-start < b.N; {
				for proposed < b.N && proposed-(len(h.applied)-start) < inFlight {
					h.step(consensus.Propose{ID: "p", Data: data})
					proposed++
				}
				h.wait()
			}
			b.StopTimer()
			require.Zero(b, h.refused)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(h.journal.Stats().Syncs-syncs)/float64(b.N), "syncs/change")
			require.NoError(b, h.journal.Close())
		})
	}
}

// BenchmarkRecovery measures opening a journal and starting a node on it.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{300, 76_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%t", entries, snapshot), func(b *testing.B) {
				dir := b.TempDir()
				h, _ := startHost(b, dir, nil)
				h.lead()
				h.propose(entries, 256)
				if snapshot {
					// A snapshot of the state is smaller than the changes that
					// led to it; 4 MiB is the data of 16,000 changes.
					size := min(entries*256, 4<<20)
					h.step(consensus.Compact{Index: h.node.Status().Applied, Data: make([]byte, size)})
					h.wait()
				}
				require.NoError(b, h.journal.Close())
				var r Recovered
				b.ResetTimer()
				for range b.N {
					h, r = startHost(b, dir, nil)
					h.step(consensus.Tick{})
					b.StopTimer()
					require.NoError(b, h.journal.Close())
					b.StartTimer()
				}
				b.ReportMetric(float64(r.Bytes), "bytes")
				b.ReportMetric(float64(r.Entries), "entries")
			})
		}
	}
}
