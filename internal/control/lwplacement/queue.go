package lwplacement

import (
	"container/heap"
	"sort"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// teamQueue holds the waiting jobs of one team.
type teamQueue struct {
	name  lwunit.TeamName
	spec  lwticket.TeamSpec
	used  lwunit.Resources
	jobs  []lwstate.Job // in the order of startsBefore
	share float64       // dominant share of the quota; the part over the quota is divided by the weight
}

// classRank orders the classes by urgency, the most urgent first.
func classRank(c lwstate.JobClass) int {
	switch c {
	case lwstate.ClassLatencyCritical:
		return 0
	case lwstate.ClassUrgent:
		return 1
	default:
		return 2
	}
}

// dominantShare returns the largest share of its quota that a team uses in any
// resource, as in dominant resource fairness. Use of a resource without quota
// counts as 1000 times the quota.
func dominantShare(used, quota lwunit.Resources) float64 {
	shareOf := func(u, q int64) float64 {
		switch {
		case u == 0:
			return 0
		case q == 0:
			return 1000
		default:
			return float64(u) / float64(q)
		}
	}
	return max(
		shareOf(int64(used.Millicores), int64(quota.Millicores)),
		shareOf(int64(used.Memory), int64(quota.Memory)),
		shareOf(int64(used.Accelerators), int64(quota.Accelerators)),
	)
}

// update recomputes the share. A team over its quota borrows resources: it comes
// after every team of its rank within quota, and the excess of borrowing teams
// is compared by their weights.
func (q *teamQueue) update() {
	q.share = dominantShare(q.used, q.spec.Quota)
	if q.share > 1 {
		q.share = 1 + (q.share-1)/float64(max(1, q.spec.Weight))
	}
}

// rank is the rank of the class of the team's next job. Over its quota every job
// of a team counts as batch, so that marking all jobs urgent gains nothing.
func (q *teamQueue) rank() int {
	if q.share > 1 {
		return classRank(lwstate.ClassBatch)
	}
	return classRank(q.jobs[0].Spec.Class)
}

// fairQueue is a heap of the teams with waiting jobs, by the rank of their next
// jobs, then by share.
type fairQueue []*teamQueue

// Len is part of heap.Interface.
func (f fairQueue) Len() int { return len(f) }

// Less is part of heap.Interface.
func (f fairQueue) Less(i, j int) bool {
	a, b := f[i], f[j]
	if ra, rb := a.rank(), b.rank(); ra != rb {
		return ra < rb
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return a.name < b.name
}

// Swap is part of heap.Interface.
func (f fairQueue) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push is part of heap.Interface.
func (f *fairQueue) Push(x any) { *f = append(*f, x.(*teamQueue)) }

// Pop is part of heap.Interface.
func (f *fairQueue) Pop() any {
	old := *f
	q := old[len(old)-1]
	*f = old[:len(old)-1]
	return q
}

// newFairQueue groups the waiting jobs by team.
func (c *Core) newFairQueue(r *round) *fairQueue {
	byTeam := make(map[lwunit.TeamName]*teamQueue)
	var f fairQueue
	for _, j := range r.state.JobsWithQueuedTasks() {
		q, ok := byTeam[j.Spec.Team]
		if !ok {
			q = &teamQueue{name: j.Spec.Team, used: r.state.UsedByTeam(j.Spec.Team)}
			q.spec, _ = r.state.Team(j.Spec.Team)
			q.update()
			byTeam[j.Spec.Team] = q
			f = append(f, q)
		}
		q.jobs = append(q.jobs, j)
	}
	for _, q := range f {
		sort.SliceStable(q.jobs, func(i, k int) bool { return c.startsBefore(q.jobs[i], q.jobs[k]) })
	}
	heap.Init(&f)
	return &f
}

// startsBefore orders the jobs of one team: by class, then by the latest time at
// which they should start.
func (c *Core) startsBefore(a, b lwstate.Job) bool {
	if ra, rb := classRank(a.Spec.Class), classRank(b.Spec.Class); ra != rb {
		return ra < rb
	}
	return c.latestStart(a) < c.latestStart(b)
}

// latestStart returns when a job should start at the latest. The limit for jobs
// without a deadline, or with a distant one, keeps newer jobs from overtaking
// them for ever.
func (c *Core) latestStart(j lwstate.Job) lwunit.Millis {
	aged := j.Submitted.Add(c.cfg.AgingLimit)
	if j.Spec.FinishIn == 0 {
		return aged
	}
	// Declared run times are often too short: leave 1.5 times as much.
	forDeadline := j.Submitted.Add(j.Spec.FinishIn.Std() - j.Spec.RunTime.Std()*3/2)
	return min(aged, forDeadline)
}
