package lwstate

import (
	"cmp"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// mapKey returns the key under which the claim is stored.
func (k ClaimKey) mapKey() string {
	return string(k.Team) + "\x00" + string(k.Service) + "\x00" + k.Key
}

// floorKey returns the key under which the newest removed claim of the team at the
// service is noted.
func (k ClaimKey) floorKey() string { return string(k.Team) + "\x00" + string(k.Service) }

// ClaimFloor returns the time up to which claims of the key's team at its service may
// have been removed, by the creation of their keys.
func (s *State) ClaimFloor(k ClaimKey) lwunit.Millis { return s.c.ClaimFloors[k.floorKey()] }

// LimitRetention returns the command with which a request may be bound. The retention
// of a service may rise after a copy of the request was bound, and differs between
// regions. So a claim that exists keeps its own, and a request whose claim may have been
// removed is refused. The leader asks before it proposes the command: older versions
// apply that the same way.
func (s *State) LimitRetention(c BindClaim) (BindClaim, error) {
	if existing, ok := s.Claim(c.Key); ok {
		c.Retention = min(c.Retention, lwunit.Duration(existing.Expires-c.Created)*lwunit.Duration(time.Millisecond))
		return c, nil
	}
	if c.Created <= s.ClaimFloor(c.Key) {
		return c, lwfault.New(lwfault.Expired, "records of requests with keys as old as this one have been removed, so the request is not run")
	}
	return c, nil
}

// bindClaim binds a non-idempotent request to one agent incarnation, or returns
// the claim as it stands if the request was bound before and not released.
func (s *State) bindClaim(c BindClaim) Result {
	expires := c.Created.Add(c.Retention.Std())
	if expires <= s.c.Clock {
		return Result{Err: lwfault.New(lwfault.Expired, "the key was issued more than %s ago; its record may be gone, so the request is not run", c.Retention)}
	}
	if c.Created > s.c.Clock.Add(maxKeyClockSkew) {
		return Result{Err: lwfault.New(lwfault.Invalid, "the key was issued in the future")}
	}
	existing, ok := s.c.Claims[c.Key.mapKey()]
	if ok && existing.Request != c.Request {
		return Result{Err: lwfault.New(lwfault.Conflict, "the key was already used for a different request")}
	}
	if ok && existing.Phase != ClaimReleased {
		return Result{Claim: *existing}
	}
	b, announced := s.c.Backends[c.Backend]
	if !announced || b.Leaving {
		return Result{Err: lwfault.New(lwfault.NotFound, "backend server %s is not announced", c.Backend)}
	}
	if s.c.Evacuations.Evacuated(s.c.Workers[b.Worker].Spec.Domain) {
		return Result{Err: lwfault.New(lwfault.NotFound, "backend server %s is in an evacuated failure domain", c.Backend)}
	}
	s.c.LastToken++
	claim := &Claim{
		Key: c.Key, Request: c.Request, Phase: ClaimBound, Token: s.c.LastToken, Backend: b.ID, Worker: b.Worker,
		Incarnation: b.Incarnation, Created: c.Created, Bound: s.c.Clock, Expires: expires,
	}
	s.c.Claims[c.Key.mapKey()] = claim
	return Result{Claim: *claim, Fresh: true}
}

// closeClaim records how a binding ended. Done replaces unknown, because an
// answer that arrives late is still valid; no other closed phase is replaced.
func (s *State) closeClaim(c CloseClaim) Result {
	claim, ok := s.c.Claims[c.Key.mapKey()]
	if !ok || claim.Token != c.Token {
		return Result{Err: lwfault.New(lwfault.Fenced, "the claim was bound again with another token or has been removed")}
	}
	mayClose := claim.Phase == ClaimBound || (claim.Phase == ClaimUnknown && c.Phase == ClaimDone)
	if mayClose {
		claim.Phase, claim.Answer = c.Phase, c.Answer
	}
	return Result{Claim: *claim}
}

// Claim returns the claim with the given key.
func (s *State) Claim(k ClaimKey) (Claim, bool) {
	claim, ok := s.c.Claims[k.mapKey()]
	if !ok {
		return Claim{}, false
	}
	return *claim, true
}

// sweep removes claims and finished jobs whose retention has ended, and folds
// the tasks of jobs that finished at least taskRetention ago.
func (s *State) sweep() Result {
	for key, claim := range s.c.Claims {
		if claim.Expires <= s.c.Clock {
			floor := claim.Key.floorKey()
			s.c.ClaimFloors[floor] = max(s.c.ClaimFloors[floor], cmp.Or(claim.Created, claim.Bound))
			delete(s.c.Claims, key)
		}
	}
	retention := s.Deployment().JobRetention.Std()
	for id, j := range s.c.Jobs {
		if !j.Phase.Final() || j.TasksLeft > 0 {
			continue
		}
		if s.canFold(j) {
			s.foldTasks(j)
		}
		if j.Finished.Add(retention) <= s.c.Clock {
			s.dropTasks(id) // not folded yet if the retention is shorter than taskRetention
			delete(s.c.Jobs, id)
		}
	}
	return Result{}
}

// canFold reports whether the tasks of a finished job are past taskRetention and
// not folded yet.
func (s *State) canFold(j *Job) bool {
	return !j.Folded && j.Phase.Final() && j.TasksLeft == 0 && j.Finished.Add(taskRetention) <= s.c.Clock
}

// foldTasks replaces the tasks of a finished job by the totals of their counters.
// Tasks make up most of the state, which would grow too large if they were kept
// for the retention of jobs, a week by default.
func (s *State) foldTasks(j *Job) {
	for _, id := range s.taskIDsByJob[j.Spec.ID] {
		t := s.c.Tasks[id]
		j.Attempts += t.Attempts
		j.Failures += t.Failures
		j.Evictions += t.Evictions
		j.LostAttempts += t.LostAttempts
	}
	s.dropTasks(j.Spec.ID)
	j.Folded = true
}

// dropTasks removes the tasks of a job, all of which have ended.
func (s *State) dropTasks(job lwunit.JobID) {
	for _, id := range s.taskIDsByJob[job] {
		delete(s.c.Tasks, id)
	}
	delete(s.taskIDsByJob, job)
}

// NeedsSweep reports whether a sweep would remove or fold anything.
func (s *State) NeedsSweep() bool {
	for _, claim := range s.c.Claims {
		if claim.Expires <= s.c.Clock {
			return true
		}
	}
	retention := s.Deployment().JobRetention.Std()
	for _, j := range s.c.Jobs {
		if s.canFold(j) || (j.Phase.Final() && j.TasksLeft == 0 && j.Finished.Add(retention) <= s.c.Clock) {
			return true
		}
	}
	return false
}
