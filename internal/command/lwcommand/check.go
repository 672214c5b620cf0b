package lwcommand

import (
	"fmt"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
)

var checkVerb = &verb{
	name:  "check",
	short: "check a settings file",
	usage: `usage: lavenderweir check --config FILE [--print-effective]

Checks a settings file without starting anything. An error names the file, the
line and what is expected; the exit code is then 2.

  --config FILE       settings file
  --print-effective   print the settings, defaults included`,
	run: runCheck,
}

func runCheck(args []string, std streams) error {
	var config string
	var effective bool
	p := newParser("check")
	p.String(&config, "c", "config", "settings file")
	p.Bool(&effective, "", "print-effective", "print the settings, defaults included")
	if err := parse(p, args); err != nil {
		return err
	}
	if config == "" {
		return &usageError{"--config is required"}
	}
	s, err := lwsetting.Read(config)
	if err != nil {
		return err
	}
	if !effective {
		_, _ = fmt.Fprintf(std.out, "%s: ok\n", config)
		return nil
	}
	data, err := s.Effective()
	if err != nil {
		return err
	}
	_, err = std.out.Write(data)
	return err
}
