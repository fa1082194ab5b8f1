package faultmatrix

import (
	"slices"
	"testing"
	"time"
)

// paired are the faults that are combined with each other.
var paired = []string{
	"host crash", "host pause", "control host cut off one way", "control host deaf", "control host cut off both ways",
	"disk lost", "disk full", "failure domain lost", "loss and duplication", "drain",
}

// Guards against two faults at once: the first at the leader of the log, the
// second a second later at another voter, while changes and orders go on.
func TestPairsOfFaults(t *testing.T) {
	for _, a := range paired {
		for _, b := range paired {
			if a == "disk lost" && b == a {
				continue // see TestMajorityOfDisksLost
			}
			t.Run(a+"/"+b, func(t *testing.T) {
				t.Parallel()
				runPair(t, named(a), named(b))
			})
		}
	}
}

func named(name string) fault {
	return faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
}

func runPair(t *testing.T, a, b fault) {
	w := startedWorld(t, "pair/"+a.name+"/"+b.name, 5)
	first := w.leader()
	second := w.other(first)
	w.push(first, group("before", "an", first.snapshot.Revision))
	a.begin(w, first)
	w.note("fault %s at %s", a.name, first.name)
	w.run(time.Second)
	b.begin(w, second)
	w.note("fault %s at %s", b.name, second.name)
	for _, h := range w.hosts {
		w.push(h, group("during-"+h.name, "an", h.snapshot.Revision))
	}
	submitOrders(w, first)
	a.end(w, first)
	w.run(time.Second)
	b.end(w, second)
	clear(w.net.cut)
	w.settle()
	pushesEnd(w, first)
	ordersEnd(w, first)
}

// Guards against a log that goes on, and an older configuration that comes back,
// after two of three disks were lost at once: no majority holds what was
// accepted, so there must be no leader, while the other hosts go on serving.
func TestMajorityOfDisksLost(t *testing.T) {
	w := startedWorld(t, "two disks", 5)
	first := w.leader()
	second := w.other(first)
	loseDisk(w, first)
	loseDisk(w, second)
	w.run(time.Second)
	first.start()
	second.start()
	for end := w.now.Add(30 * time.Second); w.now.Before(end); w.run(checkInterval) {
		if l := w.leader(); l != nil {
			w.fail("%s leads", l.name)
		}
		if first.serving() || second.serving() {
			w.fail("a host serves that knows no confirmed configuration")
		}
	}
}
