package lwcommand

import (
	"context"
	"net/url"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var jobShowVerb = &verb{
	name:  "job show",
	short: "show a job and its tasks",
	usage: `usage: lavenderweir job show JOB

` + apiUsage,
	run: runJobShow,
}

type jobDetail struct {
	Job   lwstate.Job    `json:"job"`
	Tasks []lwstate.Task `json:"tasks"`
}

func runJobShow(args []string, std streams) error {
	var f apiFlags
	var job string
	c, err := f.connect("job show", args, func(p *flaggy.Parser) {
		p.AddPositionalValue(&job, "job", 1, true, "job id")
	})
	if err != nil {
		return err
	}
	var d jobDetail
	if err := c.Get(context.Background(), "/v1/jobs/"+url.PathEscape(job), &d); err != nil {
		return err
	}
	return f.show(std, d, func() table {
		t := append(jobTable([]lwstate.Job{d.Job}), []string{})
		return append(t, taskTable(d.Tasks)...)
	})
}
