package lwplacement

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	correctionStep     = 0.5   // share of the prediction error that one signal corrects
	priorSignals       = 6.0   // signals that weigh as much as the more general estimate
	evidenceDecay      = 0.98  // factor of past signals' evidence, applied at each signal
	baselineStep       = 0.05  // share of a baseline's error that one signal corrects
	defaultEstimate    = 0.02  // estimate of a program without signals
	minSignalRequests  = 20    // a signal of fewer requests is too uncertain to use
	minCPUShare        = 1e-4  // CPU share times load below which a program's estimate is not corrected
	halfWeightRequests = 200.0 // requests of a signal that has half the full weight
)

// pairKey names a service and a program that runs on the same worker.
type pairKey struct {
	service lwunit.ServiceName
	program string
}

// estimate is the share of a service's requests, under full load, that a program
// would make late if it used all processors of the worker.
type estimate struct {
	value    float64
	evidence float64 // decaying sum of the weights of signals
}

// interferenceModel predicts late requests as linear in the CPU share of each
// program and the load of the service. It learns by small corrections from delayed
// signals. While there are few signals for a pair of service and program, its
// estimate is shrunk to that of the program over all services.
type interferenceModel struct {
	byPair    map[pairKey]*estimate
	byProgram map[string]*estimate
	baseline  map[lwunit.ServiceName]float64 // share of late requests while the service shares the worker with no program
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{byPair: make(map[pairKey]*estimate), byProgram: make(map[string]*estimate), baseline: make(map[lwunit.ServiceName]float64)}
}

// expected returns the estimate for a pair, shrunk by the evidence.
func (m *interferenceModel) expected(s lwunit.ServiceName, program string) float64 {
	mean := defaultEstimate
	if k := m.byProgram[program]; k != nil {
		w := k.evidence / (k.evidence + priorSignals)
		mean = w*k.value + (1-w)*defaultEstimate
	}
	k := m.byPair[pairKey{s, program}]
	if k == nil {
		return mean
	}
	w := k.evidence / (k.evidence + priorSignals)
	return w*k.value + (1-w)*mean
}

// programShare is the share of a worker's processors that a program had at a time.
type programShare struct {
	program string
	share   float64
}

// learn corrects the estimates by one signal: late is the share of late requests,
// load the load of the service, and shares the mean CPU shares of the programs
// meanwhile. The error is divided among the programs as in normalised least mean
// squares.
func (m *interferenceModel) learn(s lwunit.ServiceName, late, load float64, requests int, shares []programShare) {
	weight := float64(requests) / (float64(requests) + halfWeightRequests)
	if len(shares) == 0 {
		m.baseline[s] += baselineStep * weight * (late - m.baseline[s])
		return
	}
	predicted, norm := m.baseline[s], 0.0
	for _, x := range shares {
		predicted += m.expected(s, x.program) * x.share * load
		norm += x.share * x.share * load * load
	}
	err := late - predicted
	for _, x := range shares {
		if x.share*load < minCPUShare {
			continue
		}
		step := correctionStep * weight * err * x.share * load / norm
		m.pair(s, x.program).correct(m.expected(s, x.program)+step, weight)
		m.program(x.program).correct(m.expected(s, x.program)+step, weight)
	}
}

// correct moves an estimate towards target, less so the more evidence it has.
func (e *estimate) correct(target, weight float64) {
	e.evidence = e.evidence*evidenceDecay + weight
	e.value += weight / max(1, min(e.evidence, priorSignals)) * (max(0, target) - e.value)
}

// pair returns the estimate of a pair, created if there is none.
func (m *interferenceModel) pair(s lwunit.ServiceName, program string) *estimate {
	k := pairKey{s, program}
	if m.byPair[k] == nil {
		m.byPair[k] = &estimate{}
	}
	return m.byPair[k]
}

// program returns the estimate of a program, created if there is none.
func (m *interferenceModel) program(name string) *estimate {
	if m.byProgram[name] == nil {
		m.byProgram[name] = &estimate{}
	}
	return m.byProgram[name]
}

// programShares returns the CPU shares of the programs of batch and urgent tasks on
// a worker; throttled tasks count with what the throttle leaves them.
func (c *Core) programShares(s *lwstate.State, w lwunit.WorkerID) []programShare {
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
		if _, known := byProgram[name]; !known {
			order = append(order, name)
		}
		byProgram[name] += ratio(int64(t.Reserve.Millicores), int64(worker.Spec.Capacity.Millicores)) * c.throttleFactor(w, t.ID)
	}
	shares := make([]programShare, 0, len(order))
	for _, name := range order {
		shares = append(shares, programShare{name, byProgram[name]})
	}
	return shares
}
