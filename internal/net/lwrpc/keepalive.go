package lwrpc

import (
	"context"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	pingMethod        = "ping"
	keepAliveInterval = 250 * time.Millisecond // between checks of all sessions
	idleBeforePing    = 500 * time.Millisecond // time without received bytes before a ping
	pingTimeout       = 700 * time.Millisecond // several round trips between failure domains
)

var (
	rpcPings             = lwmetric.Counter("rpc_pings_total")
	rpcSilentConnections = lwmetric.Counter("rpc_silent_connections_total")
)

// keepAlive pings dialled connections that have been idle and closes those that
// do not answer, until the endpoint is closed. A partition can leave a
// connection open indefinitely, and notifications do not reveal that since they
// have no answers.
func (e *Endpoint) keepAlive() {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
		}
		e.sessions.Range(func(_, v any) bool {
			s := v.(*Session)
			idle := e.clock.Now() - time.Duration(s.lastReceived.Load())
			if s.dialled && idle >= idleBeforePing && s.pinging.CompareAndSwap(false, true) {
				go e.ping(s)
			}
			return true
		})
	}
}

// ping sends a ping and closes the session if neither the answer nor any other
// bytes arrive within pingTimeout.
func (e *Endpoint) ping(s *Session) {
	defer s.pinging.Store(false)
	rpcPings.Add(1)
	sentAt := int64(e.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if err := s.Call(ctx, pingMethod, struct{}{}, nil); err != nil && s.lastReceived.Load() < sentAt {
		rpcSilentConnections.Add(1)
		s.Close()
	}
}
