package lwlink

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// search is the order in which one call asks the replicas: in rounds, with an
// exponential backoff after each round. Each attempt without an answer doubles the
// time of the next ones, so that a slow leader is not asked again and again for what
// it is about to answer.
type search struct {
	client      *Client
	skipsSilent bool          // leave out replicas for silentPause; only for a call that asks them again later
	tried       []string      // replicas that were asked in this round
	timeout     time.Duration // of the next attempt
	delay       time.Duration // mean pause after this round
	maxDelay    time.Duration
}

// attempt asks the next replica.
func (s *search) attempt(ctx context.Context, method string, params, result any) error {
	address := s.next()
	attempt, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	err := s.client.call(attempt, address, method, params, result)
	if lwfault.KindOf(err) == lwfault.Timeout {
		s.timeout *= 2
		if ctx.Err() == nil {
			s.client.mu.Lock()
			s.client.replicas.markSilent(address)
			s.client.mu.Unlock()
		}
	}
	return err
}

// next returns the replica to ask.
func (s *search) next() string {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	address, ok := s.nextOrNone()
	if !ok {
		s.tried = nil
		address, _ = s.nextOrNone()
	}
	s.tried = append(s.tried, address)
	return address
}

// nextOrNone returns the replica to ask next in this round. The caller holds the
// client's mu.
func (s *search) nextOrNone() (string, bool) {
	if s.skipsSilent {
		return s.client.replicas.next(s.client.replicas.withSilent(s.tried))
	}
	return s.client.replicas.next(s.tried)
}

// pause returns the jittered time to wait before the next attempt: none while the
// round goes on. A leader that refuses ends the round, as the others would redirect
// to it.
func (s *search) pause(err error) time.Duration {
	s.client.mu.Lock()
	_, more := s.nextOrNone()
	s.client.mu.Unlock()
	if more && !provesLeader(err) {
		return 0
	}
	s.tried = nil
	d := s.delay/2 + rand.N(s.delay)
	s.delay = min(2*s.delay, s.maxDelay)
	return d
}
