package intakerun

import (
	"net"
	"syscall"
)

// limitReceiveBuffer sets the size of the receive buffers of connections that a listener
// will accept. Set on an accepted connection, it would come after the first bytes. A
// socket that does not allow it keeps the size of the system.
func limitReceiveBuffer(ln net.Listener, bytes int) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
}
