// Package lwscenario drives the placement core through recorded scenarios
// against small deterministic fakes of a worker's interface, a dozen at most,
// and measures what its decisions are worth.
package lwscenario

import (
	"math"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// program is what a batch program really does; the core sees none of it.
type program struct {
	name    string
	class   lwstate.JobClass
	cores   float64
	memory  lwunit.Bytes
	accel   lwunit.Accelerators
	run     time.Duration // at full speed
	disturb float64       // late share it causes with a whole worker's processors, at full service load
}

// mix is a deployment's workload.
type mix struct {
	name     string
	region   lwunit.Region
	service  lwunit.ServiceName
	capacity lwunit.Resources
	programs []program
	weights  string // fields of the deployment's ticket
	reserve  lwunit.Resources
}

// Mixes of the two deployments: many small disturbances and a few heavy ones.
func mixes() []mix {
	return []mix{
		{
			name: "kirishima", region: "kyushu-south", service: "engrave-desk",
			capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB, Accelerators: 2},
			reserve:  lwunit.Resources{Millicores: 8000, Memory: 16 * lwunit.GiB},
			weights:  `"tail_weight": 3, "throughput_weight": 1, "eviction_weight": 1, "eviction_budget": 60`,
			programs: []program{
				{"toolpath", lwstate.ClassBatch, 12, 24 * lwunit.GiB, 0, 6 * time.Minute, 0.30},
				{"render", lwstate.ClassBatch, 8, 20 * lwunit.GiB, 1, 4 * time.Minute, 0.08},
				{"watch", lwstate.ClassBatch, 2, 4 * lwunit.GiB, 0, 20 * time.Minute, 0.01},
				{"index", lwstate.ClassBatch, 6, 30 * lwunit.GiB, 0, 5 * time.Minute, 0.03},
				{"proof-batch", lwstate.ClassUrgent, 4, 8 * lwunit.GiB, 0, time.Minute, 0.02},
			},
		},
		{
			name: "papeles", region: "andes-norte", service: "taller-digital",
			capacity: lwunit.Resources{Millicores: 16000, Memory: 60 * lwunit.GiB, Accelerators: 1},
			reserve:  lwunit.Resources{Millicores: 2000, Memory: 4 * lwunit.GiB},
			weights:  `"tail_weight": 1, "throughput_weight": 3, "eviction_weight": 3, "eviction_budget": 20`,
			programs: []program{
				{"pattern-render", lwstate.ClassBatch, 3, 8 * lwunit.GiB, 0, 8 * time.Minute, 0.25},
				{"scan-archive", lwstate.ClassBatch, 1, 4 * lwunit.GiB, 0, 15 * time.Minute, 0.02},
				{"separation", lwstate.ClassBatch, 2, 6 * lwunit.GiB, 0, 5 * time.Minute, 0.06},
				{"color-batch", lwstate.ClassUrgent, 1, 2 * lwunit.GiB, 0, time.Minute, 0.02},
			},
		},
	}
}

// baseLate is the share of late requests with nothing beside the service.
const baseLate = 0.002

// loadAt is the load of the service on a worker, 0 to 1. Some workers are
// busier than others, and the whole shifts over the hours.
func loadAt(worker int, now time.Duration, shifting bool) float64 {
	load := 0.35 + 0.45*float64(worker%4)/3
	if shifting {
		load += 0.25 * math.Sin(2*math.Pi*now.Hours()/1.5+float64(worker))
	}
	return min(max(load, 0.05), 1)
}

// drawSize returns what a job really needs, by how much its declaration is off.
func drawSize(rng *rand.Rand, spread float64) float64 {
	if spread <= 1 {
		return 1
	}
	return math.Exp((rng.Float64()*2 - 1) * math.Log(spread))
}
