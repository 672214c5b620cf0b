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

` + remoteUsage,
	run: func(args []string, io streams) error {
		return runList(args, io, "job list", "/v1/jobs", jobTable)
	},
}

// runList runs a verb that shows one list of the API.
func runList[T any](args []string, io streams, name, path string, rows func([]T) table) error {
	var r remote
	c, err := r.connect(name, args, nil)
	if err != nil {
		return err
	}
	var list []T
	if err := c.Get(context.Background(), path, &list); err != nil {
		return err
	}
	return r.show(io, list, func() table { return rows(list) })
}
