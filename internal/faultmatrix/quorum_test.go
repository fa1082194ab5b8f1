package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against searches that stop with the death of all hosts that hold the
// log, and against a vote of one that came back without its disk.
func TestSearchesOutliveTheLog(t *testing.T) {
	w := startedWorld(t, "log dead", 7)
	for _, v := range w.voters() {
		v.crash()
	}
	w.run(4 * time.Second)
	for end := w.now.Add(20 * time.Second); w.now.Before(end); w.run(checkInterval) {
		for _, h := range w.hosts[3:] {
			if !h.serving() {
				w.fail("%s stopped", h.name)
			}
		}
	}
	w.hosts[0].disk.lose("h0")
	w.hosts[0].start()
	w.hosts[1].start()
	w.run(20 * time.Second)
	require.Nil(t, w.leader(), "a majority of the voters has not returned")
	require.False(t, w.hosts[0].serving(), "no leader has confirmed the configuration")
	w.hosts[2].start()
	w.settle()
}
