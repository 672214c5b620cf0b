package lwcommand

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"

	"github.com/tailscale/hujson"
)

var ticketApplyVerb = &verb{
	name:  "ticket apply",
	short: "apply a change ticket",
	usage: `usage: lavenderweir ticket apply --file FILE

Sends a change ticket, JSON with comments. Sending the same ticket again returns
the first answer, so repeat the command if the answer was lost. Exit code 3:
another ticket has this number, or a newer ticket has set one of its objects.

  --file FILE     the ticket; - for standard input
` + apiUsage,
	run: runTicketApply,
}

func runTicketApply(args []string, std streams) error {
	var f apiFlags
	var file string
	c, err := f.connect("ticket apply", args, func(p *flaggy.Parser) {
		p.String(&file, "f", "file", "the ticket")
	})
	if err != nil {
		return err
	}
	data, err := readTicket(file)
	if err != nil {
		return err
	}
	var rec lwstate.TicketRecord
	if err := c.Post(context.Background(), "/v1/tickets", data, &rec); err != nil {
		return err
	}
	return f.show(std, rec, func() table { return ticketTable([]lwstate.TicketRecord{rec}) })
}

// readTicket reads a ticket and strips its comments. It also checks the ticket,
// so that the error names the file.
func readTicket(file string) ([]byte, error) {
	if file == "" {
		return nil, &usageError{"--file is required"}
	}
	data, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: file, Cause: err}
	}
	if _, err := lwticket.Decode(standard); err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: file, Cause: err}
	}
	return standard, nil
}

func ticketTable(list []lwstate.TicketRecord) table {
	t := table{{"NUMBER", "AUTHOR", "OBJECTS", "REVISION", "DIGEST", "COMMENT"}}
	for _, rec := range list {
		t = append(t, []string{
			strconv.FormatUint(uint64(rec.Number), 10), rec.Author, strconv.Itoa(len(rec.Objects)),
			strconv.FormatUint(uint64(rec.Revision), 10), string(rec.Digest[:min(12, len(rec.Digest))]), rec.Comment,
		})
	}
	return t
}
