package lwplacement

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	pairStep     = 0.5  // share of an error that one signal corrects
	pairPrior    = 6.0  // signals that weigh as much as the class mean
	pairDecay    = 0.98 // a signal of the past against the next
	baseStep     = 0.05
	firstGuess   = 0.02 // late share of a whole worker's processors, before anything was seen
	minRequests  = 20   // a signal of fewer requests says too little
	smallestPart = 1e-4
	signalHalf   = 200.0 // requests at which a signal has half its full weight
)

type pairKey struct {
	service lwunit.ServiceName
	class   Class
}

// estimate is how much of a service's requests a class makes late, if it had a
// worker's processors to itself.
type estimate struct {
	value float64
	seen  float64
}

// pairs is the interference model: linear in the processors of each class,
// learned by small corrections from lagged signals and shrunk to the mean of
// the class over all services while a pair was seen little.
type pairs struct {
	byPair  map[pairKey]*estimate
	byClass map[Class]*estimate
	base    map[lwunit.ServiceName]float64 // late share with nothing beside it
}

func newPairs() pairs {
	return pairs{byPair: make(map[pairKey]*estimate), byClass: make(map[Class]*estimate), base: make(map[lwunit.ServiceName]float64)}
}

// expected returns the estimate for a pair.
func (p *pairs) expected(s lwunit.ServiceName, cl Class) float64 {
	mean := firstGuess
	if k := p.byClass[cl]; k != nil {
		w := k.seen / (k.seen + pairPrior)
		mean = w*k.value + (1-w)*firstGuess
	}
	k := p.byPair[pairKey{s, cl}]
	if k == nil {
		return mean
	}
	w := k.seen / (k.seen + pairPrior)
	return w*k.value + (1-w)*mean
}

// part is the share of a worker's processors that a class had while a signal
// was taken.
type part struct {
	class Class
	share float64
}

// learn corrects the estimates by one signal.
func (p *pairs) learn(s lwunit.ServiceName, late float64, requests int, parts []part) {
	weight := float64(requests) / (float64(requests) + signalHalf)
	if len(parts) == 0 {
		p.base[s] += baseStep * weight * (late - p.base[s])
		return
	}
	predicted, norm := p.base[s], 0.0
	for _, x := range parts {
		predicted += p.expected(s, x.class) * x.share
		norm += x.share * x.share
	}
	err := late - predicted
	for _, x := range parts {
		if x.share < smallestPart {
			continue
		}
		step := pairStep * weight * err * x.share / norm
		p.pair(s, x.class).correct(p.expected(s, x.class)+step, weight)
		p.class(x.class).correct(p.expected(s, x.class)+step, weight)
	}
}

func (e *estimate) correct(target, weight float64) {
	e.seen = e.seen*pairDecay + weight
	e.value += weight / max(1, min(e.seen, pairPrior)) * (max(0, target) - e.value)
}

func (p *pairs) pair(s lwunit.ServiceName, cl Class) *estimate {
	k := pairKey{s, cl}
	if p.byPair[k] == nil {
		p.byPair[k] = &estimate{}
	}
	return p.byPair[k]
}

func (p *pairs) class(cl Class) *estimate {
	if p.byClass[cl] == nil {
		p.byClass[cl] = &estimate{}
	}
	return p.byClass[cl]
}

// partsOn returns the shares of the tasks on a worker, slowed ones by as much
// as they are slowed.
func (c *Core) partsOn(s *lwstate.State, w lwunit.WorkerID) []part {
	worker, ok := s.Worker(w)
	if !ok {
		return nil
	}
	byClass := make(map[Class]float64)
	var order []Class
	for _, t := range s.TasksOnWorker(w) {
		j, ok := s.Job(t.Job)
		if !ok || j.Spec.Class == lwstate.ClassLatencyCritical {
			continue
		}
		cl := classOf(j)
		if _, seen := byClass[cl]; !seen {
			order = append(order, cl)
		}
		byClass[cl] += ratio(int64(t.Reserve.Millicores), int64(worker.Spec.Capacity.Millicores)) * c.speed(w, t.ID)
	}
	parts := make([]part, 0, len(order))
	for _, cl := range order {
		parts = append(parts, part{cl, byClass[cl]})
	}
	return parts
}
