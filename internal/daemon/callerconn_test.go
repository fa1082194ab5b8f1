package daemon

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that reaches the caller too late because the network's
// part of the latency is not known or is taken for the time of a retransmission, and
// against one that is cut short for connections that were set up long ago.
func TestCallerDelay(t *testing.T) {
	require.Equal(t, 12*time.Millisecond, callerDelay(6*time.Millisecond, true))
	require.Equal(t, 6*time.Millisecond, callerDelay(6*time.Millisecond, false))
	require.Equal(t, maxCallerDelay, callerDelay(3*time.Second, false))
	require.Zero(t, callerDelay(0, true))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := ln.Accept()
	require.NoError(t, err)
	rtt := roundTripTime(server)
	require.GreaterOrEqual(t, rtt, time.Duration(0))
	if runtime.GOOS == "linux" {
		require.Positive(t, rtt)
	}
	require.NoError(t, server.Close())
	require.Zero(t, roundTripTime(server), "a closed connection")
	require.Zero(t, (&Daemon{}).CallerDelay(t.Context()), "a request without its connection")
}
