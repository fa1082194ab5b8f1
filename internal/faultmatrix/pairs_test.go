package faultmatrix

import (
	"slices"
	"testing"
	"time"
)

// pairedFaults are the faults that TestPairsOfFaults combines with each other.
var pairedFaults = []string{
	"host crash", "host pause", "control host cut off one way", "control host deaf", "control host cut off both ways",
	"disk lost", "disk full", "failure domain lost", "loss and duplication", "drain",
}

// Guards against violated invariants under two overlapping faults, while changes
// and orders go on: the first fault hits the leader of the log, the second hits
// another voter one second later.
func TestPairsOfFaults(t *testing.T) {
	for _, a := range pairedFaults {
		for _, b := range pairedFaults {
			if a == "disk lost" && b == a {
				continue // see TestMajorityOfDisksLost
			}
			t.Run(a+"/"+b, func(t *testing.T) {
				t.Parallel()
				runPair(t, faultNamed(a), faultNamed(b))
			})
		}
	}
}

func faultNamed(name string) fault {
	return faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
}

func runPair(t *testing.T, a, b fault) {
	sim := startSimulation(t, "pair/"+a.name+"/"+b.name, 5)
	first := sim.leader()
	second := sim.other(first)
	sim.push(first, group("before", "an", first.snapshot.Revision))
	a.begin(sim, first)
	sim.logf("fault %s at %s", a.name, first.name)
	sim.run(time.Second)
	b.begin(sim, second)
	sim.logf("fault %s at %s", b.name, second.name)
	for _, h := range sim.hosts {
		sim.push(h, group("during-"+h.name, "an", h.snapshot.Revision))
	}
	submitOrders(sim, first)
	a.end(sim, first)
	sim.run(time.Second)
	b.end(sim, second)
	clear(sim.net.cut)
	sim.settle()
	checkPushes(sim, first)
	checkOrders(sim, first)
}

// Guards against a log that continues, and an older configuration that returns,
// after two of three disks were lost at once. No majority holds the accepted
// changes any more, so no leader may be elected and the hosts that lost their
// disks must not serve, while the other hosts keep serving.
func TestMajorityOfDisksLost(t *testing.T) {
	sim := startSimulation(t, "two disks", 5)
	first := sim.leader()
	second := sim.other(first)
	loseDisk(sim, first)
	loseDisk(sim, second)
	sim.run(time.Second)
	first.start()
	second.start()
	for end := sim.now.Add(30 * time.Second); sim.now.Before(end); sim.run(checkInterval) {
		if l := sim.leader(); l != nil {
			sim.failf("%s leads without a majority of the disks", l.name)
		}
		if first.serving() || second.serving() {
			sim.failf("a host serves without a confirmed configuration")
		}
	}
}
