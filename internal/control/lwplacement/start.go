package lwplacement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// start places waiting tasks. A job whose next task fits nowhere is skipped for
// this round, so that it does not block the jobs behind it. Once it has fitted
// nowhere for ReserveWorkerAfter, a worker is kept free for it, so that smaller
// jobs do not starve it.
func (c *Core) start(r *round) {
	if r.state.QueuedCount() == 0 {
		return
	}
	r.findLargestFree()
	f := c.newFairQueue(r)
	for f.Len() > 0 && len(r.placements) < c.cfg.MaxStarts {
		q := (*f)[0]
		j := q.jobs[0]
		reason := ""
		if r.now-c.workerCountChangedAt >= c.cfg.RejectAfter {
			reason = r.unrunnableReason(j) // earlier, a worker that it fits may still be registering
		}
		if reason != "" {
			r.rejects = append(r.rejects, lwstate.RejectJob{Job: j.Spec.ID, Reason: reason})
		}
		if reason != "" || !c.startJob(r, f, q, j) {
			q.jobs = q.jobs[1:]
		}
		if len(q.jobs) == 0 {
			heap.Pop(f)
			continue
		}
		heap.Fix(f, 0)
	}
}

// startJob places tasks of one job until it has no more, none fits, MaxStarts is
// reached, or it is another team's turn. Only in the last case is the job tried again
// in this round.
func (c *Core) startJob(r *round, f *fairQueue, q *teamQueue, j lwstate.Job) (again bool) {
	reserve := c.sizes.reserve(j, c.cfg.LearnSizes)
	if !reserve.Fits(r.largestFree) {
		c.recordBlocked(r, j, reserve) // no worker has enough free of some resource
		return false
	}
	workers := c.candidates(r, j, reserve)
	suspectWaits := false
	for _, t := range r.state.QueuedTasksOfJob(j.Spec.ID, maxTasksPerJob) {
		if r.placed[t.ID] {
			continue
		}
		if len(r.placements) >= c.cfg.MaxStarts {
			return false
		}
		var w lwunit.WorkerID
		ok := false
		if lwblame.Suspicious(oddsOf(t.Crashes)) {
			if w, ok = workers.takeForSuspect(r, t, reserve); !ok {
				suspectWaits = true
				continue // the job's other tasks may still find a worker
			}
		} else if w, ok = workers.take(r, reserve); !ok {
			c.recordBlocked(r, j, reserve)
			return false
		}
		r.placements = append(r.placements, lwstate.Placement{Task: t.ID, Worker: w, Reserve: reserve})
		r.placed[t.ID] = true
		if placed, ok := r.state.Worker(w); ok {
			r.tasksPerDomain(j.Spec.ID)[placed.Spec.Domain]++
		}
		c.health.observePlacement(w, t.ID)
		delete(c.blockedSince, j.Spec.ID)
		delete(c.reservations, j.Spec.ID)
		q.used = q.used.Add(reserve)
		q.update()
		if next := nextTeam(*f); next != nil && q.rank() == next.rank() && q.share > next.share+shareSlack {
			return true
		}
	}
	if suspectWaits {
		c.noteEvacuationWait(r, j, reserve)
	}
	return false
}

const (
	shareSlack     = 0.02  // lead in share beyond which it is the next team's turn; keeps teams from alternating task by task
	maxTasksPerJob = 10000 // queued tasks of a job that one round considers
)

// nextTeam returns the team that is served after the first one, or nil.
func nextTeam(f fairQueue) *teamQueue {
	switch {
	case len(f) < 2:
		return nil
	case len(f) == 2 || f.Less(1, 2):
		return f[1]
	default:
		return f[2]
	}
}

// unrunnableReason says why no known worker could run a task of j even when empty;
// it is empty if one could, or if no worker is known.
func (r *round) unrunnableReason(j lwstate.Job) string {
	if len(r.workers) == 0 {
		return ""
	}
	need, domain := j.Spec.Needs, j.Spec.Domain
	var largest lwunit.Resources // the largest amount of each resource on a worker that the job may use
	inDomain := false
	for _, w := range r.workers {
		if domain != "" && domain != string(w.Spec.Domain) {
			continue
		}
		if need.Fits(w.Spec.Capacity) {
			return ""
		}
		inDomain = true
		largest = largest.Max(w.Spec.Capacity)
	}
	if !inDomain {
		return fmt.Sprintf("no worker is in failure domain %s", domain)
	}
	where := ""
	if domain != "" {
		where = " in failure domain " + domain
	}
	return fmt.Sprintf("a task needs %d millicores, %s and %d accelerators; no worker%s has all of that (the largest amounts are %d, %s and %d)",
		need.Millicores, need.Memory, need.Accelerators, where, largest.Millicores, largest.Memory, largest.Accelerators)
}

