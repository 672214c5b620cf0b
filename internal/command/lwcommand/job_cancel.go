package lwcommand

import (
	"context"
	"net/url"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var jobCancelVerb = &verb{
	name:  "job cancel",
	short: "cancel a job",
	usage: `usage: lavenderweir job cancel JOB

Stops the job's tasks. The job is final once each stop is confirmed; until then
its phase is cancelling and its resources stay reserved.

` + apiUsage,
	run: runJobCancel,
}

func runJobCancel(args []string, std streams) error {
	var f apiFlags
	var job string
	c, err := f.connect("job cancel", args, func(p *flaggy.Parser) {
		p.AddPositionalValue(&job, "job", 1, true, "job id")
	})
	if err != nil {
		return err
	}
	var j lwstate.Job
	if err := c.Delete(context.Background(), "/v1/jobs/"+url.PathEscape(job), &j); err != nil {
		return err
	}
	return f.show(std, j, func() table { return jobTable([]lwstate.Job{j}) })
}
