package lwcommand

import (
	"strconv"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

var serviceListVerb = &verb{
	name:  "service list",
	short: "list services",
	usage: `usage: lavenderweir service list

` + apiUsage,
	run: func(args []string, std streams) error {
		return runList(args, std, "service list", "/v1/services", serviceTable)
	},
}

func serviceTable(list []lwstate.ObjectRecord) table {
	t := table{{"SERVICE", "REGION", "TEAM", "SLOTS", "CONNECTIONS", "QUEUE", "TAIL TARGET", "UNREPEATABLE", "TICKET"}}
	for _, o := range list {
		s, ok := o.Object.Spec.(lwticket.ServiceSpec)
		if !ok {
			continue
		}
		t = append(t, []string{
			o.Object.Key.Name, string(o.Object.Key.Region), string(s.Team), strconv.Itoa(s.Slots), strconv.Itoa(s.Connections),
			strconv.Itoa(s.Queue), s.TailTarget.String(), strconv.FormatBool(s.Unrepeatable), strconv.FormatUint(uint64(o.Ticket), 10),
		})
	}
	return t
}
