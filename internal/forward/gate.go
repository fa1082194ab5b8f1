package forward

import "time"

// Gate keeps requests away from searchers for reasons that the searchers themselves don't
// state in their replies. It must be safe for concurrent use.
type Gate interface {
	// Admits reports whether an attempt may begin at a searcher now. It reserves nothing and
	// is called any number of times while a searcher is chosen.
	Admits(now time.Time, id Identity) bool
	// Held records that an attempt was kept away from a searcher that Admits did not admit.
	Held(id Identity)
	// Begin records that an attempt begins at a searcher that Admits has admitted. It
	// reports whether the searcher still admits it. It reserves room and is called once for
	// each attempt, after Admits and before Send.
	Begin(now time.Time, id Identity) bool
	// Send reports whether the request of an attempt that has begun may now be sent.
	// The answer can change while the attempt waits for a connection. It counts the request
	// and is called at most once after Begin, immediately before the request is sent.
	Send(now time.Time, id Identity) bool
	// Lost records that a connection to a searcher could not be opened, or that the
	// searcher ended one in the middle of a request or before its idle time.
	Lost(now time.Time, id Identity)
}

// openGate admits all attempts.
type openGate struct{}

func (openGate) Admits(time.Time, Identity) bool { return true }
func (openGate) Held(Identity)                   {}
func (openGate) Begin(time.Time, Identity) bool  { return true }
func (openGate) Send(time.Time, Identity) bool   { return true }
func (openGate) Lost(time.Time, Identity)        {}

// SetGate sets the gate of the group. Without one, all attempts are admitted.
func (g *Group) SetGate(gate Gate) {
	if gate != nil {
		g.gate = gate
	}
}

// admits reports whether the gate lets an attempt begin at a searcher, and records that it
// does not.
func (g *Group) admits(now time.Time, s *Searcher) bool {
	ok := g.gate.Admits(now, s.Identity)
	if !ok {
		g.gate.Held(s.Identity)
	}
	return ok
}

// recordHeld records that an attempt was kept away from each searcher that only the gate does
// not admit.
func (g *Group) recordHeld(now time.Time) {
	for _, s := range g.searchers {
		if s.usable() {
			g.admits(now, s)
		}
	}
}

// ConnectionLost records that a connection to a searcher was lost or could not be opened.
func (g *Group) ConnectionLost(now time.Time, id Identity) { g.gate.Lost(now, id) }

// MaySend reports whether the request of an attempt may now be sent to its searcher. Unlike
// the other methods of a Group, it may be called concurrently with any of them but SetGate.
func (g *Group) MaySend(now time.Time, id Identity) bool { return g.gate.Send(now, id) }
