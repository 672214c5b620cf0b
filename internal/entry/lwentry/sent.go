package lwentry

import (
	"errors"
	"net"
)

// neverSent reports whether err is certain to have come before any byte of the
// request left: only a failed dial is.
func neverSent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}
