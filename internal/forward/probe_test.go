package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Simulates a searcher that resets every connection for ten seconds, and a host
// that checks for searchers without a connection at every change of its
// targets, a hundred times a second. Guards against a storm of connections that
// keeps the searcher at its limit, and against a searcher that stays unused
// after it has recovered.
func TestProbesBackOffFromASearcherThatResets(t *testing.T) {
	var p ProbeBackoff
	opened := 0
	now := start
	for now.Sub(start) < 10*time.Second {
		if p.Due(now) {
			opened++
			p.Ended(now, time.Millisecond, false, 0.5)
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.Less(t, opened, 12)
	recovered := now
	for !p.Due(now) {
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, now.Sub(recovered), maxProbeWait)
	p.Ended(now, time.Second, true, 0.5)
	require.True(t, p.Due(now), "a searcher that answered may be probed at once")
}
