package lwplacement

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	pairStep     = 0.5  // share of an error that one signal corrects
	pairPrior    = 6.0  // signals that weigh as much as the program's mean
	pairDecay    = 0.98 // a signal of the past against the next
	baseStep     = 0.05
	firstGuess   = 0.02 // late share of a whole worker's processors, before anything was seen
	minRequests  = 20   // a signal of fewer requests says too little
	smallestPart = 1e-4
	signalHalf   = 200.0 // requests at which a signal has half its full weight
)

type pairKey struct {
	service lwunit.ServiceName
	program string
}

// estimate is how much of a service's requests a program makes late, if it had a
// worker's processors to itself.
type estimate struct {
	value float64
	seen  float64
}

// pairs is the interference model: linear in the processors of each program,
// learned by small corrections from lagged signals and shrunk to the mean of
// the program over all services while a pair was seen little.
type pairs struct {
	byPair    map[pairKey]*estimate
	byProgram map[string]*estimate
	base      map[lwunit.ServiceName]float64 // late share with nothing beside it
}

func newPairs() pairs {
	return pairs{byPair: make(map[pairKey]*estimate), byProgram: make(map[string]*estimate), base: make(map[lwunit.ServiceName]float64)}
}

// expected returns the estimate for a pair.
func (p *pairs) expected(s lwunit.ServiceName, program string) float64 {
	mean := firstGuess
	if k := p.byProgram[program]; k != nil {
		w := k.seen / (k.seen + pairPrior)
		mean = w*k.value + (1-w)*firstGuess
	}
	k := p.byPair[pairKey{s, program}]
	if k == nil {
		return mean
	}
	w := k.seen / (k.seen + pairPrior)
	return w*k.value + (1-w)*mean
}

// part is the share of a worker's processors that a program had while a signal
// was taken.
type part struct {
	program string
	share   float64
}

// learn corrects the estimates by one signal, taken at the given load.
func (p *pairs) learn(s lwunit.ServiceName, late, load float64, requests int, parts []part) {
	weight := float64(requests) / (float64(requests) + signalHalf)
	if len(parts) == 0 {
		p.base[s] += baseStep * weight * (late - p.base[s])
		return
	}
	predicted, norm := p.base[s], 0.0
	for _, x := range parts {
		predicted += p.expected(s, x.program) * x.share * load
		norm += x.share * x.share * load * load
	}
	err := late - predicted
	for _, x := range parts {
		if x.share*load < smallestPart {
			continue
		}
		step := pairStep * weight * err * x.share * load / norm
		p.pair(s, x.program).correct(p.expected(s, x.program)+step, weight)
		p.program(x.program).correct(p.expected(s, x.program)+step, weight)
	}
}

func (e *estimate) correct(target, weight float64) {
	e.seen = e.seen*pairDecay + weight
	e.value += weight / max(1, min(e.seen, pairPrior)) * (max(0, target) - e.value)
}

func (p *pairs) pair(s lwunit.ServiceName, program string) *estimate {
	k := pairKey{s, program}
	if p.byPair[k] == nil {
		p.byPair[k] = &estimate{}
	}
	return p.byPair[k]
}

func (p *pairs) program(name string) *estimate {
	if p.byProgram[name] == nil {
		p.byProgram[name] = &estimate{}
	}
	return p.byProgram[name]
}

// partsOn returns the shares of the tasks on a worker, slowed ones by as much
// as they are slowed.
func (c *Core) partsOn(s *lwstate.State, w lwunit.WorkerID) []part {
	worker, ok := s.Worker(w)
	if !ok {
		return nil
	}
	byProgram := make(map[string]float64)
	var order []string
	for _, t := range s.TasksOnWorker(w) {
		j, ok := s.Job(t.Job)
		if !ok || j.Spec.Class == lwstate.ClassLatencyCritical {
			continue
		}
		name := programName(j.Spec.Program)
		if _, seen := byProgram[name]; !seen {
			order = append(order, name)
		}
		byProgram[name] += ratio(int64(t.Reserve.Millicores), int64(worker.Spec.Capacity.Millicores)) * c.speed(w, t.ID)
	}
	parts := make([]part, 0, len(order))
	for _, name := range order {
		parts = append(parts, part{name, byProgram[name]})
	}
	return parts
}
