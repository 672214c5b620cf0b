package lwcommand

var workerUndrainVerb = &verb{
	name:  "worker undrain",
	short: "allow placement on a drained worker again",
	usage: `usage: lavenderweir worker undrain WORKER

` + apiUsage,
	run: func(args []string, std streams) error { return runDrain(args, std, "undrain") },
}
