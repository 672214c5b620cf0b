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
	demandMemory  = 10 * time.Minute // over which a class's demand is averaged
	loadWeight    = 0.1              // of the newest signal in a worker's mean load
	busyDecay     = 0.9999           // of the highest request rate, a signal
)

// prices says what room on each worker is worth to noisy work. Noisy classes
// belong on workers whose services are little used; if harmless work fills
// those first, the noise goes beside busy services. So quiet room costs what
// its next best user would lose: the dual prices of matching classes, noisiest
// first, with workers, quietest first.
type prices struct {
	at     time.Duration
	known  bool
	room   map[lwunit.WorkerID]float64 // price of the worker's whole room
	demand map[Class]float64           // mean processors held and wanted, millicores
	load   map[lwunit.WorkerID]map[lwunit.ServiceName]float64
	peak   map[lwunit.ServiceName]float64 // highest requests a signal
}

func newPrices() prices {
	return prices{
		room: make(map[lwunit.WorkerID]float64), demand: make(map[Class]float64),
		load: make(map[lwunit.WorkerID]map[lwunit.ServiceName]float64), peak: make(map[lwunit.ServiceName]float64),
	}
}

// noteLoad learns how much a service is used on a worker, from 0 to 1.
func (p *prices) noteLoad(o SignalSeen) {
	p.peak[o.Service] = max(float64(o.Requests), p.peak[o.Service]*busyDecay)
	if p.load[o.Worker] == nil {
		p.load[o.Worker] = make(map[lwunit.ServiceName]float64)
	}
	now := float64(o.Requests) / max(1, p.peak[o.Service])
	old, ok := p.load[o.Worker][o.Service]
	if !ok {
		old = now
	}
	p.load[o.Worker][o.Service] = old + loadWeight*(now-old)
}

// loadOf returns the load of a service on a worker; full if nothing was seen.
func (p *prices) loadOf(w lwunit.WorkerID, s lwunit.ServiceName) float64 {
	if l, ok := p.load[w][s]; ok {
		return l
	}
	return 1
}

// place is a worker as the matching sees it.
type place struct {
	id        lwunit.WorkerID
	room      float64 // millicores beside the reserve of its services
	sensitive float64 // sum of the loads of its services
}

// noise is a class as the matching sees it.
type noise struct {
	class  Class
	rate   float64 // expected disturbance
	demand float64
}

// reprice computes the prices anew, now and then.
func (c *Core) reprice(r *round) {
	p := &c.prices
	if !c.cfg.LearnPairs || (p.known && r.now-p.at < priceInterval) {
		return
	}
	passed := r.now - p.at
	if !p.known {
		passed = demandMemory
	}
	p.at, p.known = r.now, true
	c.averageDemand(r, 1-math.Exp(-float64(passed)/float64(demandMemory)))
	p.room = dualPrices(c.noises(r), c.places(r))
}

// averageDemand moves the mean demand of each class towards what is held and
// wanted now.
func (c *Core) averageDemand(r *round, weight float64) {
	now := make(map[Class]float64)
	for _, w := range r.workers {
		for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
			if j, ok := r.state.Job(t.Job); ok {
				now[classOf(j)] += float64(t.Reserve.Millicores)
			}
		}
	}
	for _, j := range r.state.WaitingJobs() {
		reserve := c.sizes.reserve(j, c.cfg.LearnSizes)
		now[classOf(j)] += float64(reserve.Millicores) * float64(r.state.WaitingCount(j.Spec.ID))
	}
	for cl := range c.prices.demand {
		if _, ok := now[cl]; !ok {
			now[cl] = 0
		}
	}
	for cl, d := range now {
		c.prices.demand[cl] += weight * (d - c.prices.demand[cl])
		if c.prices.demand[cl] < 1 && d == 0 {
			delete(c.prices.demand, cl)
		}
	}
}

func (c *Core) places(r *round) []place {
	var list []place
	for _, w := range r.workers {
		if !takesTasks(w) {
			continue
		}
		p := place{id: w.Spec.ID, room: float64(w.Spec.Capacity.Millicores - r.state.ServiceReserve(w.Spec.ID).Millicores)}
		r.state.EachBackendOn(w.Spec.ID, func(b lwstate.BackendServer) {
			p.sensitive += c.prices.loadOf(w.Spec.ID, b.Service)
		})
		list = append(list, p)
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].sensitive < list[k].sensitive })
	return list
}

// noises lists the classes with demand, the noisiest first. Where there are
// several services a class counts with the one it disturbs most.
func (c *Core) noises(r *round) []noise {
	services := make(map[lwunit.ServiceName]bool)
	for _, b := range r.state.Backends() {
		services[b.Service] = true
	}
	var list []noise
	for cl, d := range c.prices.demand {
		n := noise{class: cl, demand: d}
		for s := range services {
			n.rate = max(n.rate, c.pairs.expected(s, cl.Program))
		}
		list = append(list, n)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if a.rate != b.rate {
			return a.rate > b.rate
		}
		return a.class.Team+"\x00"+lwunit.TeamName(a.class.Program) < b.class.Team+"\x00"+lwunit.TeamName(b.class.Program)
	})
	return list
}

// dualPrices fills places, quietest first, with noise, loudest first. Between
// two neighbouring places the price falls by what the class at their border
// would lose by moving to the busier one.
func dualPrices(classes []noise, places []place) map[lwunit.WorkerID]float64 {
	border := make([]float64, len(places)) // rate of the class that fills a place to its end
	i, left := 0, 0.0
	if len(classes) > 0 {
		left = classes[0].demand
	}
	for k := range places {
		room := places[k].room
		for i < len(classes) && left <= room {
			room -= left
			i++
			if i < len(classes) {
				left = classes[i].demand
			}
		}
		if i == len(classes) {
			break // the rest stays empty, so room from here on is worth nothing
		}
		left -= room
		border[k] = classes[i].rate
	}
	prices := make(map[lwunit.WorkerID]float64, len(places))
	price := 0.0
	for k := len(places) - 1; k >= 0; k-- {
		if k+1 < len(places) {
			price += border[k] * (places[k+1].sensitive - places[k].sensitive)
		}
		prices[places[k].id] = price
	}
	return prices
}

// disturbance is the share of requests expected to become late by a task, and
// the worth of the room it takes to noisier work.
func (c *Core) disturbance(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	if !c.cfg.LearnPairs {
		return 0
	}
	x := ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
	return c.prices.room[w.Spec.ID]*x + c.noiseAt(r, j, reserve, w)
}

// noiseAt is the share of requests on a worker expected to become late by a
// task.
func (c *Core) noiseAt(r *round, j lwstate.Job, reserve lwunit.Resources, w *lwstate.Worker) float64 {
	if !c.cfg.LearnPairs {
		return 0
	}
	sum := 0.0
	x := ratio(int64(reserve.Millicores), int64(w.Spec.Capacity.Millicores))
	program := programName(j.Spec.Program)
	r.state.EachBackendOn(w.Spec.ID, func(b lwstate.BackendServer) {
		sum += c.pairs.expected(b.Service, program) * c.prices.loadOf(w.Spec.ID, b.Service) * x
	})
	return sum
}
