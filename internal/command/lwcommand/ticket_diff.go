package lwcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

var ticketDiffVerb = &verb{
	name:  "ticket diff",
	short: "show what a ticket would change",
	usage: `usage: lavenderweir ticket diff --file FILE

Compares each object of a ticket, defaults included, with the object in force.
Changes nothing.

  --file FILE     the ticket; - for standard input
` + apiUsage,
	run: runTicketDiff,
}

// objectDiff is one object as it is in force and as the ticket would set it.
type objectDiff struct {
	Object string          `json:"object"`
	Change string          `json:"change"` // none, create, change, remove, or late if a newer ticket has set the object
	Now    json.RawMessage `json:"now,omitempty"`
	Then   json.RawMessage `json:"then,omitempty"`
}

func runTicketDiff(args []string, std streams) error {
	var f apiFlags
	var file string
	c, err := f.connect("ticket diff", args, func(p *flaggy.Parser) {
		p.String(&file, "f", "file", "the ticket")
	})
	if err != nil {
		return err
	}
	data, err := readTicket(file)
	if err != nil {
		return err
	}
	t, err := lwticket.Decode(data)
	if err != nil {
		return err
	}
	inForce := make(map[lwticket.Key]lwstate.ObjectRecord)
	for _, path := range []string{"/v1/services", "/v1/teams", "/v1/deployments"} {
		var list []lwstate.ObjectRecord
		if err := c.Get(context.Background(), path, &list); err != nil {
			return err
		}
		for _, o := range list {
			inForce[o.Object.Key] = o
		}
	}
	diffs, err := diffObjects(t, inForce)
	if err != nil {
		return err
	}
	return f.show(std, diffs, func() table { return diffTable(diffs) })
}

func diffObjects(t lwticket.Ticket, inForce map[lwticket.Key]lwstate.ObjectRecord) ([]objectDiff, error) {
	var diffs []objectDiff
	for _, o := range t.Objects {
		old, ok := inForce[o.Key]
		d := objectDiff{Object: o.Key.String()}
		var err error
		if ok {
			if d.Now, err = json.Marshal(old.Object.Spec); err != nil {
				return nil, fmt.Errorf("encode %s: %w", o.Key, err)
			}
		}
		if o.Spec != nil {
			if d.Then, err = json.Marshal(withoutTokens(o.Spec)); err != nil {
				return nil, fmt.Errorf("encode %s: %w", o.Key, err)
			}
		}
		d.Change = changeOf(ok, old.Ticket > t.Number, d)
		diffs = append(diffs, d)
	}
	return diffs, nil
}

// withoutTokens removes token digests. The API does not list them, so they would
// always differ; a change of tokens alone is not shown.
func withoutTokens(s lwticket.Spec) lwticket.Spec {
	if team, ok := s.(lwticket.TeamSpec); ok {
		team.Tokens = nil
		return team
	}
	return s
}

// changeOf returns the Change of d; newer reports whether a newer ticket has set
// the object.
func changeOf(exists, newer bool, d objectDiff) string {
	switch {
	case newer:
		return "late"
	case !exists && d.Then == nil:
		return "none"
	case !exists:
		return "create"
	case d.Then == nil:
		return "remove"
	case bytes.Equal(d.Now, d.Then):
		return "none"
	default:
		return "change"
	}
}

func diffTable(diffs []objectDiff) table {
	t := table{{"OBJECT", "CHANGE", "NOW", "THEN"}}
	for _, d := range diffs {
		t = append(t, []string{d.Object, d.Change, string(d.Now), string(d.Then)})
	}
	return t
}
