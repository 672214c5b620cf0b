package lwscenario

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
)

// Scenario is the load and the faults of one simulation.
type Scenario struct {
	Name           string
	Horizon        time.Duration
	Demand         float64 // submitted batch work, as a share of the workers' cores over the horizon
	ShiftingLoad   bool    // the service's load shifts between workers over time
	HeavyWaves     bool    // jobs with strong interference arrive in waves
	SizeSpread     float64 // declared cores, memory and run times are off by up to this factor in either direction; 0 for none
	UnrunnableJobs bool    // some jobs can never run
	BadWorker      bool    // one worker fails every attempt for a while
	CancelWave     bool    // about a third of the active jobs is cancelled at once
	DomainLoss     bool    // one failure domain, a third of the workers, is lost and returns
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	const hour = time.Hour
	return []Scenario{
		{Name: "steady", Horizon: 3 * hour, Demand: 0.55},
		{Name: "shifting load", Horizon: 3 * hour, Demand: 0.55, ShiftingLoad: true},
		{Name: "noisy waves", Horizon: 3 * hour, Demand: 0.5, HeavyWaves: true},
		{Name: "sizes off 0.2-5x", Horizon: 3 * hour, Demand: 0.35, SizeSpread: 5},
		{Name: "never runnable", Horizon: 3 * hour, Demand: 0.55, UnrunnableJobs: true},
		{Name: "bad worker", Horizon: 3 * hour, Demand: 0.55, BadWorker: true},
		{Name: "cancellation wave", Horizon: 3 * hour, Demand: 0.6, CancelWave: true},
		{Name: "domain lost", Horizon: 3 * hour, Demand: 0.5, DomainLoss: true},
		{Name: "all at once, twice", Horizon: 3 * hour, Demand: 0.4, ShiftingLoad: true, HeavyWaves: true, SizeSpread: 3, UnrunnableJobs: true, BadWorker: true, CancelWave: true, DomainLoss: true},
	}
}

// Variant is a configuration of the placement core: the product's or a baseline.
type Variant struct {
	Name   string
	Config lwplacement.Config
}

// Variants lists the product's configuration first, then the baselines.
func Variants() []Variant {
	with := func(name string, change func(*lwplacement.Config)) Variant {
		cfg := lwplacement.DefaultConfig()
		change(&cfg)
		return Variant{name, cfg}
	}
	baseline := func(rule lwplacement.Rule) func(*lwplacement.Config) {
		return func(c *lwplacement.Config) {
			c.Rule, c.Escalation, c.LearnSizes, c.LearnInterference = rule, lwplacement.EscalationNone, false, false
		}
	}
	return []Variant{
		with("lavenderweir", func(*lwplacement.Config) {}),
		with("first fit", baseline(lwplacement.FirstFit{})),
		with("best fit", baseline(lwplacement.BestFit{})),
		with("random", baseline(lwplacement.RandomFit{Seed: 1})),
		with("static partition", baseline(lwplacement.StaticPartition{Share: 0.5})),
		with("no size learning", func(c *lwplacement.Config) { c.LearnSizes = false }),
		with("no interference model", func(c *lwplacement.Config) { c.LearnInterference = false }),
		with("evict only", func(c *lwplacement.Config) {
			c.Escalation, c.LearnInterference = lwplacement.EscalationEvictOnly, false
		}),
	}
}

// Result is the outcome of a variant in a scenario.
type Result struct {
	Deployment  string        `json:"deployment"`
	Scenario    string        `json:"scenario"`
	Variant     string        `json:"variant"`
	LatePercent float64       `json:"late"`       // percentage of requests over the tail latency target
	Throughput  float64       `json:"throughput"` // finished batch work, as a share of what a clairvoyant scheduler could finish at most
	Evictions   int           `json:"evictions"`
	LostWork    float64       `json:"lost_work"`     // as a share of the work done
	UrgentP99   time.Duration `json:"urgent_p99_ns"` // wait of urgent jobs from arrival until the first task runs
	UrgentWorst time.Duration `json:"urgent_worst_ns"`
	Overcommit  int           `json:"overcommit"`    // steps at which a worker was overcommitted, summed over the workers
	OutOfMemory int           `json:"out_of_memory"` // attempts killed for lack of memory on their worker
	Finished    int           `json:"finished"`      // tasks that succeeded
	Doubled     int           `json:"doubled"`       // steps at which a task ran on two workers, summed over the tasks
}
