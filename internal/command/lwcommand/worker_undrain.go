package lwcommand

var workerUndrainVerb = &verb{
	name:  "worker undrain",
	short: "let a drained worker back",
	usage: `usage: lavenderweir worker undrain WORKER

` + remoteUsage,
	run: func(args []string, io streams) error { return runDrain(args, io, "undrain") },
}
