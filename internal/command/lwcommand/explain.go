package lwcommand

import (
	"fmt"
	"io"
	"os"
	"strings"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/command/lwexplain"
)

var explainVerb = &verb{
	name:  "explain",
	short: "show the timeline of one job from the logs of any processes",
	usage: `usage: lavenderweir explain ID [--file FILE]

Reads log lines and prints those about one job, its tasks and requests for it,
oldest first, followed by a summary. A line may have other text around its JSON.

  --file FILE     log lines of any number of processes (default: standard input)`,
	run: runExplain,
}

func runExplain(args []string, std streams) error {
	id, file := "", "-"
	p := newParser("explain")
	p.AddPositionalValue(&id, "id", 1, true, "id of the job")
	p.String(&file, "f", "file", "log lines")
	if err := parse(p, args); err != nil {
		return err
	}
	var in io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return &usageError{err.Error()}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	timeline, err := lwexplain.Read(in, id)
	if err != nil {
		return err
	}
	if len(timeline) == 0 {
		return lwfault.New(lwfault.NotFound, "no log line mentions %q", id)
	}
	return printTimeline(std, timeline)
}

func printTimeline(std streams, timeline []lwexplain.Line) error {
	rows := table{{"AFTER", "PROCESS", "WHAT", "DETAILS"}}
	for _, l := range timeline {
		var details []string
		for _, d := range l.Details {
			details = append(details, d.Name+"="+d.Value)
		}
		rows = append(rows, []string{l.At.Sub(timeline[0].At).String(), l.Process, l.Message, strings.Join(details, " ")})
	}
	if err := rows.write(std); err != nil {
		return err
	}
	_, err := fmt.Fprintln(std.out, "\n"+strings.Join(lwexplain.Summary(timeline), "\n"))
	return err
}
