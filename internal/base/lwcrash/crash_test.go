package lwcrash_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwcrash"
)

const folderVariable = "LWCRASH_TEST_FOLDER"

type table struct{ records map[string]int }

//go:noinline
func (t *table) record(name string) { t.records[name]++ }

// TestMain lets the test run itself as a process that panics.
func TestMain(m *testing.M) {
	if folder := os.Getenv(folderVariable); folder != "" {
		if _, err := lwcrash.Keep(folder); err != nil {
			os.Exit(1)
		}
		(&table{}).record("a")
	}
	os.Exit(m.Run())
}

// Guards against a crash loop whose cause cannot be told once the output of the
// processes is lost.
func TestCrashIsReportedToNextProcess(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), folderVariable+"="+folder)
	is.True(cmd.Run() != nil) // it panics

	r, err := lwcrash.Keep(folder)
	is.NoErr(err)
	is.True(r != nil)
	is.Equal(r.Cause, "panic: assignment to entry in nil map")
	is.Equal(r.Stack[0], "lwcrash_test.(*table).record")

	r, err = lwcrash.Keep(folder)
	is.NoErr(err)
	is.Equal(r, nil) // the report is read once
}

func ExampleKeep() {
	folder, err := os.MkdirTemp("", "lwcrash")
	if err != nil {
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	before, err := lwcrash.Keep(folder)
	fmt.Println(before == nil, err) // no process of this folder has crashed
	// Output: true <nil>
}
