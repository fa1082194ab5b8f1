package warmup

import (
	"slices"
	"time"
)

// reservation is how long an attempt that has begun may take to be sent, for instance while
// its connection is opened. Later, it must not be sent as part of the share.
const reservation = time.Second

// allowance counts this host's requests to one cold target.
type allowance struct {
	sent     []time.Time // within the last window
	reserved []time.Time // attempts that have begun and are not sent yet
}

func (a *allowance) expire(now time.Time) {
	a.sent = slices.DeleteFunc(a.sent, func(t time.Time) bool { return now.Sub(t) >= window })
	a.reserved = slices.DeleteFunc(a.reserved, func(t time.Time) bool { return now.Sub(t) >= reservation })
}

// admits reports whether an attempt may begin.
func (a *allowance) admits(now time.Time, share int) bool {
	a.expire(now)
	return len(a.sent)+len(a.reserved) < share
}

// begin reserves room for an attempt.
func (a *allowance) begin(now time.Time, share int) bool {
	if !a.admits(now, share) {
		return false
	}
	a.reserved = append(a.reserved, now)
	return true
}

// send counts the request of an attempt that has begun, and reports whether it may be sent.
// An attempt that began while the target was not cold has no reservation.
func (a *allowance) send(now time.Time, share int) bool {
	a.expire(now)
	if len(a.reserved) == 0 || len(a.sent) >= share {
		return false
	}
	a.reserved = a.reserved[1:]
	a.sent = append(a.sent, now)
	return true
}
