package lwcommand

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/bench/lwcapacity"
)

var benchCapacityVerb = &verb{
	name:  "bench capacity",
	short: "measure the cost of control as nodes are added",
	usage: `usage: lavenderweir bench capacity [flags]

Starts 10, 50, 100, 200 and 400 agents with stand-in workers in this process,
idle and with 16 tasks each, and prints bytes, processor time and memory with
their slopes. Also measures the state and placement cores at 100 to 810 workers,
commits on 1, 3 and 5 replicas, lease renewals, and a week of finished jobs.

  --smallest N    fewest agents to start (default 10)
  --largest N     most agents to start (default 400)
  --seconds N     length of each measurement (default 20)
  --part TEXT     agents, cores, commits, syncs, history or all (default all)
  --plot FILE     write the slopes as an SVG plot
  --output FORM   table or json (default table)`,
	run: runBenchCapacity,
}

// capacityReport holds the measurements. The parts that --part does not select stay
// empty.
type capacityReport struct {
	Agents   []lwcapacity.Sample       `json:"agents,omitempty"`
	Cores    []lwcapacity.CoreSample   `json:"cores,omitempty"`
	Commits  []lwcapacity.CommitSample `json:"commits,omitempty"`
	Renewals *lwcapacity.RenewalSample `json:"syncs,omitempty"`
	History  *lwcapacity.HistorySample `json:"history,omitempty"`
}

func runBenchCapacity(args []string, std streams) error {
	smallest, largest, seconds := 10, 400, 20
	part, output, plot := "all", outputTable, ""
	p := newParser("bench capacity")
	p.Int(&smallest, "", "smallest", "fewest agents to start")
	p.Int(&largest, "", "largest", "most agents to start")
	p.Int(&seconds, "", "seconds", "length of each measurement")
	p.String(&part, "", "part", "agents, cores, commits, syncs, history or all")
	p.String(&plot, "", "plot", "SVG file")
	p.String(&output, "o", "output", "table or json")
	if err := parse(p, args); err != nil {
		return err
	}
	rep, err := measureCapacity(part, smallest, largest, time.Duration(seconds)*time.Second)
	if err != nil {
		return err
	}
	if plot != "" && len(rep.Agents) > 0 {
		if err := lwcapacity.Plot(rep.Agents, plot); err != nil {
			return err
		}
	}
	if output == outputJSON {
		return json.NewEncoder(std.out).Encode(rep)
	}
	return writeCapacity(rep, std)
}

func measureCapacity(part string, smallest, largest int, window time.Duration) (capacityReport, error) {
	var rep capacityReport
	wants := func(name string) bool { return part == "all" || part == name }
	if wants("cores") {
		for _, n := range []int{100, 200, 400, lwcapacity.PlannedWorkers} {
			s, err := lwcapacity.MeasureCore(n)
			if err != nil {
				return rep, err
			}
			rep.Cores = append(rep.Cores, s)
		}
	}
	if wants("commits") {
		for _, replicas := range []int{1, 3, 5} {
			for _, callers := range []int{1, 64, 512} {
				s, err := lwcapacity.MeasureCommits(replicas, callers, min(window, 5*time.Second), zap.NewNop())
				if err != nil {
					return rep, err
				}
				rep.Commits = append(rep.Commits, s)
			}
		}
	}
	if wants("history") {
		s, err := lwcapacity.MeasureHistory()
		if err != nil {
			return rep, err
		}
		rep.History = &s
	}
	if wants("syncs") {
		s, err := lwcapacity.MeasureRenewals(min(window, 5*time.Second), zap.NewNop())
		if err != nil {
			return rep, err
		}
		rep.Renewals = &s
	}
	if !wants("agents") {
		return rep, nil
	}
	for _, busy := range []bool{false, true} {
		for _, n := range []int{10, 50, 100, 200, 400} {
			if n < smallest || n > largest {
				continue
			}
			s, err := lwcapacity.Measure(n, busy, window, zap.NewNop())
			if err != nil {
				return rep, fmt.Errorf("%d agents: %w", n, err)
			}
			rep.Agents = append(rep.Agents, s)
		}
	}
	return rep, nil
}