// candidate is a worker and the cost of placing a task there.
type candidate struct {
	worker *lwstate.Worker
	cost   float64
}

// candidates is a heap of the workers that pass the filters for a job, cheapest
// first. The tasks of a job are alike, so one heap serves them all.
type candidates struct {
	core *Core
	job  lwstate.Job
	heap costHeap
}

// candidates returns the workers on which a task of j may start now.
func (c *Core) candidates(r *round, j lwstate.Job, reserve lwunit.Resources) *candidates {
	cs := &candidates{core: c, job: j}
	limit := c.leastInterference(r, j, reserve) + c.toleratedInterference(r, j)
	for i, w := range r.workers {
		if !c.passes(r, j, w, i) || !reserve.Fits(r.free(w.Spec.ID)) || c.interferenceCost(r, j, reserve, w) > limit {
			continue
		}
		cs.heap = append(cs.heap, candidate{w, c.cost(r, j, reserve, w)})
	}
	heap.Init(&cs.heap)
	return cs
}

// leastInterference is the lowest interference cost of a task on any worker that it
// fits beside the services, whether or not there is room now.
func (c *Core) leastInterference(r *round, j lwstate.Job, reserve lwunit.Resources) float64 {
	least := math.Inf(1)
	for i, w := range r.workers {
		if c.passes(r, j, w, i) && reserve.Fits(w.Spec.Capacity.Sub(r.state.ServiceReserve(w.Spec.ID))) {
			least = min(least, c.interferenceCost(r, j, reserve, w))
		}
	}
	return least
}

// toleratedInterference is the amount by which the interference cost of a task of j
// may exceed leastInterference. A batch job waits for a better worker at first; the
// tolerance grows with its wait, and is unlimited once the job must start to meet
// its deadline.
func (c *Core) toleratedInterference(r *round, j lwstate.Job) float64 {
	if j.Spec.Class != lwstate.ClassBatch || !c.cfg.LearnInterference || c.cfg.Escalation != EscalationFull {
		return math.Inf(1)
	}
	if j.Spec.FinishIn > 0 && r.state.Clock() >= c.latestStart(j) {
		return math.Inf(1)
	}
	waited := time.Duration(r.state.Clock()-j.Submitted) * time.Millisecond
	d := r.deployment
	weight := max(0.1, d.ThroughputWeight) / max(0.1, d.TailWeight)
	return c.cfg.ToleratedLateShare * weight * math.Exp2(float64(waited)/float64(c.cfg.ToleranceDoubling))
}

// take returns the cheapest worker that still has room, and takes the room. A task
// raises the cost of its worker and of others in its failure domain, so the cost of
// the cheapest worker is computed again before it is chosen.
func (cs *candidates) take(r *round, reserve lwunit.Resources) (lwunit.WorkerID, bool) {
	for len(cs.heap) > 0 {
		w := cs.heap[0].worker
		_, apart := cs.core.onTrial(r.now, w.Spec.ID)
		if apart || !reserve.Fits(r.free(w.Spec.ID)) || !cs.core.health.accepts(w.Spec.ID) {
			heap.Pop(&cs.heap)
			continue
		}
		if cost := cs.core.cost(r, cs.job, reserve, w); cost > cs.heap[0].cost {
			cs.heap[0].cost = cost
			heap.Fix(&cs.heap, 0)
			continue
		}
		r.take(w.Spec.ID, reserve)
		return w.Spec.ID, true
	}
	return "", false
}

// passes applies the filters that do not depend on room; i is the worker's index.
func (c *Core) passes(r *round, j lwstate.Job, w *lwstate.Worker, i int) bool {
	switch {
	case !r.acceptsTasks(w) || !c.health.accepts(w.Spec.ID):
		return false
	case j.Spec.Domain != "" && j.Spec.Domain != string(w.Spec.Domain):
		return false
	}
	if mark, ok := c.earmarks[w.Spec.ID]; ok && mark.job != j.Spec.ID {
		return false
	}
	for job, res := range c.reservations {
		if res.worker == w.Spec.ID && job != j.Spec.ID && j.Spec.Class == lwstate.ClassBatch {
			return false
		}
	}
	if p, ok := c.cfg.Rule.(StaticPartition); ok && j.Spec.Class != lwstate.ClassLatencyCritical {
		return float64(i) >= p.Share*float64(len(r.workers))
	}
	return true
}

