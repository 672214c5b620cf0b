package lwplacement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// start places waiting tasks. A job whose next task fits nowhere is set aside
// for this round, so it holds back nobody; once it has waited for HoldAfter a
// worker is kept free for it, so the others do not hold it back for ever.
func (c *Core) start(r *round) {
	if r.state.QueuedCount() == 0 {
		return
	}
	r.measureRoom()
	f := c.newFairQueue(r)
	for f.Len() > 0 && len(r.placements) < c.cfg.MaxStarts {
		q := (*f)[0]
		j := q.jobs[0]
		why := ""
		if r.now-c.workersAt >= c.cfg.RejectAfter {
			why = r.neverFits(j) // before that the worker it fits may yet register
		}
		if why != "" {
			r.rejects = append(r.rejects, lwstate.RejectJob{Job: j.Spec.ID, Reason: why})
		}
		if why != "" || !c.startJob(r, f, q, j) {
			q.jobs = q.jobs[1:]
		}
		if len(q.jobs) == 0 {
			heap.Pop(f)
			continue
		}
		heap.Fix(f, 0)
	}
}

// startJob places tasks of one job until it has no more, none fits, or another
// team has become the one to serve; only then is the job tried again later in
// the round.
func (c *Core) startJob(r *round, f *fairQueue, q *teamQueue, j lwstate.Job) (again bool) {
	reserve := c.sizes.reserve(j, c.cfg.LearnSizes)
	if !reserve.Fits(r.room) {
		c.noteBlocked(r, j, reserve) // no worker has this much of every resource
		return false
	}
	cands := c.candidates(r, j, reserve)
	for _, t := range r.state.WaitingTasks(j.Spec.ID, maxTasksPerJob) {
		if r.placed[t.ID] {
			continue
		}
		if len(r.placements) >= c.cfg.MaxStarts {
			return false
		}
		w, ok := cands.take(r, reserve)
		if !ok {
			c.noteBlocked(r, j, reserve)
			return false
		}
		r.placements = append(r.placements, lwstate.Placement{Task: t.ID, Worker: w, Reserve: reserve})
		r.placed[t.ID] = true
		c.health.placed(w)
		delete(c.blocked, j.Spec.ID)
		delete(c.holds, j.Spec.ID)
		q.used = q.used.Add(reserve)
		q.update()
		if other := runnerUp(*f); other != nil && q.rank() == other.rank() && q.share > other.share+shareSlack {
			return true
		}
	}
	return false
}

const (
	shareSlack     = 0.02 // keeps teams from taking turns task by task
	maxTasksPerJob = 10000
)

// runnerUp returns the team that would be served next.
func runnerUp(f fairQueue) *teamQueue {
	switch {
	case len(f) < 2:
		return nil
	case len(f) == 2 || f.Less(1, 2):
		return f[1]
	default:
		return f[2]
	}
}

// neverFits says why no known worker could hold a task of j even when empty.
func (r *round) neverFits(j lwstate.Job) string {
	if len(r.workers) == 0 {
		return ""
	}
	need := j.Spec.Needs
	fits := false
	inDomain := j.Spec.Domain == ""
	for _, w := range r.workers {
		here := j.Spec.Domain == "" || j.Spec.Domain == string(w.Spec.Domain)
		inDomain = inDomain || here
		fits = fits || (here && need.Fits(w.Spec.Capacity))
	}
	switch {
	case fits:
		return ""
	case !inDomain:
		return fmt.Sprintf("no worker is in failure domain %s", j.Spec.Domain)
	default:
		return fmt.Sprintf("a task needs %d millicores, %s and %d accelerators; no worker has all of that (the largest amounts are %d, %s and %d)",
			need.Millicores, need.Memory, need.Accelerators, r.largest.Millicores, r.largest.Memory, r.largest.Accelerators)
	}
}

// candidate is a worker and what it costs to place a task there.
type candidate struct {
	worker *lwstate.Worker
	cost   float64
}

// candidates are the workers that pass the filters for one job, cheapest
// first. Tasks of a job are alike, so the list serves them all.
type candidates struct {
	core *Core
	job  lwstate.Job
	heap costHeap
}

func (c *Core) candidates(r *round, j lwstate.Job, reserve lwunit.Resources) *candidates {
	cs := &candidates{core: c, job: j}
	limit := c.bestPlace(r, j, reserve) + c.tolerance(r, j)
	for i, w := range r.workers {
		if !c.passes(r, j, w, i) || !reserve.Fits(r.free(w.Spec.ID)) || c.disturbance(r, j, reserve, w) > limit {
			continue
		}
		cs.heap = append(cs.heap, candidate{w, c.cost(r, j, reserve, w)})
	}
	heap.Init(&cs.heap)
	return cs
}

// bestPlace is the disturbance that a task would cause on the worker that
// suits it best, whether or not there is room now.
func (c *Core) bestPlace(r *round, j lwstate.Job, reserve lwunit.Resources) float64 {
	best := math.Inf(1)
	for i, w := range r.workers {
		if c.passes(r, j, w, i) && reserve.Fits(w.Spec.Capacity.Sub(r.state.ServiceReserve(w.Spec.ID))) {
			best = min(best, c.disturbance(r, j, reserve, w))
		}
	}
	return best
}