func writeCapacity(rep capacityReport, std streams) error {
	t := table{}
	if len(rep.Agents) > 0 {
		t = append(t, []string{"AGENTS", "BUSY", "RPC BYTES/S", "FRAMES/S", "CORES", "RESIDENT MIB", "HEAP MIB", "READY S"})
		for _, s := range rep.Agents {
			t = append(t, []string{
				fmt.Sprint(s.Agents), fmt.Sprint(s.Busy), fmt.Sprintf("%.0f", s.BytesPerSecond), fmt.Sprintf("%.1f", s.FramesPerSecond), fmt.Sprintf("%.4f", s.Cores),
				fmt.Sprintf("%.1f", float64(s.ResidentBytes)/(1<<20)), fmt.Sprintf("%.1f", float64(s.HeapBytes)/(1<<20)), fmt.Sprintf("%.1f", s.ReadySeconds),
			})
		}
		t = append(t, []string{}, []string{"SLOPE A NODE", "BUSY", "VALUE", "INTERCEPT", "RMS RESIDUAL"})
		for _, l := range lwcapacity.Slopes(rep.Agents) {
			t = append(t, []string{l.Name, fmt.Sprint(l.Busy), fmt.Sprintf("%.6g", l.Line.Slope), fmt.Sprintf("%.6g", l.Line.Intercept), fmt.Sprintf("%.3g", l.Line.Residual)})
		}
		t = append(t, []string{})
	}
	if len(rep.Cores) > 0 {
		t = append(t, []string{"WORKERS", "TASKS", "DECIDE", "IDLE", "STARTS/S OF A CORE", "SHARE AT 390/S", "STATE MIB", "SNAPSHOT MIB", "ENCODE", "RESTORE", "APPLY"})
		for _, s := range rep.Cores {
			t = append(t, []string{
				fmt.Sprint(s.Workers), fmt.Sprint(s.Tasks), s.DecideMean.String(), s.IdleMean.String(), fmt.Sprintf("%.0f", s.StartsPerSecond), fmt.Sprintf("%.4f", s.CoreShare),
				fmt.Sprintf("%.1f", float64(s.StateBytes)/(1<<20)), fmt.Sprintf("%.1f", float64(s.SnapshotBytes)/(1<<20)), s.EncodeTime.String(), s.RestoreTime.String(), s.ApplyMean.String(),
			})
		}
		t = append(t, []string{})
	}
	if len(rep.Commits) > 0 {
		t = append(t, []string{"REPLICAS", "CALLERS", "COMMITS/S", "MEAN", "RAW SYNCS/S", "SYNCS/S", "CPU A COMMAND", "RPC BYTES A COMMAND"})
		for _, s := range rep.Commits {
			t = append(t, []string{
				fmt.Sprint(s.Replicas), fmt.Sprint(s.Callers), fmt.Sprintf("%.0f", s.CommitsPerSecond), s.MeanLatency.Round(time.Microsecond).String(), fmt.Sprintf("%.0f", s.RawSyncsPerSecond),
				fmt.Sprintf("%.0f", s.SyncsPerSecond), s.CPUPerCommand.Round(time.Microsecond).String(), fmt.Sprintf("%.0f", s.BytesPerCommand),
			})
		}
	}
	if rep.Renewals != nil {
		t = append(t, []string{}, []string{"LEASE RENEWALS/S", "CPU EACH, BOTH SIDES"})
		t = append(t, []string{fmt.Sprintf("%.0f", rep.Renewals.RenewalsPerSecond), rep.Renewals.CPUPerRenewal.Round(time.Microsecond).String()})
	}
	if h := rep.History; h != nil {
		t = append(t, []string{}, []string{"JOBS KEPT", "STATE MIB", "SNAPSHOT MIB", "ENCODE", "RESTORE"})
		t = append(t, []string{fmt.Sprint(h.Jobs), fmt.Sprintf("%.1f", float64(h.StateBytes)/(1<<20)), fmt.Sprintf("%.1f", float64(h.SnapshotBytes)/(1<<20)), h.EncodeTime.String(), h.RestoreTime.String()})
	}
	return t.write(std)
}
