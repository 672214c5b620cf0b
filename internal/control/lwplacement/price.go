package lwplacement

import (
	"math"
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	priceInterval = 2 * time.Second
	demandWindow  = 10 * time.Minute // time constant of the mean demand of a team's program
	loadWeight    = 0.1              // of the newest signal in a service's mean load
	peakDecay     = 0.9999           // factor of the highest request count, applied at each signal
)

// prices holds the price of room on each worker. Programs that interfere much
// belong on workers whose services have little load; if other programs fill those
// first, the interference falls on services under load. So room on a worker costs
// the interference that its next best user would cause elsewhere: the dual prices
// of an assignment of the programs, most interfering first, to the workers, least
// loaded first.
type prices struct {
	updatedAt    time.Duration
	computed     bool
	byWorker     map[lwunit.WorkerID]float64                        // share of late requests that the worker's whole room is worth
	demand       map[TeamProgram]float64                            // mean of the millicores held and waited for
	load         map[lwunit.WorkerID]map[lwunit.ServiceName]float64 // mean, relative to peakRequests
	peakRequests map[lwunit.ServiceName]float64                     // largest number of requests in one signal, decaying
}

func newPrices() prices {
	return prices{
		byWorker: make(map[lwunit.WorkerID]float64), demand: make(map[TeamProgram]float64),
		load: make(map[lwunit.WorkerID]map[lwunit.ServiceName]float64), peakRequests: make(map[lwunit.ServiceName]float64),
	}
}

// observeLoad learns the load of a service on a worker, from 0 to 1.
func (p *prices) observeLoad(o SignalSample) {
	p.peakRequests[o.Service] = max(float64(o.Requests), p.peakRequests[o.Service]*peakDecay)
	if p.load[o.Worker] == nil {
		p.load[o.Worker] = make(map[lwunit.ServiceName]float64)
	}
	newest := float64(o.Requests) / max(1, p.peakRequests[o.Service])
	mean, ok := p.load[o.Worker][o.Service]
	if !ok {
		mean = newest
	}
	p.load[o.Worker][o.Service] = mean + loadWeight*(newest-mean)
}

// loadOf returns the mean load of a service on a worker, or 1 if none was
// measured.
func (p *prices) loadOf(w lwunit.WorkerID, s lwunit.ServiceName) float64 {
	if l, ok := p.load[w][s]; ok {
		return l
	}
	return 1
}

// workerRoom is a worker in the assignment.
type workerRoom struct {
	id          lwunit.WorkerID
	room        float64 // millicores beside the reserve of its services
	serviceLoad float64 // sum over its services
}

// programDemand is a team's program in the assignment.
type programDemand struct {
	program      TeamProgram
	interference float64 // expected share of late requests of a fully loaded service, with a whole worker's processors
	demand       float64 // millicores
}

// updatePrices recomputes the prices, at most once in priceInterval.
func (c *Core) updatePrices(r *round) {
	p := &c.prices
	if !c.cfg.LearnInterference || (p.computed && r.now-p.updatedAt < priceInterval) {
		return
	}
	elapsed := r.now - p.updatedAt
	if !p.computed {
		elapsed = demandWindow
	}
	p.updatedAt, p.computed = r.now, true
	c.updateDemand(r, 1-math.Exp(-float64(elapsed)/float64(demandWindow)))
	p.byWorker = dualPrices(c.programDemands(r), c.workerRooms(r))
}

// updateDemand moves the mean demand of each team's program towards the processors
// that its tasks hold and wait for now.
func (c *Core) updateDemand(r *round, weight float64) {
	current := make(map[TeamProgram]float64)
	for _, w := range r.workers {
		for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
			if j, ok := r.state.Job(t.Job); ok {
				current[teamProgramOf(j)] += float64(t.Reserve.Millicores)
			}
		}
	}
	for _, j := range r.state.JobsWithQueuedTasks() {
		reserve := c.sizes.reserve(j, c.cfg.LearnSizes)
		current[teamProgramOf(j)] += float64(reserve.Millicores) * float64(r.state.QueuedCountOfJob(j.Spec.ID))
	}
	for tp := range c.prices.demand {
		if _, ok := current[tp]; !ok {
			current[tp] = 0
		}
	}
	for tp, d := range current {
		c.prices.demand[tp] += weight * (d - c.prices.demand[tp])
		if c.prices.demand[tp] < 1 && d == 0 {
			delete(c.prices.demand, tp)
		}
	}
}

