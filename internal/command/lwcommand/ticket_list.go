package lwcommand

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var ticketListVerb = &verb{
	name:  "ticket list",
	short: "list the newest tickets",
	usage: `usage: lavenderweir ticket list [--limit N]

  --limit N       at most N tickets (default 20)
` + apiUsage,
	run: runTicketList,
}

func runTicketList(args []string, std streams) error {
	var f apiFlags
	limit := 20
	c, err := f.connect("ticket list", args, func(p *flaggy.Parser) {
		p.Int(&limit, "n", "limit", "at most this many tickets")
	})
	if err != nil {
		return err
	}
	var list []lwstate.TicketRecord
	if err := c.Get(context.Background(), "/v1/tickets?limit="+strconv.Itoa(limit), &list); err != nil {
		return err
	}
	return f.show(std, list, func() table { return ticketTable(list) })
}
