package lwcommand

import (
	"context"
	"fmt"
	"strconv"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

var statusVerb = &verb{
	name:  "status",
	short: "show the control replicas and all processes",
	usage: `usage: lavenderweir status

` + apiUsage,
	run: runStatus,
}

type systemStatus struct {
	Revision lwunit.Revision        `json:"revision"`
	Replicas []lwlink.ReplicaStatus `json:"replicas"`
	Nodes    []lwlink.NodeStatus    `json:"nodes"`
}

func runStatus(args []string, std streams) error {
	var f apiFlags
	c, err := f.connect("status", args, nil)
	if err != nil {
		return err
	}
	var st systemStatus
	if err := c.Get(context.Background(), "/v1/status", &st); err != nil {
		return err
	}
	return f.show(std, st, func() table { return statusTable(st) })
}

func statusTable(st systemStatus) table {
	t := table{{"REPLICA", "ADDRESS", "DOMAIN", "ROLE", "LOG", "LAST ANSWER"}}
	for _, m := range st.Replicas {
		t = append(t, []string{string(m.ID), m.Address, string(m.Domain), m.Role, fmt.Sprintf("%d of %d", m.MatchIndex, m.LastIndex), m.SinceAnswer.String()})
	}
	t = append(t, []string{}, []string{"PROCESS", "ROLE", "POLICY REVISION", "SEEN"})
	for _, n := range st.Nodes {
		t = append(t, []string{n.Node, string(n.Role), strconv.FormatUint(uint64(n.Applied), 10), n.Age.String() + " ago"})
	}
	return t
}
