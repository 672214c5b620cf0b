package lwrpc

import (
	"context"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	pingMethod   = "ping"
	pingInterval = 250 * time.Millisecond // between looks at the sessions
	quietLimit   = 500 * time.Millisecond // without a byte until the peer is asked for one
	silenceLimit = 700 * time.Millisecond // for its answer; several round trips between failure domains
)

var (
	rpcPings  = lwmetric.Counter("rpc_pings_total")
	rpcSilent = lwmetric.Counter("rpc_silent_connections_total")
)

// keepAlive closes dialled connections that have gone silent. A partition may
// leave them open for good, and notifications have no answers to miss.
func (e *Endpoint) keepAlive() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
		}
		e.sessions.Range(func(_, v any) bool {
			s := v.(*Session)
			quiet := e.clock.Now() - time.Duration(s.heard.Load())
			if s.dialled && quiet >= quietLimit && s.pinging.CompareAndSwap(false, true) {
				go e.ping(s)
			}
			return true
		})
	}
}

// ping asks for a sign of life and closes the session without one.
func (e *Endpoint) ping(s *Session) {
	defer s.pinging.Store(false)
	rpcPings.Add(1)
	sent := int64(e.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), silenceLimit)
	defer cancel()
	if err := s.Call(ctx, pingMethod, struct{}{}, nil); err != nil && s.heard.Load() < sent {
		rpcSilent.Add(1)
		s.Close()
	}
}