// tolerance is by how much a task of j may disturb more than it would on the
// worker that suits it best. Batch work waits for such a place at first; the
// longer it has waited, and once it must start to meet its deadline, the more
// it may disturb.
func (c *Core) tolerance(r *round, j lwstate.Job) float64 {
	if j.Spec.Class != lwstate.ClassBatch || !c.cfg.LearnPairs || c.cfg.Ladder != LadderFull {
		return math.Inf(1)
	}
	if j.Spec.FinishIn > 0 && r.state.Clock() >= c.latestStart(j) {
		return math.Inf(1)
	}
	waited := time.Duration(r.state.Clock()-j.Submitted) * time.Millisecond
	d := r.deploy
	weight := max(0.1, d.ThroughputWeight) / max(0.1, d.TailWeight)
	return c.cfg.Tolerance * weight * math.Exp2(float64(waited)/float64(c.cfg.ToleranceUp))
}

// take returns the cheapest worker that still has room and takes the room. Its
// cost is computed again, since it has less now.
func (cs *candidates) take(r *round, reserve lwunit.Resources) (lwunit.WorkerID, bool) {
	for len(cs.heap) > 0 {
		w := cs.heap[0].worker
		if !reserve.Fits(r.free(w.Spec.ID)) || !cs.core.health.accepts(w.Spec.ID) {
			heap.Pop(&cs.heap)
			continue
		}
		r.take(w.Spec.ID, reserve)
		cs.heap[0].cost = cs.core.cost(r, cs.job, reserve, w)
		heap.Fix(&cs.heap, 0)
		return w.Spec.ID, true
	}
	return "", false
}

// passes applies the filters that do not depend on room.
func (c *Core) passes(r *round, j lwstate.Job, w *lwstate.Worker, i int) bool {
	switch {
	case !takesTasks(w) || !c.health.accepts(w.Spec.ID):
		return false
	case j.Spec.Domain != "" && j.Spec.Domain != string(w.Spec.Domain):
		return false
	}
	if cl, ok := c.cleared[w.Spec.ID]; ok && cl.job != j.Spec.ID {
		return false
	}
	for job, h := range c.holds {
		if h.worker == w.Spec.ID && job != j.Spec.ID && j.Spec.Class == lwstate.ClassBatch {
			return false
		}
	}
	if p, ok := c.cfg.Rule.(Partition); ok && j.Spec.Class != lwstate.ClassLatencyCritical {
		return float64(i) >= p.Share*float64(len(r.workers))
	}
	return true
}

// cost returns what a placement costs under the rule; lower is better.
func (c *Core) cost(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	switch rule := c.cfg.Rule.(type) {
	case Weighed:
		return c.weigh(r, j, reserve, w)
	case BestFit, Partition:
		return leftover(r, reserve, w)
	case AnyFit:
		c.picks++
		return rand.New(rand.NewPCG(rule.Seed, c.picks)).Float64()
	default:
		return 0 // the order of the names decides
	}
}

// leftover is the share of a worker that stays free.
func leftover(r *round, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	left := r.free(w.Spec.ID).Sub(reserve)
	return ratio(int64(left.Millicores), int64(w.Spec.Capacity.Millicores)) + ratio(int64(left.Memory), int64(w.Spec.Capacity.Memory))
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Weights of the scores, in units of one late request in a hundred.
const (
	weightDisturb  = 100.0
	weightPack     = 0.3
	weightFragment = 2.0
	weightSpread   = 1.0
)

// weigh sums the scores. Each is small and says one thing.
func (c *Core) weigh(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	d := r.deploy
	cost := weightDisturb * d.TailWeight * c.disturbance(r, j, reserve, w)
	cost += weightPack * d.ThroughputWeight * leftover(r, reserve, w) * ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
	cost += weightFragment * d.ThroughputWeight * fragments(r, reserve, w)
	if j.Spec.Class == lwstate.ClassLatencyCritical {
		cost += weightSpread * float64(r.spread(j.Spec.ID)[w.Spec.Domain])
	}
	return cost
}

// fragments is the number of free accelerators that a task which needs none
// would make harder to use.
func fragments(r *round, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	if reserve.Accelerators > 0 {
		return 0.1 * float64(r.free(w.Spec.ID).Accelerators-reserve.Accelerators)
	}
	if r.free(w.Spec.ID).Accelerators == 0 {
		return 0
	}
	return ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
}

// hold keeps a worker free of new batch tasks for a job that fits nowhere.
type hold struct {
	worker lwunit.WorkerID
}

// noteBlocked remembers since when a job fits nowhere, and holds a worker for
// it once that is too long.
func (c *Core) noteBlocked(r *round, j lwstate.Job, reserve lwunit.Resources) {
	since, ok := c.blocked[j.Spec.ID]
	if !ok {
		c.blocked[j.Spec.ID] = r.now
		return
	}
	if _, held := c.holds[j.Spec.ID]; held || r.now-since < c.cfg.HoldAfter || len(c.holds) >= c.cfg.MaxHolds {
		return
	}
	best, most := lwunit.WorkerID(""), -1.0
	for i, w := range r.workers {
		if !reserve.Fits(w.Spec.Capacity.Sub(r.state.ServiceReserve(w.Spec.ID))) || !c.passes(r, j, w, i) {
			continue
		}
		if free := leftover(r, lwunit.Resources{}, w); free > most {
			best, most = w.Spec.ID, free
		}
	}
	if best != "" {
		c.holds[j.Spec.ID] = hold{best}
	}
}

// blockedFor returns how long a job has fitted nowhere.
func (c *Core) blockedFor(now time.Duration, id lwunit.JobID) time.Duration {
	since, ok := c.blocked[id]
	if !ok {
		return 0
	}
	return now - since
}

// costHeap is a heap by cost, then by name.
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
