// Package lwcapacity measures the cost of control as nodes are added: once for
// agents that call a control replica over loopback, and once for the replicated
// state and the placement core alone, at sizes up to the planned one.
package lwcapacity

import (
	"context"
	"expvar"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
)

// settleTime is how long a measurement waits after a start until the load is steady.
const settleTime = 6 * time.Second

// Sample is the cost of a number of agents while no requests of callers arrive.
type Sample struct {
	Agents          int     `json:"agents"`
	Busy            bool    `json:"busy"`          // each agent ran tasks
	BytesPerSecond  float64 `json:"bytes_out"`     // RPC bytes that all roles sent
	FramesPerSecond float64 `json:"frames"`        // RPC frames that all roles sent
	Cores           float64 `json:"cpu"`           // cores used by everything in this process
	ResidentBytes   int64   `json:"resident"`      // resident memory of this process
	HeapBytes       int64   `json:"heap"`          // heap of this process, including garbage not collected yet
	CommitP99       int64   `json:"commit_p99_us"` // of commands, in microseconds; not measured, always 0
	ReadySeconds    float64 `json:"ready_seconds"` // from the start until all agents were registered
}

// Line is a least-squares fit of a quantity to the number of agents.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"` // root mean square of the residuals
}

// Fit returns the least-squares line through the points.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	l := Line{}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Intercept = (sy - l.Slope*sx) / n
	for i := range xs {
		e := ys[i] - l.Intercept - l.Slope*xs[i]
		l.Residual += e * e
	}
	l.Residual = math.Sqrt(l.Residual / n)
	return l
}

// Measure starts the agents, waits until the load is steady and measures for the
// given window.
func Measure(agents int, busy bool, window time.Duration, log *zap.Logger) (Sample, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-capacity-")
	if err != nil {
		return Sample{}, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	began := time.Now()
	s, err := lwrig.Start(lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b", "c"}, Service: "svc", Workers: agents, Replicas: 1, Entries: 1, Folder: folder,
		Capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB},
	}, log)
	if err != nil {
		return Sample{}, err
	}
	defer s.Stop()
	out := Sample{Agents: agents, Busy: busy}
	if err := s.AwaitWorkers(agents); err != nil {
		return out, err
	}
	out.ReadySeconds = time.Since(began).Seconds()
	if busy {
		if err := submitLongJob(s, agents); err != nil {
			return out, err
		}
	}
	time.Sleep(settleTime)
	runtime.GC()
	before := readCounters()
	time.Sleep(window)
	after := readCounters()
	out.BytesPerSecond = (after.bytes - before.bytes) / window.Seconds()
	out.FramesPerSecond = (after.frames - before.frames) / window.Seconds()
	out.Cores = (after.cpu - before.cpu).Seconds() / window.Seconds()
	out.ResidentBytes = residentBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	out.HeapBytes = int64(m.HeapAlloc)
	return out, nil
}

const (
	tasksPerWorker = 16 // as in the plan: 13,000 batch tasks on 810 workers
	longProgram    = "render:1h:2500:6GiB"
)

// submitLongJob submits a job of tasksPerWorker tasks for each worker and waits
// until all of them run.
func submitLongJob(s *lwrig.System, agents int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	op := s.Operator()
	ticket := []byte(`{"number": 1, "author": "bench", "objects": [{"kind": "team", "name": "t", "spec": {"quota": {"millicores": 100000000, "memory": "100TiB"}}}]}`)
	if err := op.Post(ctx, "/v1/tickets", ticket, nil); err != nil {
		return err
	}
	job := fmt.Appendf(nil, `{"id": "load", "team": "t", "program": %q, "tasks": %d, "needs": {"millicores": 3000, "memory": "8GiB"}}`, longProgram, agents*tasksPerWorker)
	if err := op.Post(ctx, "/v1/jobs", job, nil); err != nil {
		return err
	}
	return s.AwaitRunning(ctx, "load", agents*tasksPerWorker)
}

// counters are readings of this process's counters at one moment.
type counters struct {
	bytes, frames float64       // sent by RPC
	cpu           time.Duration // user and system time
}

func readCounters() counters {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	cpu := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return counters{counterValue("rpc_bytes_out_total"), counterValue("rpc_frames_out_total"), cpu}
}

func counterValue(name string) float64 {
	v, ok := expvar.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return float64(v.Value())
}

// residentBytes returns this process's resident memory, or 0 if it cannot be read.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
