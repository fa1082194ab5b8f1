//go:build !linux

package bootclock

import "time"

// sinceBoot reports that no clock counts suspensions.
func sinceBoot() (time.Duration, bool) { return 0, false }
