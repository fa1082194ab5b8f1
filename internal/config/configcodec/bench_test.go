package configcodec

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// changesPerDay is the number of changes a day that the design assumes.
const changesPerDay = 76_000

// encodedChanges returns n changes to 200 groups and 2,000 selectors.
func encodedChanges(b *testing.B, n int) [][]byte {
	out := make([][]byte, n)
	for i := range out {
		c := config.Change{ID: fmt.Sprintf("c%d-0123456789abcdef", i), Author: "an", Team: config.AdminTeam, Note: "a note", Base: uint64(i)}
		group := fmt.Sprintf("group-%d", i%200)
		if i < 200 {
			c.Ops = []config.Op{config.PutGroup{Group: routing.Group{Name: group, Team: "red", Match: routing.Labels{"app": group}}}}
		} else {
			app := fmt.Sprintf("app-%d", i%2000)
			c.Ops = []config.Op{config.PutSelector{Selector: routing.Selector{
				Name: app, Owner: "red", Team: "red", Match: routing.Labels{"app": app, "version": fmt.Sprint(i / 2000)}, Group: group,
			}}}
		}
		data, err := EncodeChange(c)
		require.NoError(b, err)
		out[i] = data
	}
	return out
}

func replay(b *testing.B, changes [][]byte) *config.Store {
	s := config.NewStore()
	for i, data := range changes {
		c, err := DecodeChange(data)
		require.NoError(b, err)
		s.Apply(uint64(i+1), time.Unix(int64(i), 0), c)
	}
	require.Equal(b, uint64(len(changes)), s.Revision())
	return s
}

// BenchmarkReplayOfADay measures recovery from a log of one day's changes
// without a snapshot.
func BenchmarkReplayOfADay(b *testing.B) {
	changes := encodedChanges(b, changesPerDay)
	for b.Loop() {
		replay(b, changes)
	}
}

// BenchmarkRestore measures recovery from a snapshot with MaxRecords results,
// and the memory that the restored store holds.
func BenchmarkRestore(b *testing.B) {
	data, err := EncodeState(replay(b, encodedChanges(b, config.MaxRecords)).State())
	require.NoError(b, err)
	for b.Loop() {
		state, err := DecodeState(data)
		require.NoError(b, err)
		config.Restore(state)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	state, err := DecodeState(data)
	require.NoError(b, err)
	s := config.Restore(state)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
	b.ReportMetric(float64(len(data))/1e6, "MB-snapshot")
	runtime.KeepAlive(s)
}

// BenchmarkState measures how long a snapshot blocks the owner of the store.
func BenchmarkState(b *testing.B) {
	s := replay(b, encodedChanges(b, config.MaxRecords))
	for b.Loop() {
		s.State()
	}
}
