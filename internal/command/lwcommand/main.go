// Package lwcommand implements the command line: it looks up the verb that the
// arguments name, runs it and turns its error into an exit code.
package lwcommand

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any other error
	ExitUsage       = 2 // the command line, settings or a document is invalid
	ExitConflict    = 3 // the request is in conflict, has expired or was fenced off
	ExitNotFound    = 4
	ExitUnavailable = 5 // unavailable, overloaded or without a leader; retry later
	ExitUnknown     = 6 // the request may or may not have taken effect; the error says whether to resend it
	ExitDenied      = 7 // the token is missing, unknown or lacks the permission
)

// usageError is an error in the command line, or in reading a file that it names.
type usageError struct{ detail string }

// Error returns the detail.
func (e *usageError) Error() string { return e.detail }

// streams are the output streams of a verb.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	std := streams{stdout, stderr}
	v, rest := findVerb(args)
	if v == nil {
		printUsage(std, args)
		if len(args) > 0 && isHelp(args[0]) {
			return ExitOK
		}
		return ExitUsage
	}
	if len(rest) > 0 && isHelp(rest[0]) {
		_, _ = fmt.Fprintf(stdout, "lavenderweir %s\n\n%s\n", v.name, v.usage)
		return ExitOK
	}
	err := v.run(rest, std)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "lavenderweir %s: %v\n", v.name, err)
	return exitCode(err)
}

func isHelp(arg string) bool { return arg == "help" || arg == "-h" || arg == "--help" }

func printUsage(std streams, args []string) {
	if len(args) > 0 && !isHelp(args[0]) {
		_, _ = fmt.Fprintf(std.err, "lavenderweir: no verb %q\n", strings.Join(args, " "))
	}
	_, _ = fmt.Fprintln(std.out, "usage: lavenderweir VERB [flags]; \"lavenderweir VERB --help\" describes a verb")
	for _, v := range verbs() {
		_, _ = fmt.Fprintf(std.out, "  %-16s %s\n", v.name, v.short)
	}
}

func exitCode(err error) int {
	if _, ok := errors.AsType[*usageError](err); ok {
		return ExitUsage
	}
	if _, ok := errors.AsType[*lwsetting.FileError](err); ok {
		return ExitUsage
	}
	f, ok := errors.AsType[*lwfault.Fault](err)
	if !ok {
		return ExitFailed
	}
	switch f.Kind {
	case lwfault.Invalid, lwfault.TooLarge:
		return ExitUsage
	case lwfault.Conflict, lwfault.Expired, lwfault.Fenced:
		return ExitConflict
	case lwfault.NotFound:
		return ExitNotFound
	case lwfault.Unavailable, lwfault.Overloaded, lwfault.NotLeader:
		return ExitUnavailable
	case lwfault.Unknown, lwfault.Timeout, lwfault.StillRunning:
		return ExitUnknown
	case lwfault.Unauthorized, lwfault.Forbidden:
		return ExitDenied
	default:
		return ExitFailed
	}
}
