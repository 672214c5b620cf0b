package lwcommand

import (
	"fmt"
	"strconv"

	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

var workerListVerb = &verb{
	name:  "worker list",
	short: "list workers and their free resources",
	usage: `usage: lavenderweir worker list

` + apiUsage,
	run: func(args []string, std streams) error {
		return runList(args, std, "worker list", "/v1/workers", workerTable)
	},
}

func workerTable(list []lwlink.WorkerStatus) table {
	t := table{{"WORKER", "DOMAIN", "RACK", "STATE", "TASKS", "FREE CORES", "FREE MEMORY", "FREE ACCELERATORS"}}
	for _, w := range list {
		t = append(t, []string{
			string(w.Spec.ID), string(w.Spec.Domain), string(w.Spec.Rack), workerState(w), strconv.Itoa(w.Tasks),
			fmt.Sprintf("%.1f of %.1f", float64(w.Free.Millicores)/1000, float64(w.Spec.Capacity.Millicores)/1000),
			fmt.Sprintf("%s of %s", w.Free.Memory, w.Spec.Capacity.Memory),
			fmt.Sprintf("%d of %d", w.Free.Accelerators, w.Spec.Capacity.Accelerators),
		})
	}
	return t
}

func workerState(w lwlink.WorkerStatus) string {
	switch {
	case w.Lost:
		return "lost"
	case w.Suspect != "":
		return "suspect: " + w.Suspect
	case w.Drain:
		return "draining"
	default:
		return "ok"
	}
}
