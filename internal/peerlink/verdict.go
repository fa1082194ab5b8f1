package peerlink

import (
	"net"

	"github.com/cockroachdb/errors"
)

// NotSent reports whether a call failed while its connection was being set
// up, so that the peer has seen nothing of it.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
