package daemon

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections of callers that stay open although nobody uses them,
// and against one that is closed while it is in use or before the limit of the
// configuration in force.
func TestIdleConnectionsOfCallersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := time.Duration(0)
		i := newIdleCloser(func() time.Duration { return limit })
		closed := func(c net.Conn) bool {
			_ = c.SetReadDeadline(time.Now().Add(time.Microsecond))
			_, err := c.Read(make([]byte, 1))
			timeout, ok := err.(net.Error)
			return !ok || !timeout.Timeout()
		}
		server, client := net.Pipe()
		defer client.Close()
		i.changed(server, http.StateIdle)
		time.Sleep(time.Hour)
		require.False(t, closed(client), "no limit")
		limit = 10 * time.Second
		i.changed(server, http.StateActive)
		time.Sleep(time.Hour)
		require.False(t, closed(client), "in use")
		for range 5 {
			i.changed(server, http.StateIdle)
			time.Sleep(9 * time.Second)
			i.changed(server, http.StateActive)
		}
		require.False(t, closed(client))
		i.changed(server, http.StateIdle)
		time.Sleep(11 * time.Second)
		require.True(t, closed(client))
		require.Empty(t, i.timers)
		i.changed(server, http.StateClosed)
	})
}
