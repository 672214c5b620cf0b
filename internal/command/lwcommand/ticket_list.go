package lwcommand

import (
	"context"
	"strconv"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var ticketListVerb = &verb{
	name:  "ticket list",
	short: "list the newest tickets",
	usage: `usage: lavenderweir ticket list [--limit N]

  --limit N       at most N tickets (default 20)
` + remoteUsage,
	run: runTicketList,
}

func runTicketList(args []string, io streams) error {
	var r remote
	limit := 20
	p := newParser("ticket list")
	p.Int(&limit, "n", "limit", "at most this many")
	r.flags(p)
	if err := parse(p, args); err != nil {
		return err
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	var list []lwstate.TicketRecord
	if err := c.Get(context.Background(), "/v1/tickets?limit="+strconv.Itoa(limit), &list); err != nil {
		return err
	}
	return r.show(io, list, func() table { return ticketTable(list) })
}
