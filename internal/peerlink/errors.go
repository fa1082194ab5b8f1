package peerlink

import (
	"net"

	"github.com/cockroachdb/errors"
)

// NotSent reports whether a call failed while its connection was being
// established, so that the peer has received nothing of it.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
