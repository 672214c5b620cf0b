package lwlink

import (
	"math/rand/v2"
	"time"
)

// search is the order in which one call asks the replicas: in rounds, with an
// exponential backoff after each round.
type search struct {
	client   *Client
	tried    []string // replicas that were asked in this round
	delay    time.Duration
	maxDelay time.Duration
}

// next returns the replica to ask.
func (s *search) next() string {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	address, ok := s.client.replicas.next(s.tried)
	if !ok {
		s.tried = nil
		address, _ = s.client.replicas.next(nil)
	}
	s.tried = append(s.tried, address)
	return address
}

// pause returns the jittered time to wait before the next attempt: none while the
// round goes on. A leader that refuses ends the round, as the others would redirect
// to it.
func (s *search) pause(err error) time.Duration {
	s.client.mu.Lock()
	_, more := s.client.replicas.next(s.tried)
	s.client.mu.Unlock()
	if more && !provesLeader(err) {
		return 0
	}
	s.tried = nil
	d := s.delay/2 + rand.N(s.delay)
	s.delay = min(2*s.delay, s.maxDelay)
	return d
}
