package lwcommand

import (
	"strconv"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

var domainListVerb = &verb{
	name:  "domain list",
	short: "list failure domains and what runs there",
	usage: `usage: lavenderweir domain list

Lists the failure domains of the registered workers, with the last evacuation or
restoring of each. An evacuated domain with 0 tasks has finished its batch work.

` + apiUsage,
	run: func(args []string, std streams) error {
		return runList(args, std, "domain list", "/v1/domains", domainTable)
	},
}

func domainTable(list []lwlink.DomainStatus) table {
	t := table{{"DOMAIN", "STATE", "CHANGED", "BY", "WORKERS", "TASKS", "BACKEND SERVERS"}}
	for _, d := range list {
		t = append(t, []string{
			string(d.Name), domainState(d.Record), changeTime(d.At), d.By, strconv.Itoa(d.Workers), strconv.Itoa(d.Tasks), strconv.Itoa(d.Backends),
		})
	}
	return t
}

func domainState(r lwevacuation.Record) string {
	if r.Evacuated {
		return "evacuated"
	}
	return "in use"
}

// changeTime returns a time of the replicated clock in UTC, or "never" for 0.
func changeTime(at lwunit.Millis) string {
	if at == 0 {
		return "never"
	}
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
