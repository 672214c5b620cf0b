package lwscenario

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
)

// Scenario is one recorded course of events.
type Scenario struct {
	Name     string
	Horizon  time.Duration
	Demand   float64 // batch work submitted, as a share of what all workers have
	Shifting bool    // service load shifts
	Waves    bool    // heavy jobs arrive in waves
	Spread   float64 // declared sizes are off by up to this factor, either way
	Never    bool    // some jobs can never run
	Bad      bool    // one worker fails everything for a while
	Cancels  bool    // a wave of cancellations
	Domain   bool    // a third of the workers is lost and comes back
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	const hour = time.Hour
	return []Scenario{
		{Name: "steady", Horizon: 3 * hour, Demand: 0.55},
		{Name: "shifting load", Horizon: 3 * hour, Demand: 0.55, Shifting: true},
		{Name: "noisy waves", Horizon: 3 * hour, Demand: 0.5, Waves: true},
		{Name: "sizes off 0.2-5x", Horizon: 3 * hour, Demand: 0.35, Spread: 5},
		{Name: "never runnable", Horizon: 3 * hour, Demand: 0.55, Never: true},
		{Name: "bad worker", Horizon: 3 * hour, Demand: 0.55, Bad: true},
		{Name: "cancellation wave", Horizon: 3 * hour, Demand: 0.6, Cancels: true},
		{Name: "domain lost", Horizon: 3 * hour, Demand: 0.5, Domain: true},
		{Name: "all at once, twice", Horizon: 3 * hour, Demand: 0.4, Shifting: true, Waves: true, Spread: 3, Never: true, Bad: true, Cancels: true, Domain: true},
	}
}

// Variant is a way of deciding: ours or a baseline.
type Variant struct {
	Name   string
	Config lwplacement.Config
}

// Variants lists ours first.
func Variants() []Variant {
	with := func(name string, change func(*lwplacement.Config)) Variant {
		cfg := lwplacement.DefaultConfig()
		change(&cfg)
		return Variant{name, cfg}
	}
	plain := func(rule lwplacement.Rule) func(*lwplacement.Config) {
		return func(c *lwplacement.Config) {
			c.Rule, c.Ladder, c.LearnSizes, c.LearnPairs = rule, lwplacement.LadderNone, false, false
		}
	}
	return []Variant{
		with("lavenderweir", func(*lwplacement.Config) {}),
		with("first fit", plain(lwplacement.FirstFit{})),
		with("best fit", plain(lwplacement.BestFit{})),
		with("random", plain(lwplacement.AnyFit{Seed: 1})),
		with("static partition", plain(lwplacement.Partition{Share: 0.5})),
		with("no size learning", func(c *lwplacement.Config) { c.LearnSizes = false }),
		with("no interference model", func(c *lwplacement.Config) { c.LearnPairs = false }),
		with("evict only", func(c *lwplacement.Config) {
			c.Ladder, c.LearnPairs = lwplacement.LadderEvictOnly, false
		}),
	}
}

// Result is what a variant made of a scenario.
type Result struct {
	Deployment  string        `json:"deployment"`
	Scenario    string        `json:"scenario"`
	Variant     string        `json:"variant"`
	Late        float64       `json:"late"`       // share of requests over the promised tail, in percent
	Throughput  float64       `json:"throughput"` // batch work finished, share of the clairvoyant bound
	Evictions   int           `json:"evictions"`
	LostWork    float64       `json:"lost_work"` // share of the work done
	UrgentP99   time.Duration `json:"urgent_p99_ns"`
	UrgentWorst time.Duration `json:"urgent_worst_ns"`
	Overcommit  int           `json:"overcommit"` // moments at which a worker was given more than it has
	OutOfMemory int           `json:"out_of_memory"`
	Finished    int           `json:"finished"`
	Doubled     int           `json:"doubled"` // tasks seen in two places
}
