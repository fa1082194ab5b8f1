package peerlink

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitSilence makes the system close a connection whose peer acknowledges no bytes for
// maxSilence.
func limitSilence(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option, calls on a silent connection end by their own timeouts.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxSilence.Milliseconds()))
	})
}
