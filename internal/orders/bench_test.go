package orders

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fill claims n requests and records results of 100 bytes for them.
func fill(b *testing.B, l *Ledger, n int) {
	for i := range uint64(n) {
		id := fmt.Sprintf("%d-%d", epoch.UnixMilli(), i)
		token := Token{Claimant{"h" + fmt.Sprint(i%12), 1}, i}
		at := epoch.Add(time.Duration(i) * time.Millisecond)
		require.Equal(b, Granted, l.Apply(2*i+1, Claim{RequestID: id, Content: content, Token: token, At: at}).Outcome)
		l.Apply(2*i+2, Record{RequestID: id, Token: token, Result: Result{Status: 200, Body: make([]byte, 100)}, At: at})
	}
}

// BenchmarkClaimAndRecord measures the cost of one order on the control
// goroutine.
func BenchmarkClaimAndRecord(b *testing.B) {
	limits := DefaultLimits()
	limits.MaxEntries, limits.MaxBytes = 1<<30, 1<<40
	l := NewLedger(limits)
	b.ReportAllocs()
	b.ResetTimer()
	fill(b, l, b.N)
}

// BenchmarkState measures how long a snapshot of 100,000 requests blocks the
// control goroutine, and the memory that the ledger occupies.
func BenchmarkState(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := NewLedger(DefaultLimits())
	fill(b, l, 100_000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		l.State()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
}
