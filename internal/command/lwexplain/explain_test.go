package lwexplain_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lavenderweir.example/lavenderweir/internal/command/lwexplain"
)

const logs = `  1.5 front-1 {"level":"info","time":"2026-10-27T01:23:39.500Z","msg":"task_ended","node":"c1","task":"5c0e7a21d94b36f8.0.0.1","run":1,"reason":"failed"}
{"level":"info","time":"2026-10-27T01:23:38.000Z","msg":"job_admission","node":"c1","job":"5c0e7a21d94b36f8","outcome":"accepted"}
{"level":"info","time":"2026-10-27T01:23:38.100Z","msg":"job_admission","node":"c1","job":"other","outcome":"accepted"}
{"level":"info","time":"2026-10-27T01:23:37.900Z","msg":"request","node":"e1","path":"/q/5c0e7a21d94b36f8","outcome":"not_leader"}
not a log line with 5c0e7a21d94b36f8
{"cut 5c0e7a21d94b36f8
`

func ExampleRead() {
	timeline, err := lwexplain.Read(strings.NewReader(logs), "5c0e7a21d94b36f8")
	if err != nil {
		fmt.Println(err)
	}
	for _, l := range timeline {
		fmt.Println(l.At.Format("05.000"), l.Process, l.Message, l.Details)
	}
	fmt.Println(lwexplain.Summary(timeline))
	// Output:
	// 37.900 e1 request [{outcome not_leader} {path /q/5c0e7a21d94b36f8}]
	// 38.000 c1 job_admission [{job 5c0e7a21d94b36f8} {outcome accepted}]
	// 39.500 c1 task_ended [{reason failed} {run 1} {task 5c0e7a21d94b36f8.0.0.1}]
	// [1 x job_admission 1 x request 1 x task_ended 1 x task_ended: failed]
}

func TestNothingIsFoundForAnotherID(t *testing.T) {
	timeline, err := lwexplain.Read(strings.NewReader(logs), "5c0e7a21d94b36")
	if err != nil || len(timeline) != 0 {
		t.Errorf("Read returned %v, error %v; want no lines", timeline, err)
	}
}

// An operator must find that a task waited because its domain was evacuated.
func TestSummaryNamesTheCauseOfAWait(t *testing.T) {
	const log = `{"time":"2026-10-27T01:23:38.000Z","msg":"task_waits","node":"c1","job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.0","worker":"w1","reason":"domain a is evacuated"}`
	timeline, err := lwexplain.Read(strings.NewReader(log), "5c0e7a21d94b36f8")
	if err != nil {
		t.Fatal(err)
	}
	if got := lwexplain.Summary(timeline); !slices.Contains(got, "1 x task_waits: domain a is evacuated") {
		t.Errorf("the summary is %q", got)
	}
}
