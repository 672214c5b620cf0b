package lwcommand

import (
	"context"
	"net/url"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
)

var domainEvacuateVerb = &verb{
	name:  "domain evacuate",
	short: "start nothing more in a failure domain",
	usage: `usage: lavenderweir domain evacuate NAME

No more tasks are placed in the failure domain, and no more requests are sent to
backend servers there. What runs there finishes. "domain restore" ends this.

` + apiUsage,
	run: func(args []string, std streams) error { return runSetEvacuation(args, std, "evacuate") },
}

func runSetEvacuation(args []string, std streams, action string) error {
	var f apiFlags
	var domain string
	c, err := f.connect("domain "+action, args, func(p *flaggy.Parser) {
		p.AddPositionalValue(&domain, "name", 1, true, "failure domain")
	})
	if err != nil {
		return err
	}
	var rec lwevacuation.Record
	if err := c.Post(context.Background(), "/v1/domains/"+url.PathEscape(domain)+"/"+action, nil, &rec); err != nil {
		return err
	}
	return f.show(std, rec, func() table {
		return table{{"DOMAIN", "STATE", "CHANGED", "BY"}, {domain, domainState(rec), changeTime(rec.At), rec.By}}
	})
}
