package lwcommand

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/bench/lwload"
)

var benchRequestsVerb = &verb{
	name:  "bench requests",
	short: "measure the request path on loopback",
	usage: `usage: lavenderweir bench requests [--case TEXT] [--seconds N] [--output FORM]

Starts 2 entries, 11 workers of 8 slots and a control replica on loopback, and
sends an open-loop load through the real request path. Latency is measured from
the time at which a request was due. Requests to another failure domain are
delayed as by 3 ms each way.

  --case TEXT     only cases whose name contains TEXT
  --seconds N     length of each case (default 10)
  --output FORM   table or json (default table)`,
	run: runBenchRequests,
}

func runBenchRequests(args []string, std streams) error {
	var only string
	seconds := 10
	output := outputTable
	p := newParser("bench requests")
	p.String(&only, "", "case", "only cases whose name contains this")
	p.Int(&seconds, "", "seconds", "length of each case")
	p.String(&output, "o", "output", "table or json")
	if err := parse(p, args); err != nil {
		return err
	}
	duration := time.Duration(seconds) * time.Second
	var reports []lwload.Report
	for _, c := range lwload.Cases() {
		if !strings.Contains(c.Name, only) {
			continue
		}
		r, err := lwload.RunCase(c, duration, zap.NewNop())
		if err != nil {
			return fmt.Errorf("%s: %w", c.Name, err)
		}
		reports = append(reports, r)
	}
	if output == outputJSON {
		return json.NewEncoder(std.out).Encode(reports)
	}
	if err := requestTable(reports).write(std); err != nil {
		return err
	}
	if only != "" && !strings.Contains("path cost", only) {
		return nil
	}
	through, direct, err := lwload.PathCost(duration, zap.NewNop())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(std.out, "\npath cost at 500 requests/s: through p50 %s p99 %s, direct p50 %s p99 %s, added p50 %s\n",
		through.Percentile(50), through.Percentile(99), direct.Percentile(50), direct.Percentile(99), through.Percentile(50)-direct.Percentile(50))
	return err
}

func requestTable(reports []lwload.Report) table {
	t := table{{"CASE", "ROUTING", "SENT", "COMPLETED", "NOT RUN", "UNKNOWN", "BROKEN", "GOODPUT/CAPACITY", "P50", "P99", "P99.9", "IDEAL P99", "PEAK"}}
	for _, r := range reports {
		ideal := "-"
		if r.IdealP99 > 0 {
			ideal = fmt.Sprintf("%s (%.2fx)", r.IdealP99.Round(time.Microsecond), float64(r.P99)/float64(r.IdealP99))
		}
		t = append(t, []string{
			r.Name, r.Policy, fmt.Sprint(r.Sent), fmt.Sprint(r.Completed), fmt.Sprint(r.NotRun), fmt.Sprint(r.Unknown), fmt.Sprint(r.Broken),
			fmt.Sprintf("%.3f", r.GoodputShare), r.P50.String(), r.P99.String(), r.P999.String(), ideal, fmt.Sprint(r.PeakInFlight),
		})
	}
	return t
}
