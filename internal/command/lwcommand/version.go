package lwcommand

import (
	"fmt"
	"runtime"
)

var versionVerb = &verb{
	name:  "version",
	short: "print the version",
	usage: "usage: lavenderweir version",
	run: func(args []string, std streams) error {
		if err := parse(newParser("version"), args); err != nil {
			return err
		}
		_, err := fmt.Fprintf(std.out, "lavenderweir %s %s\n", Version, runtime.Version())
		return err
	},
}
