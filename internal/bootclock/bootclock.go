// Package bootclock reads a clock that never goes back and that counts the time for
// which the machine is suspended. The monotonic clock of the Go runtime stands still
// then, so a promise that is limited by it lasts longer than its holder's peers assume.
package bootclock

import "time"

var (
	sinceBoot = readBootTime // replaced in tests

	startedAt = time.Now()
	origin, _ = sinceBoot()
)

// Now returns the current time. It follows the time since boot, not the time of day,
// so only differences between its results have a meaning. Where the system has no such
// clock, it follows the monotonic clock of the runtime; see CountsSuspension.
//
// Its results must not be compared with those of time.Now, from which they differ by
// the time for which the machine was suspended; FromRuntime and ToRuntime convert.
func Now() time.Time {
	if boot, ok := sinceBoot(); ok {
		return startedAt.Add(boot - origin)
	}
	return startedAt.Add(time.Since(startedAt))
}

// CountsSuspension reports whether the system has a clock that counts suspensions.
func CountsSuspension() bool {
	_, ok := sinceBoot()
	return ok
}

// Suspended returns how long the machine has been suspended since the process started,
// 0 where no clock shows it. The result may be too small by the time for which this
// thread did not run between the two readings, but never too large.
func Suspended() time.Duration {
	boot, ok := sinceBoot()
	if !ok {
		return 0
	}
	return max(0, boot-origin-time.Since(startedAt))
}

// FromRuntime converts a time of the runtime's clock, such as the deadline of a
// context, to a time of this clock.
func FromRuntime(t time.Time) time.Time { return Now().Add(time.Until(t)) }

// ToRuntime converts a time of this clock to a time of the runtime's clock, for timers
// and deadlines of connections.
func ToRuntime(t time.Time) time.Time { return time.Now().Add(t.Sub(Now())) }
