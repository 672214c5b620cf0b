package lwadmission

import (
	"testing"
	"time"
)

// largeJob is a job of 378 core seconds with two steps of 2.7 s and an objective of 12 s.
func largeJob() Job {
	return Job{Objective: 12 * time.Second, Work: 378_000, Path: 5400 * time.Millisecond}
}

func backlog(n int) []Job {
	list := make([]Job, n)
	for i := range list {
		list[i] = largeJob()
	}
	return list
}

func expectRefused(t *testing.T, a Admission, want bool) {
	t.Helper()
	if a.Refused != want {
		t.Errorf("refused is %t, want %t: %+v", a.Refused, want, a)
	}
}

// A burst of large jobs on 700 cores: without refusals all jobs delay each other until none
// ends in time.
func TestBurstOfLargeJobs(t *testing.T) {
	const rate = 700_000
	t.Run("jobs are accepted while they can end in time", func(t *testing.T) {
		expectRefused(t, NewPool(rate, true, backlog(8)).Admit(largeJob(), 0), false)
	})
	t.Run("and refused at once from then on", func(t *testing.T) {
		a := NewPool(rate, true, backlog(20)).Admit(largeJob(), 0)
		expectRefused(t, a, true)
		if a.RetryAfter < 4*time.Second || a.RetryAfter > 5*time.Second {
			t.Errorf("retry after %v, want when 8 to 9 jobs more are done", a.RetryAfter)
		}
	})
	t.Run("a job that comes back then is accepted", func(t *testing.T) {
		a := NewPool(rate, true, backlog(20)).Admit(largeJob(), 0)
		done := int(a.RetryAfter.Seconds()*rate/largeJob().Work) + 1
		expectRefused(t, NewPool(rate, true, backlog(20-done)).Admit(largeJob(), 0), false)
	})
	t.Run("estimates that were too low leave a margin", func(t *testing.T) {
		expectRefused(t, NewPool(rate, true, backlog(10)).Admit(largeJob(), 0), false)
		expectRefused(t, NewPool(rate, true, backlog(10)).Admit(largeJob(), 0.3), true)
	})
	t.Run("but never one that is as long as the work itself", func(t *testing.T) {
		expectRefused(t, NewPool(rate, true, backlog(5)).Admit(largeJob(), 0.5), false)
	})
}

// A refusal must not be given while there is room, or by a leader that has measured nothing.
func TestNeverRefused(t *testing.T) {
	wide := largeJob()
	wide.Work *= 40
	cases := map[string]struct {
		pool Pool
		job  Job
	}{
		"no work waits":                      {NewPool(700_000, false, backlog(40)), largeJob()},
		"a new leader has no rate":           {NewPool(0, true, backlog(40)), largeJob()},
		"a wide job with nothing ahead":      {NewPool(700_000, true, nil), wide},
		"what is ahead is of no value":       {NewPool(700_000, true, expired(40)), largeJob()},
		"the jobs ahead are nearly finished": {NewPool(700_000, true, nearlyDone(40)), largeJob()},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) { expectRefused(t, x.pool.Admit(x.job, 0), false) })
	}
}

func expired(n int) []Job {
	list := backlog(n)
	for i := range list {
		list[i].Waited = 31 * time.Second
	}
	return list
}

func nearlyDone(n int) []Job {
	list := backlog(n)
	for i := range list {
		list[i].Work /= 20
	}
	return list
}
