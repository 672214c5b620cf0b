package lwentry

import (
	"errors"
	"net"
)

// neverSent reports whether err proves that no byte of the request was sent.
// Only a failed dial does.
func neverSent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}
