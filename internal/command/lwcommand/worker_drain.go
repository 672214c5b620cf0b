package lwcommand

import (
	"context"
	"fmt"
	"net/url"

	"github.com/integrii/flaggy"
)

var workerDrainVerb = &verb{
	name:  "worker drain",
	short: "take a worker out for planned work",
	usage: `usage: lavenderweir worker drain WORKER

No task is placed there any more, and its batch tasks are checkpointed and
moved. "worker undrain" lets it back.

` + remoteUsage,
	run: func(args []string, io streams) error { return runDrain(args, io, "drain") },
}

func runDrain(args []string, io streams, action string) error {
	var r remote
	var worker string
	c, err := r.connect("worker "+action, args, func(p *flaggy.Parser) {
		p.AddPositionalValue(&worker, "worker", 1, true, "worker id")
	})
	if err != nil {
		return err
	}
	if err := c.Post(context.Background(), "/v1/workers/"+url.PathEscape(worker)+"/"+action, nil, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintf(io.out, "%s: %s\n", worker, action)
	return err
}
