package accounts

import "time"

// Confirmations determines since when the plan in force at a host is known to be the
// newest one. The control goroutine owns it. The zero value has seen no confirmation.
type Confirmations struct {
	plan  uint64    // version that the latest confirmation names; 0 if it names none
	at    time.Time // when the leader issued it
	since time.Time
}

// Confirmed records that the leader stated at a time that plan was the newest version.
// It reports whether Since has changed. inForce is the version in force at this host.
func (c *Confirmations) Confirmed(plan uint64, at time.Time, inForce uint64) bool {
	if at.Before(c.at) {
		return false
	}
	c.plan, c.at = plan, at
	return c.InForce(inForce)
}

// InForce records the version in force at this host, and reports whether Since has
// changed. A confirmation that names a newer version counts once the host has that
// version. A leader whose build names no version confirms no plan.
func (c *Confirmations) InForce(version uint64) bool {
	covered := version >= c.plan && (c.plan != 0 || version == 0)
	if !covered || !c.at.After(c.since) {
		return false
	}
	c.since = c.at
	return true
}

// Since returns when a leader last stated that no plan newer than the one in force here
// was accepted, or the zero time if none has done so.
func (c *Confirmations) Since() time.Time { return c.since }
