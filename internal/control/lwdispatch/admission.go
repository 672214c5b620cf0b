package lwdispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwadmission"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	poolInterval   = 100 * time.Millisecond // between two updates of the pools of filling work
	rateWindow     = 10 * time.Second       // time constant of the measured rate: it spans swings of the load of serving tasks
	minRateSamples = 2 * time.Second        // in which work must have waited before a rate counts as measured
	maxMargin      = 0.5                    // part of the time that jobs may wait that is kept for the error of estimates
	errorWeight    = 0.1                    // weight of a job that has ended in the measured error
	maxRefusals    = 256                    // kept to find those that would have been served
)

// fillingPool is the capacity for filling work on the workers of one service, and what
// was learned of it. The next leader learns it anew.
type fillingPool struct {
	pool      lwadmission.Pool
	rate      float64       // millicores that filling work uses while more of it waits
	measured  time.Duration // time over which rate was measured
	updatedAt time.Duration
	lateness  float64   // mean part of its objective by which an accepted job ends late
	refusals  []refusal // that may yet turn out to have been wrong
	added     float64   // work accepted since pool was made
}

// refusal is a job that was refused, and until when it could have ended in time.
type refusal struct {
	job   lwunit.JobID
	until time.Duration
}

func (c *Core) fillingPool(service lwunit.ServiceName) *fillingPool {
	p := c.fillingPools[service]
	if p == nil {
		p = &fillingPool{updatedAt: c.now}
		c.fillingPools[service] = p
	}
	return p
}

// updatePools updates the pools of filling work, if admission control is on.
func (c *Core) updatePools() {
	if !c.cfg.Admission || c.now-c.poolsUpdatedAt < poolInterval {
		return
	}
	c.poolsUpdatedAt = c.now
	waiting := make(map[lwunit.ServiceName]bool)
	for _, s := range c.ready {
		if s.spec.Filling && c.mayStart(s) && c.now-s.readyAt >= poolInterval {
			waiting[s.job.queue.Service] = true
		}
	}
	use := make(map[lwunit.ServiceName]float64)
	for _, w := range c.sortedWorkers {
		use[w.info.Service] += w.currentFillingUse(c.now)
	}
	jobs := make(map[lwunit.ServiceName][]lwadmission.Job)
	for _, j := range c.jobs {
		if !j.stopped && onlyFilling(j.spec) {
			jobs[j.queue.Service] = append(jobs[j.queue.Service], c.remainingJob(j))
		}
	}
	for service := range jobs {
		c.fillingPool(service)
	}
	for service, p := range c.fillingPools {
		p.updateRate(c.now, use[service], waiting[service])
		rate := 0.0
		if p.measured >= minRateSamples {
			rate = p.rate
		}
		p.pool, p.added = lwadmission.NewPool(rate, waiting[service], jobs[service]), 0
		c.findWrongRefusals(service, p)
	}
}

// onlyFilling reports whether a job consists of filling work that ends, without set times.
func onlyFilling(spec *lwjob.Spec) bool {
	return !spec.Timed() && !slices.ContainsFunc(spec.Steps, func(s lwjob.Step) bool { return !s.Filling || s.LongRunning })
}

func (c *Core) remainingJob(j *job) lwadmission.Job {
	_, objective := c.startAndObjective(j.steps[0][0])
	work := 0.0
	var path time.Duration
	for _, s := range j.steps[0] {
		if s.tasksLeft > 0 {
			path = max(path, s.remainingPath)
		}
		for _, t := range s.tasks {
			if !t.done {
				work += c.taskWork(j, s) * (1 - t.progress())
			}
		}
	}
	return lwadmission.Job{Waited: c.now - j.acceptedAt, Objective: objective, Work: work, Path: path}
}

// progress returns the part of its work that a task has done, as last listed.
func (t *task) progress() float64 {
	done := 0
	for _, r := range t.runs {
		done = max(done, r.status.Progress)
	}
	return float64(done) / fullPercent
}

// updateRate updates the rate from the millicores that filling work uses. Only times in
// which work waited tell what the pool bears; otherwise the rate may only rise.
func (p *fillingPool) updateRate(now time.Duration, use float64, waiting bool) {
	elapsed := now - p.updatedAt
	p.updatedAt = now
	if elapsed <= 0 || (!waiting && use <= p.rate) {
		return
	}
	p.measured += elapsed
	weight := max(1-math.Exp(-float64(elapsed)/float64(rateWindow)), float64(elapsed)/float64(p.measured))
	p.rate += weight * (use - p.rate)
}

// Admit decides whether a job that is submitted is accepted. Jobs with other than filling
// work are always accepted.
func (c *Core) Admit(spec *lwjob.Spec, q lwconfig.Queue) lwadmission.Admission {
	if !c.cfg.Admission || !onlyFilling(spec) {
		return lwadmission.Admission{}
	}
	p := c.fillingPool(q.Service)
	j := c.buildJob(&lwjob.Job{Spec: *spec, Queue: q, Term: c.term})
	c.computePaths(j)
	x := c.remainingJob(j)
	pool := p.pool
	pool.Backlog += p.added
	a := pool.Admit(x, min(maxMargin, max(0, p.lateness)))
	if a.Refused {
		p.refusals = append(p.refusals, refusal{spec.ID, c.now + x.Objective - x.Path})
		p.refusals = p.refusals[max(0, len(p.refusals)-maxRefusals):]
		c.logDecision(Decision{Kind: DecidedRefuseJob, Job: spec.ID, Slack: x.Objective - a.Finish, Reason: fmt.Sprintf(
			"it would end in %v, its objective is %v; %.0f core seconds are ahead at a rate of %.0f cores", a.Finish.Round(time.Millisecond), x.Objective.Round(time.Millisecond), pool.Backlog/1000, pool.Rate/1000,
		)})
		return a
	}
	p.added += x.Work
	return a
}

// findWrongRefusals logs the refused jobs that would have been served: filling work has
// room while they could still have ended in time.
func (c *Core) findWrongRefusals(service lwunit.ServiceName, p *fillingPool) {
	p.refusals = slices.DeleteFunc(p.refusals, func(r refusal) bool {
		if c.now < r.until && !p.pool.Waiting {
			c.logDecision(Decision{Kind: DecidedWrongRefusal, Job: r.job, Reason: "service " + string(service) + " has room for filling work before the job would have been late"})
			return true
		}
		return c.now >= r.until
	})
}

// observeCompletion learns how late accepted jobs end.
func (c *Core) observeCompletion(j *job) {
	if !c.cfg.Admission || !onlyFilling(j.spec) || j.term != c.term {
		return
	}
	_, objective := c.startAndObjective(j.steps[0][0])
	late := max(-1, float64(c.now-j.acceptedAt-objective)/float64(objective))
	p := c.fillingPool(j.queue.Service)
	p.lateness += errorWeight * (min(1, late) - p.lateness)
	if late > 0 {
		c.logDecision(Decision{Kind: DecidedLate, Job: j.spec.ID, Slack: objective - (c.now - j.acceptedAt), Reason: "it was accepted, but has ended after its objective"})
	}
}

// tasksLeft returns the number of tasks of a job that are not done.
func (j *job) tasksLeft() int {
	n := 0
	for _, steps := range j.steps {
		for _, s := range steps {
			n += s.tasksLeft
		}
	}
	return n
}
