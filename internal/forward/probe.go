package forward

import "time"

// Probes decides when a connection is opened to a searcher that has none, other
// than for a request.
//
// It answers searchers that accept connections and reset them at once, as they
// do beyond their limit. Each new connection costs such a searcher work, so that
// a host which opened the next one at once would keep it overloaded.
type Probes struct {
	failures int
	next     time.Time
}

// Times between two connections that failed.
const (
	// firstProbeWait is short, since most searchers that are found in this way
	// have just started.
	firstProbeWait = 200 * time.Millisecond
	// maxProbeWait bounds the time for which a searcher that is back stays
	// unused.
	maxProbeWait = 1600 * time.Millisecond
	// probeSpread is the share of a wait that is left to chance, so that the
	// hosts do not open their connections at the same time.
	probeSpread = 0.25
	// failedWithin is the age up to which a connection that ends without an
	// answer counts as failed. An older one was idle for too long.
	failedWithin = time.Second
)

// Due reports whether a connection may be opened.
func (p *Probes) Due(now time.Time) bool { return !now.Before(p.next) }

// Ended notes a connection that ended at an age, or could not be opened, and
// whether an answer had come over it. Draw is a random number from 0 to 1.
func (p *Probes) Ended(now time.Time, age time.Duration, answered bool, draw float64) {
	if answered || age >= failedWithin {
		*p = Probes{}
		return
	}
	wait := min(firstProbeWait<<min(p.failures, 8), maxProbeWait)
	p.failures++
	p.next = now.Add(wait - time.Duration(probeSpread*draw*float64(wait)))
}
