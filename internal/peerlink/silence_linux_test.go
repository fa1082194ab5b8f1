package peerlink

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against calls that hang until their own timeouts, with the messages queued behind them, on a connection that has gone silent.
func TestSilentConnectionsAreClosedBySystem(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	links := New()
	defer links.Close()
	c, err := links.client.Transport.(peerTransport).DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var timeout int
	require.NoError(t, raw.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, int(maxSilence.Milliseconds()), timeout)
}
