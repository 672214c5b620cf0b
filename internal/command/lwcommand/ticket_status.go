package lwcommand

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var ticketStatusVerb = &verb{
	name:  "ticket status",
	short: "show which processes have applied a ticket",
	usage: `usage: lavenderweir ticket status NUMBER

Shows the ticket, how many processes have applied it and which have not yet.

` + apiUsage,
	run: runTicketStatus,
}

type ticketStatus struct {
	Ticket  lwstate.TicketRecord `json:"ticket"`
	InForce int                  `json:"in_force"`
	Nodes   int                  `json:"nodes"`
	Lagging []lwlink.NodeStatus  `json:"lagging,omitempty"`
}

func runTicketStatus(args []string, std streams) error {
	var f apiFlags
	var number string
	c, err := f.connect("ticket status", args, func(p *flaggy.Parser) {
		p.AddPositionalValue(&number, "number", 1, true, "ticket number")
	})
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(number, 10, 64); err != nil {
		return &usageError{"NUMBER must be a whole number, 0 or more"}
	}
	var st ticketStatus
	if err := c.Get(context.Background(), "/v1/tickets/"+number, &st); err != nil {
		return err
	}
	return f.show(std, st, func() table {
		t := ticketTable([]lwstate.TicketRecord{st.Ticket})
		t = append(t, []string{}, []string{"IN FORCE", fmt.Sprintf("%d of %d processes", st.InForce, st.Nodes)})
		for _, n := range st.Lagging {
			t = append(t, []string{"LAGS", n.Node, string(n.Role), fmt.Sprintf("at %d", n.Applied), "seen " + n.Age.String() + " ago"})
		}
		return t
	})
}