// workerRooms returns the workers that accept tasks, the least loaded first.
func (c *Core) workerRooms(r *round) []workerRoom {
	var list []workerRoom
	for _, w := range r.workers {
		if !r.acceptsTasks(w) {
			continue
		}
		wr := workerRoom{id: w.Spec.ID, room: float64(w.Spec.Capacity.Millicores - r.state.ServiceReserve(w.Spec.ID).Millicores)}
		r.state.EachBackendOn(w.Spec.ID, func(b lwstate.BackendServer) {
			wr.serviceLoad += c.prices.loadOf(w.Spec.ID, b.Service)
		})
		list = append(list, wr)
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].serviceLoad < list[k].serviceLoad })
	return list
}

// programDemands returns the programs with demand, the most interfering first. The
// interference of a program is that with the service it interferes with most.
func (c *Core) programDemands(r *round) []programDemand {
	services := make(map[lwunit.ServiceName]bool)
	for _, b := range r.state.Backends() {
		services[b.Service] = true
	}
	var list []programDemand
	for tp, d := range c.prices.demand {
		pd := programDemand{program: tp, demand: d}
		for s := range services {
			pd.interference = max(pd.interference, c.interference.expected(s, tp.Program))
		}
		list = append(list, pd)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if a.interference != b.interference {
			return a.interference > b.interference
		}
		return a.program.Team+"\x00"+lwunit.TeamName(a.program.Program) < b.program.Team+"\x00"+lwunit.TeamName(b.program.Program)
	})
	return list
}

// dualPrices assigns the programs, in order, to the workers, in order, and returns
// the price of each worker's room. From one worker to the next, more loaded one
// the price falls by the interference that the program at their border would add by
// moving there.
func dualPrices(programs []programDemand, workers []workerRoom) map[lwunit.WorkerID]float64 {
	border := make([]float64, len(workers)) // interference of the program that takes the last room of a worker
	i, left := 0, 0.0                       // index of a program, and its demand not yet assigned
	if len(programs) > 0 {
		left = programs[0].demand
	}
	for k := range workers {
		room := workers[k].room
		for i < len(programs) && left <= room {
			room -= left
			i++
			if i < len(programs) {
				left = programs[i].demand
			}
		}
		if i == len(programs) {
			break // the remaining workers have spare room, which is worth nothing
		}
		left -= room
		border[k] = programs[i].interference
	}
	prices := make(map[lwunit.WorkerID]float64, len(workers))
	price := 0.0
	for k := len(workers) - 1; k >= 0; k-- {
		if k+1 < len(workers) {
			price += border[k] * (workers[k+1].serviceLoad - workers[k].serviceLoad)
		}
		prices[workers[k].id] = price
	}
	return prices
}

// interferenceCost is the share of late requests that a task is expected to cause
// on a worker, plus the price of the room that it takes from programs that
// interfere more.
func (c *Core) interferenceCost(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	if !c.cfg.LearnInterference {
		return 0
	}
	cpuShare := ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
	return c.prices.byWorker[w.Spec.ID]*cpuShare + c.expectedInterference(r, j, reserve, w)
}

// expectedInterference is the share of late requests that a task is expected to
// cause on a worker, summed over its services.
func (c *Core) expectedInterference(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	if !c.cfg.LearnInterference {
		return 0
	}
	sum := 0.0
	cpuShare := ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
	program := programName(j.Spec.Program)
	r.state.EachBackendOn(w.Spec.ID, func(b lwstate.BackendServer) {
		sum += c.interference.expected(b.Service, program) * c.prices.loadOf(w.Spec.ID, b.Service) * cpuShare
	})
	return sum
}
