package faultmatrix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a run that differs from the last one of the same seed, whose
// faults could not be found again.
func TestRunsRepeat(t *testing.T) {
	history := func() []string {
		w := startedWorld(t, "repeat", 5)
		h := w.leader()
		named("loss and duplication").begin(w, h)
		w.push(h, group("once", "an", h.snapshot.Revision))
		submitOrders(w, h)
		named("loss and duplication").end(w, h)
		w.settle()
		return w.history
	}
	require.Equal(t, history(), history())
}
