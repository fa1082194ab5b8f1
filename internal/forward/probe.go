package forward

import "time"

// ProbeBackoff decides when a connection may be opened to a searcher that has
// none, other than for a request.
//
// It protects searchers that accept connections and reset them at once, as they
// do beyond their connection limit. Each new connection costs such a searcher
// work, so a host that reconnected at once would keep it overloaded.
type ProbeBackoff struct {
	failures int
	next     time.Time
}

// Delays after failed connections.
const (
	// firstProbeWait is short, since most searchers that a probe finds have
	// just started.
	firstProbeWait = 200 * time.Millisecond
	// maxProbeWait bounds how long a searcher stays unused after it has
	// recovered.
	maxProbeWait = 1600 * time.Millisecond
	// probeJitter is the random share of a delay, which keeps hosts from
	// opening connections at the same time.
	probeJitter = 0.25
	// failedWithin is the age below which a connection that ends without a
	// reply counts as failed. An older one was idle for too long.
	failedWithin = time.Second
)

// Due reports whether a connection may be opened.
func (p *ProbeBackoff) Due(now time.Time) bool { return !now.Before(p.next) }

// Ended records that a connection ended at the given age or could not be
// opened, and whether it carried a reply. random is a number from 0 to 1.
func (p *ProbeBackoff) Ended(now time.Time, age time.Duration, answered bool, random float64) {
	if answered || age >= failedWithin {
		*p = ProbeBackoff{}
		return
	}
	wait := min(firstProbeWait<<min(p.failures, 8), maxProbeWait)
	p.failures++
	p.next = now.Add(wait - time.Duration(probeJitter*random*float64(wait)))
}
