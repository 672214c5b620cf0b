package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

func (k ClaimKey) text() string {
	return string(k.Team) + "\x00" + string(k.Service) + "\x00" + k.Key
}

// bindClaim gives a non-idempotent request to one agent incarnation, or
// answers what became of it before.
func (s *State) bindClaim(c BindClaim) Result {
	expires := c.Created.Add(c.Retention.Std())
	if expires <= s.c.Clock {
		return Result{Err: lwfault.New(lwfault.Expired, "the key was issued more than %s ago; its record may be gone, so the request is not run", c.Retention)}
	}
	if c.Created > s.c.Clock.Add(keyFutureAllowance) {
		return Result{Err: lwfault.New(lwfault.Invalid, "the key was issued in the future")}
	}
	old, ok := s.c.Claims[c.Key.text()]
	if ok && old.Request != c.Request {
		return Result{Err: lwfault.New(lwfault.Conflict, "the key was used before for another request")}
	}
	if ok && old.Phase != ClaimReleased {
		return Result{Claim: *old}
	}
	b, live := s.c.Backends[c.Backend]
	if !live || b.Leaving {
		return Result{Err: lwfault.New(lwfault.NotFound, "backend server %s is not announced", c.Backend)}
	}
	s.c.NextToken++
	claim := &Claim{
		Key: c.Key, Request: c.Request, Phase: ClaimBound, Token: s.c.NextToken, Backend: b.ID, Worker: b.Worker,
		Incarnation: b.Incarnation, Bound: s.c.Clock, Expires: expires,
	}
	s.c.Claims[c.Key.text()] = claim
	return Result{Claim: *claim, Fresh: true}
}

// closeClaim records the end of a binding. Done replaces unknown, since a late
// answer is still the answer; nothing else replaces a closed phase.
func (s *State) closeClaim(c CloseClaim) Result {
	claim, ok := s.c.Claims[c.Key.text()]
	if !ok || claim.Token != c.Token {
		return Result{Err: lwfault.New(lwfault.Fenced, "the claim is bound anew or gone")}
	}
	mayClose := claim.Phase == ClaimBound || (claim.Phase == ClaimUnknown && c.Phase == ClaimDone)
	if mayClose {
		claim.Phase, claim.Answer = c.Phase, c.Answer
	}
	return Result{Claim: *claim}
}

// Claim returns the claim of a request.
func (s *State) Claim(k ClaimKey) (Claim, bool) {
	claim, ok := s.c.Claims[k.text()]
	if !ok {
		return Claim{}, false
	}
	return *claim, true
}

// sweep removes claims and finished jobs whose retention has ended.
func (s *State) sweep() Result {
	for key, claim := range s.c.Claims {
		if claim.Expires <= s.c.Clock {
			delete(s.c.Claims, key)
		}
	}
	keep := s.Deployment().JobRetention.Std()
	for id, j := range s.c.Jobs {
		if !j.Phase.Final() || j.Left > 0 {
			continue
		}
		if s.foldable(j) {
			s.fold(j)
		}
		if j.Finished.Add(keep) <= s.c.Clock {
			delete(s.c.Jobs, id)
		}
	}
	return Result{}
}

// foldable reports whether a finished job's tasks need no longer be listed.
func (s *State) foldable(j *Job) bool {
	return !j.Folded && j.Phase.Final() && j.Left == 0 && j.Finished.Add(taskRetention) <= s.c.Clock
}

// fold replaces the tasks of a finished job by their sums. Tasks are most of
// the state's size, and a week of them would not fit.
func (s *State) fold(j *Job) {
	for _, id := range s.jobTasks[j.Spec.ID] {
		t := s.c.Tasks[id]
		j.Attempts += t.Attempts
		j.Failures += t.Failures
		j.Evictions += t.Evictions
		j.Losses += t.Losses
		delete(s.c.Tasks, id)
	}
	delete(s.jobTasks, j.Spec.ID)
	j.Folded = true
}

// NeedsSweep reports whether a sweep would remove anything.
func (s *State) NeedsSweep() bool {
	for _, claim := range s.c.Claims {
		if claim.Expires <= s.c.Clock {
			return true
		}
	}
	keep := s.Deployment().JobRetention.Std()
	for _, j := range s.c.Jobs {
		if s.foldable(j) || (j.Phase.Final() && j.Left == 0 && j.Finished.Add(keep) <= s.c.Clock) {
			return true
		}
	}
	return false
}