// cost returns the cost of a placement under the rule; the lowest is chosen.
func (c *Core) cost(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	switch rule := c.cfg.Rule.(type) {
	case WeightedScore:
		return c.weightedCost(r, j, reserve, w)
	case BestFit, StaticPartition:
		return leftover(r, reserve, w)
	case RandomFit:
		c.randomDraws++
		return rand.New(rand.NewPCG(rule.Seed, c.randomDraws)).Float64()
	default:
		return 0 // candidates of equal cost are ordered by name
	}
}

// leftover is the share of a worker's processors that stays free, plus that of its
// memory.
func leftover(r *round, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	left := r.free(w.Spec.ID).Sub(reserve)
	return ratio(int64(left.Millicores), int64(w.Spec.Capacity.Millicores)) + ratio(int64(left.Memory), int64(w.Spec.Capacity.Memory))
}

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Weights of the scores. A cost of 1 is worth one late request in a hundred.
const (
	weightInterference = 100.0
	weightPack         = 0.3
	weightFragment     = 2.0
	weightSpread       = 1.0
)

// weightedCost is the cost under WeightedScore: interference, room left unused,
// accelerators made harder to use and, for latency-critical jobs, tasks of the job
// in the same failure domain.
func (c *Core) weightedCost(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	d := r.deployment
	cost := weightInterference * d.TailWeight * c.interferenceCost(r, j, reserve, w)
	cost += weightPack * d.ThroughputWeight * leftover(r, reserve, w) * ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
	cost += weightFragment * d.ThroughputWeight * acceleratorFragmentation(r, reserve, w)
	if j.Spec.Class == lwstate.ClassLatencyCritical {
		cost += weightSpread * float64(r.tasksPerDomain(j.Spec.ID)[w.Spec.Domain])
	}
	return cost
}

// acceleratorFragmentation scores how much a placement makes free accelerators
// harder to use. A task that needs none scores the CPU share that it takes from a
// worker with free accelerators; another scores a tenth for each one left over.
func acceleratorFragmentation(r *round, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	if reserve.Accelerators > 0 {
		return 0.1 * float64(r.free(w.Spec.ID).Accelerators-reserve.Accelerators)
	}
	if r.free(w.Spec.ID).Accelerators == 0 {
		return 0
	}
	return ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
}

// reservation keeps a worker free of other jobs' new batch tasks, for a job that
// fits nowhere.
type reservation struct {
	worker lwunit.WorkerID
}

// recordBlocked records that a job fits nowhere now, or only where it would interfere
// more than is tolerated. Once this has lasted for ReserveWorkerAfter it reserves the
// worker with most room for the job, unless MaxReservedWorkers are reserved.
func (c *Core) recordBlocked(r *round, j lwstate.Job, reserve lwunit.Resources) {
	c.noteEvacuationWait(r, j, reserve)
	since, ok := c.blockedSince[j.Spec.ID]
	if !ok {
		c.blockedSince[j.Spec.ID] = r.now
		return
	}
	if _, reserved := c.reservations[j.Spec.ID]; reserved || r.now-since < c.cfg.ReserveWorkerAfter || len(c.reservations) >= c.cfg.MaxReservedWorkers {
		return
	}
	best, mostFree := lwunit.WorkerID(""), -1.0
	for i, w := range r.workers {
		if !reserve.Fits(w.Spec.Capacity.Sub(r.state.ServiceReserve(w.Spec.ID))) || !c.passes(r, j, w, i) {
			continue
		}
		if free := leftover(r, lwunit.Resources{}, w); free > mostFree {
			best, mostFree = w.Spec.ID, free
		}
	}
	if best != "" {
		c.reservations[j.Spec.ID] = reservation{best}
	}
}

// blockedFor returns for how long a job has fitted nowhere.
func (c *Core) blockedFor(now time.Duration, id lwunit.JobID) time.Duration {
	since, ok := c.blockedSince[id]
	if !ok {
		return 0
	}
	return now - since
}

// costHeap is a heap by cost, then by worker name.
type costHeap []candidate

// Len is part of heap.Interface.
func (h costHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h costHeap) Less(i, j int) bool {
	if h[i].cost != h[j].cost {
		return h[i].cost < h[j].cost
	}
	return h[i].worker.Spec.ID < h[j].worker.Spec.ID
}

// Swap is part of heap.Interface.
func (h costHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *costHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop is part of heap.Interface.
func (h *costHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
