package lwcommand

import (
	"context"
)

var jobListVerb = &verb{
	name:  "job list",
	short: "list jobs",
	usage: `usage: lavenderweir job list

Lists the team's jobs, or every job for an operator. A finished job stays
listed for the deployment's job_retention.

` + apiUsage,
	run: func(args []string, std streams) error {
		return runList(args, std, "job list", "/v1/jobs", jobTable)
	},
}

// runList runs a verb that reads a list at path and shows it.
func runList[T any](args []string, std streams, name, path string, rows func([]T) table) error {
	var f apiFlags
	c, err := f.connect(name, args, nil)
	if err != nil {
		return err
	}
	var list []T
	if err := c.Get(context.Background(), path, &list); err != nil {
		return err
	}
	return f.show(std, list, func() table { return rows(list) })
}
