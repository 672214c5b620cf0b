package lwcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"

	"lavenderweir.example/lavenderweir/internal/bench/lwscenario"
)

var benchDecisionsVerb = &verb{
	name:  "bench decisions",
	short: "compare placement with baselines in simulated scenarios",
	usage: `usage: lavenderweir bench decisions [--scenario TEXT] [--variant TEXT] [--output FORM]

Runs the placement core and each baseline through the same scenarios, on twelve
simulated workers with fixed seeds, for both deployments.

  --scenario TEXT   only scenarios whose name contains TEXT
  --variant TEXT    only variants whose name contains TEXT
  --output FORM     table or json (default table)`,
	run: runBenchDecisions,
}

const benchSeed = 42

func runBenchDecisions(args []string, std streams) error {
	var scenario, variant string
	output := outputTable
	p := newParser("bench decisions")
	p.String(&scenario, "", "scenario", "only scenarios whose name contains this")
	p.String(&variant, "", "variant", "only variants whose name contains this")
	p.String(&output, "o", "output", "table or json")
	if err := parse(p, args); err != nil {
		return err
	}
	results, err := runCases(decisionCases(scenario, variant))
	if err != nil {
		return err
	}
	if output == outputJSON {
		return json.NewEncoder(std.out).Encode(results)
	}
	return decisionTable(results).write(std)
}

type decisionCase struct {
	deployment string
	scenario   lwscenario.Scenario
	variant    lwscenario.Variant
}

func decisionCases(scenario, variant string) []decisionCase {
	var cases []decisionCase
	for _, d := range []string{"kirishima", "papeles"} {
		for _, sc := range lwscenario.Scenarios() {
			for _, v := range lwscenario.Variants() {
				if strings.Contains(sc.Name, scenario) && strings.Contains(v.Name, variant) {
					cases = append(cases, decisionCase{d, sc, v})
				}
			}
		}
	}
	return cases
}

// runCases runs as many cases at a time as there are processors. Each case is
// deterministic, whatever runs beside it.
func runCases(cases []decisionCase) ([]lwscenario.Result, error) {
	results := make([]lwscenario.Result, len(cases))
	errs := make([]error, len(cases))
	slots := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i, c := range cases {
		slots <- struct{}{}
		wg.Go(func() {
			results[i], errs[i] = lwscenario.Run(c.scenario, c.deployment, c.variant, benchSeed)
			<-slots
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func decisionTable(results []lwscenario.Result) table {
	t := table{{"DEPLOYMENT", "SCENARIO", "VARIANT", "LATE %", "THROUGHPUT", "EVICTIONS", "LOST WORK", "URGENT P99", "WORST", "OUT OF MEMORY", "OVERCOMMIT", "DOUBLED", "FINISHED"}}
	for _, r := range results {
		t = append(t, []string{
			r.Deployment, r.Scenario, r.Variant, fmt.Sprintf("%.3f", r.LatePercent), fmt.Sprintf("%.3f", r.Throughput), fmt.Sprint(r.Evictions),
			fmt.Sprintf("%.4f", r.LostWork), r.UrgentP99.String(), r.UrgentWorst.String(), fmt.Sprint(r.OutOfMemory),
			fmt.Sprint(r.Overcommit), fmt.Sprint(r.Doubled), fmt.Sprint(r.Finished),
		})
	}
	return t
}
