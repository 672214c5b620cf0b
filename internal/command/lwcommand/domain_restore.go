package lwcommand

var domainRestoreVerb = &verb{
	name:  "domain restore",
	short: "use an evacuated failure domain again",
	usage: `usage: lavenderweir domain restore NAME

` + apiUsage,
	run: func(args []string, std streams) error { return runSetEvacuation(args, std, "restore") },
}
