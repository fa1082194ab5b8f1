//go:build !linux

package bootclock

import "time"

// readBootTime reports that no clock counts suspensions.
func readBootTime() (time.Duration, bool) { return 0, false }
