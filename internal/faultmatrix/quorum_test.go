package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that stop serving searches when all voters have crashed,
// and against a vote of a voter that returned without its disk.
func TestSearchesContinueWithoutVoters(t *testing.T) {
	sim := startSimulation(t, "log dead", 7)
	for _, v := range sim.voters() {
		v.crash()
	}
	sim.run(4 * time.Second)
	for end := sim.now.Add(20 * time.Second); sim.now.Before(end); sim.run(checkInterval) {
		for _, h := range sim.hosts[3:] {
			if !h.serving() {
				sim.failf("%s stopped serving", h.name)
			}
		}
	}
	sim.hosts[0].disk.lose("h0")
	sim.hosts[0].start()
	sim.hosts[1].start()
	sim.run(20 * time.Second)
	require.Nil(t, sim.leader(), "a majority of the voters has not returned")
	require.False(t, sim.hosts[0].serving(), "no leader has confirmed the configuration")
	sim.hosts[2].start()
	sim.settle()
}
