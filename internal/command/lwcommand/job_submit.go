package lwcommand

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/tailscale/hujson"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var jobSubmitVerb = &verb{
	name:  "job submit",
	short: "submit a job",
	usage: `usage: lavenderweir job submit --file FILE

Sends a job, JSON with comments. You choose its id; sending the same job again
returns the first answer. Exit code 3: another job was submitted with this id.

  --file FILE     the job; - for standard input
` + apiUsage,
	run: runJobSubmit,
}

func runJobSubmit(args []string, std streams) error {
	var f apiFlags
	var file string
	c, err := f.connect("job submit", args, func(p *flaggy.Parser) {
		p.String(&file, "f", "file", "the job")
	})
	if err != nil {
		return err
	}
	if file == "" {
		return &usageError{"--file is required"}
	}
	data, err := readDocument(file)
	if err != nil {
		return err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return &lwfault.Fault{Kind: lwfault.Invalid, Detail: file, Cause: err}
	}
	var j lwstate.Job
	if err := c.Post(context.Background(), "/v1/jobs", standard, &j); err != nil {
		return err
	}
	return f.show(std, j, func() table { return jobTable([]lwstate.Job{j}) })
}

func jobTable(list []lwstate.Job) table {
	t := table{{"JOB", "TEAM", "CLASS", "PHASE", "TASKS LEFT", "REASON"}}
	for _, j := range list {
		left := fmt.Sprintf("%d of %d", j.TasksLeft, j.Spec.Tasks)
		t = append(t, []string{string(j.Spec.ID), string(j.Spec.Team), string(j.Spec.Class), string(j.Phase), left, j.Reason})
	}
	return t
}

func taskTable(list []lwstate.Task) table {
	t := table{{"TASK", "PHASE", "WORKER", "ATTEMPTS", "FAILURES", "EVICTIONS", "LOSSES", "CHECKPOINT", "REASON"}}
	for _, task := range list {
		t = append(t, []string{
			string(task.ID), string(task.Phase), string(task.Worker), strconv.Itoa(task.Attempts), strconv.Itoa(task.Failures),
			strconv.Itoa(task.Evictions), strconv.Itoa(task.LostAttempts), task.Checkpoint, task.Reason,
		})
	}
	return t
}
