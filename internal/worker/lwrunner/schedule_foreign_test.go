package lwrunner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// announce has the agent handle an announcement, once it handles anything.
func (a *agent) announce(info lwdispatch.WorkerInfo, seq int64) {
	a.awaitThaw("announcement")
	a.runner.Announce(info, seq)
}

func (a *agent) deregister(i lwjob.WorkerIncarnation) {
	a.awaitThaw("deregistration")
	a.runner.Deregister(i)
}

// freeze has the agent of a machine handle nothing for a while.
func (s *schedule) freeze(m *machine, d time.Duration) {
	s.mu.Lock()
	a := m.agent
	s.mu.Unlock()
	if a == nil {
		return
	}
	s.logf("%s: its agent is frozen for %v", m.name, d)
	a.mu.Lock()
	a.frozenUntil = time.Now().Add(d)
	a.mu.Unlock()
	sleep(s.ctx, d)
}

// awaitThaw waits until the agent is not frozen, and reports whether it was. What has waited is
// handled in any order.
func (a *agent) awaitThaw(label string) bool {
	for waited := false; ; waited = true {
		a.mu.Lock()
		left := time.Until(a.frozenUntil)
		a.mu.Unlock()
		if left > 0 && sleep(a.ctx, left) {
			continue
		}
		if waited {
			sleep(a.ctx, between(a.m.s.rng("thaw", a.m.name, label), 0, time.Millisecond))
		}
		return waited
	}
}

// await returns the answer to a call of an agent, or what none returns if ctx ends before. A frozen
// agent finds the answer and the end of ctx at the same time.
func await[T any](ctx context.Context, a *agent, label string, answer <-chan T, none func() T) T {
	var x T
	answered := false
	select {
	case x = <-answer:
		answered = true
	case <-ctx.Done():
	}
	if a.awaitThaw(label) && ctx.Err() != nil {
		select {
		case x = <-answer:
			answered = true
		default:
		}
		answered = answered && a.m.s.rng("late answer", a.m.name, label).IntN(2) == 0
	}
	if !answered {
		return none()
	}
	return x
}

// awaitVoice waits until the worker of a machine answers calls. It reports whether ctx has not ended
// before.
func (s *schedule) awaitVoice(ctx context.Context, m *machine, label string) bool {
	for waited := false; ; waited = true {
		s.mu.Lock()
		left := time.Until(m.silentUntil)
		s.mu.Unlock()
		switch {
		case left <= 0 && !waited:
			return true
		case left <= 0:
			return sleep(ctx, between(s.rng("voice", m.name, label), 0, 2*time.Millisecond))
		case !sleep(ctx, left):
			return false
		}
	}
}

// silence has the worker of a machine answer no call for a while. It carries out those that it
// receives at once or at the end. Its heartbeats go on or not.
func (s *schedule) silence(m *machine, rng *rand.Rand) {
	d, defers, withoutBeats := between(rng, 100*time.Millisecond, 3*time.Second), rng.IntN(2) == 0, rng.IntN(2) == 0
	s.mu.Lock()
	m.silentUntil, m.defersCalls, m.withoutBeats = time.Now().Add(d), defers, withoutBeats
	s.mu.Unlock()
	s.logf("%s: its worker is silent for %v, defers calls: %v, without heartbeats: %v", m.name, d, defers, withoutBeats)
	sleep(s.ctx, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.withoutBeats = false
}

// endEarly has the worker of a machine say that it ends, and end some time later.
func (s *schedule) endEarly(m *machine, rng *rand.Rand) {
	statesStart, left := rng.IntN(2) == 0, between(rng, 500*time.Millisecond, 6*time.Second)
	s.mu.Lock()
	a, w := m.agent, m.worker
	if w != nil {
		w.draining = true
	}
	s.mu.Unlock()
	if w == nil {
		return
	}
	i := w.id
	if !statesStart {
		i.StartedAt = 0
	}
	s.logf("%s: worker %v deregisters", m.name, w.id)
	if a != nil {
		a.deregister(i)
	}
	sleep(s.ctx, left)
	s.crash(m, rng, false)
}

// callForeign has the agent of a machine hear several times of an incarnation that has not called
// it, or that this one ends.
func (s *schedule) callForeign(m *machine, rng *rand.Rand) {
	i := s.foreignIncarnation(m, rng)
	info := lwdispatch.WorkerInfo{
		Incarnation: i, Service: "press", Domain: "a", DrainTimeLeft: lwunit.Duration(2 * time.Second), Draining: rng.IntN(4) == 0,
		Capacity: lwunit.Resources{Millicores: fullMillicores, Memory: 64 * lwunit.GiB},
	}
	ends, seq, times := rng.IntN(6) == 0, int64(1000*rng.IntN(2)), 1+rng.IntN(4)
	for range times {
		s.mu.Lock()
		a := m.agent
		s.mu.Unlock()
		if seq++; a != nil {
			s.logf("%s: its agent hears of worker %v, draining: %v, ends: %v", m.name, i, info.Draining, ends)
			if ends {
				a.deregister(i)
			} else {
				a.announce(info, seq)
			}
		}
		if !sleep(s.ctx, between(rng, heartbeatInterval*9/10, heartbeatInterval*11/10)) || s.calm.Load() {
			return
		}
	}
}

// foreignIncarnation returns an incarnation that does not run on a machine.
func (s *schedule) foreignIncarnation(m *machine, rng *rand.Rand) lwjob.WorkerIncarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, n, inFuture := rng.IntN(6), rng.IntN(1000), rng.IntN(4) == 0
	later := s.wallClock() + 1
	if inFuture {
		later += lwunit.Millis(time.Hour.Milliseconds())
	}
	var others []lwjob.WorkerIncarnation
	for _, x := range s.machines {
		if x != m {
			others = append(others, x.lives[len(x.lives)-1])
		}
	}
	own, other := m.lives[len(m.lives)-1], others[n%len(others)]
	switch {
	case kind <= 1:
		return lwjob.WorkerIncarnation{Worker: own.Worker, StartedAt: later}
	case kind == 2:
		return other
	case kind == 3:
		return lwjob.WorkerIncarnation{Worker: other.Worker, StartedAt: later}
	case kind == 4 && len(m.lives) > 1:
		return m.lives[n%(len(m.lives)-1)]
	default:
		return lwjob.WorkerIncarnation{Worker: lwunit.WorkerID(fmt.Sprintf("%s-x%d", m.name, n)), StartedAt: later}
	}
}
