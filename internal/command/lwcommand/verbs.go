package lwcommand

import "strings"

// verb is one subcommand of the program.
type verb struct {
	name  string // one or two words
	short string // one line for the list of verbs
	usage string // text that --help prints
	run   func(args []string, std streams) error
}

// verbs returns all verbs in the order in which the usage text lists them.
func verbs() []*verb {
	return []*verb{
		serveVerb,
		checkVerb,
		ticketApplyVerb,
		ticketStatusVerb,
		ticketListVerb,
		ticketDiffVerb,
		jobSubmitVerb,
		jobListVerb,
		jobShowVerb,
		jobCancelVerb,
		workerListVerb,
		workerDrainVerb,
		workerUndrainVerb,
		domainListVerb,
		domainEvacuateVerb,
		domainRestoreVerb,
		serviceListVerb,
		statusVerb,
		explainVerb,
		controlReplaceVerb,
		benchDecisionsVerb,
		benchRequestsVerb,
		benchCapacityVerb,
		demoVerb,
		standinVerb,
		versionVerb,
	}
}

// findVerb returns the verb that the first arguments name and the arguments
// after them, or nil if they name none.
func findVerb(args []string) (*verb, []string) {
	for _, v := range verbs() {
		words := strings.Fields(v.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == v.name {
			return v, args[len(words):]
		}
	}
	return nil, nil
}
