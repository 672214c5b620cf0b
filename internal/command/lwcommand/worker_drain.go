package lwcommand

import (
	"context"
	"fmt"
	"net/url"

	"github.com/integrii/flaggy"
)

var workerDrainVerb = &verb{
	name:  "worker drain",
	short: "drain a worker for maintenance",
	usage: `usage: lavenderweir worker drain WORKER

No more tasks are placed on the worker, and its batch tasks are checkpointed and
moved. "worker undrain" ends this.

` + apiUsage,
	run: func(args []string, std streams) error { return runDrain(args, std, "drain") },
}

func runDrain(args []string, std streams, action string) error {
	var f apiFlags
	var worker string
	c, err := f.connect("worker "+action, args, func(p *flaggy.Parser) {
		p.AddPositionalValue(&worker, "worker", 1, true, "worker id")
	})
	if err != nil {
		return err
	}
	if err := c.Post(context.Background(), "/v1/workers/"+url.PathEscape(worker)+"/"+action, nil, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintf(std.out, "%s: %s\n", worker, action)
	return err
}
