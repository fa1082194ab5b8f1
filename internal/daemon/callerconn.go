package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// callerConn is the connection on which a caller's request arrived.
type callerConn struct {
	net.Conn
	requests atomic.Int64
}

type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the callers' server.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	// The round trip time is that of the connection below the limits on clients.
	if limited, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = limited.NetConn()
	}
	return context.WithValue(ctx, callerConnKey{}, &callerConn{Conn: c})
}

// maxCallerDelay bounds the time on the network that is attributed to a caller. A
// greater round trip time is that of a retransmission.
const maxCallerDelay = 100 * time.Millisecond

// CallerDelay returns how much time of a request's latency passes on the network
// between the caller and this host: the way of the request and the answer and, for
// the first request on a connection, the set-up of the connection. It is 0 if the
// system does not know the round trip time. It must be called once for each request.
func (d *Daemon) CallerDelay(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	return callerDelay(roundTripTime(c.Conn), c.requests.Add(1) == 1)
}

func callerDelay(roundTrip time.Duration, first bool) time.Duration {
	if first {
		roundTrip *= 2
	}
	return min(max(roundTrip, 0), maxCallerDelay)
}
