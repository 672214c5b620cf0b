package lwcommand

import (
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/command/lwdemo"
)

var demoVerb = &verb{
	name:  "demo",
	short: "run a small system of each deployment in this process",
	usage: `usage: lavenderweir demo [--verbose]

Starts control, agents, entries and stand-in workers on loopback, runs through
tickets, requests, orders and jobs of both deployments, and stops gracefully.
The exit code is 0 only if every step succeeds.

  --verbose       also log changes of state`,
	run: runDemo,
}

func runDemo(args []string, std streams) error {
	verbose := false
	p := newParser("demo")
	p.Bool(&verbose, "v", "verbose", "also log changes of state")
	if err := parse(p, args); err != nil {
		return err
	}
	log := zap.NewNop()
	if verbose {
		var err error
		if log, err = newLogger("debug", lwlog.NewSink(std.err)); err != nil {
			return err
		}
	}
	return lwdemo.Run(std.out, log)
}
