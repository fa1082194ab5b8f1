package daemon

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// roundTripTime returns the smoothed round trip time that the kernel measured on a
// TCP connection, or 0 if it has none.
func roundTripTime(c net.Conn) time.Duration {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	var rtt time.Duration
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt
}
