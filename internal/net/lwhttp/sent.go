package lwhttp

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// SendTrace tells whether a request can have been sent. http.Transport sends some
// requests again when a reused connection fails: if the second connection is refused,
// the error does not show that the first one was used. The zero value is ready to use,
// for one request.
type SendTrace struct{ connections atomic.Int32 }

// Context returns the context with which the request must be sent.
func (t *SendTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connections.Add(1) }})
}

// NeverSent reports whether err, with which the request failed, proves that no byte of
// it was sent. Only a failed dial does, of a request that has had no connection.
func (t *SendTrace) NeverSent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial" && t.connections.Load() == 0
}
