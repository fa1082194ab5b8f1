package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readBootTime returns the time since the machine was booted, suspensions included.
func readBootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
