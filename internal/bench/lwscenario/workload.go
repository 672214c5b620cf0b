// Package lwscenario measures the decisions of the placement core and of baselines
// on twelve simulated workers. In a scenario the core and each baseline get the
// same input, and the simulation is deterministic.
package lwscenario

import (
	"math"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// program is the actual behaviour of a batch program, which the core does not know.
type program struct {
	name         string
	class        lwstate.JobClass
	cores        float64 // that a task uses at full speed
	memory       lwunit.Bytes
	accelerators lwunit.Accelerators
	runTime      time.Duration // at full speed, scaled by a factor from 0.5 to 1.5 for each job
	interference float64       // late share that it causes on all of a worker's processors, at full service load
}

// workload is the batch programs, the service and the workers of a deployment.
type workload struct {
	name             string
	region           lwunit.Region
	service          lwunit.ServiceName
	capacity         lwunit.Resources
	programs         []program
	deploymentFields string           // of the deployment's spec in the ticket
	reserve          lwunit.Resources // for the service on each of its workers
}

// workloads returns the workloads of the two deployments. In each, one program
// interferes strongly with the service and the others little.
func workloads() []workload {
	return []workload{
		{
			name: "kirishima", region: "kyushu-south", service: "engrave-desk",
			capacity:         lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB, Accelerators: 2},
			reserve:          lwunit.Resources{Millicores: 8000, Memory: 16 * lwunit.GiB},
			deploymentFields: `"tail_weight": 3, "throughput_weight": 1, "eviction_weight": 1, "eviction_budget": 60`,
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
			capacity:         lwunit.Resources{Millicores: 16000, Memory: 60 * lwunit.GiB, Accelerators: 1},
			reserve:          lwunit.Resources{Millicores: 2000, Memory: 4 * lwunit.GiB},
			deploymentFields: `"tail_weight": 1, "throughput_weight": 3, "eviction_weight": 3, "eviction_budget": 20`,
			programs: []program{
				{"pattern-render", lwstate.ClassBatch, 3, 8 * lwunit.GiB, 0, 8 * time.Minute, 0.25},
				{"scan-archive", lwstate.ClassBatch, 1, 4 * lwunit.GiB, 0, 15 * time.Minute, 0.02},
				{"separation", lwstate.ClassBatch, 2, 6 * lwunit.GiB, 0, 5 * time.Minute, 0.06},
				{"color-batch", lwstate.ClassUrgent, 1, 2 * lwunit.GiB, 0, time.Minute, 0.02},
			},
		},
	}
}

// baseLateShare is the share of late requests without interference and overload.
const baseLateShare = 0.002

// serviceLoad returns the load of the service on a worker, 0.05 to 1. It differs
// between workers; with shifting it also varies over the hours.
func serviceLoad(worker int, now time.Duration, shifting bool) float64 {
	load := 0.35 + 0.45*float64(worker%4)/3
	if shifting {
		load += 0.25 * math.Sin(2*math.Pi*now.Hours()/1.5+float64(worker))
	}
	return min(max(load, 0.05), 1)
}

// drawSizeError returns the factor by which a declaration is off, between 1/spread
// and spread.
func drawSizeError(rng *rand.Rand, spread float64) float64 {
	if spread <= 1 {
		return 1
	}
	return math.Exp((rng.Float64()*2 - 1) * math.Log(spread))
}
