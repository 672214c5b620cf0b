// Package lwcrash keeps the report that the Go runtime prints when a process
// panics, so that the next process of the same data folder can say how the one before
// it ended, also if nobody kept its output.
package lwcrash

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
)

const (
	fileName       = "crash.txt"
	fileMode       = 0o640
	folderMode     = 0o750
	maxReportBytes = 64 << 10
	maxFrames      = 6
)

// Report says how a process ended.
type Report struct {
	Cause string   // first line that the runtime printed, such as "panic: index out of range"
	Stack []string // innermost functions of the goroutine that panicked, without the runtime's, at most 6
}

// Keep makes the runtime write the report of a crash to the data folder as well as to
// standard error. It returns the report of the process before this one, or nil if that
// one did not crash, and removes it. It creates the folder if it is missing. An error
// is one of the file system; reports are then not kept.
func Keep(folder string) (*Report, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(folder, fileName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("read crash report: %w", err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open crash report: %w", err)
	}
	defer func() { _ = f.Close() }() // the runtime keeps a descriptor of its own
	if err := debug.SetCrashOutput(f, debug.CrashOptions{}); err != nil {
		return nil, fmt.Errorf("set crash output: %w", err)
	}
	return parse(data[:min(len(data), maxReportBytes)]), nil
}

// parse reads what the runtime printed. It returns nil if that is nothing.
func parse(data []byte) *Report {
	lines := bufio.NewScanner(bytes.NewReader(data))
	var r Report
	inStack := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "" && inStack:
			return &r
		case r.Cause == "":
			r.Cause = line
		case strings.HasPrefix(line, "goroutine "):
			inStack = true
		case inStack && len(r.Stack) < maxFrames && isFunction(line):
			r.Stack = append(r.Stack, functionName(line))
		}
	}
	if r.Cause == "" {
		return nil
	}
	return &r
}

// isFunction reports whether a line of a stack names a function, other than one of the
// runtime. The lines between name files.
func isFunction(line string) bool {
	return line != "" && line[0] != '\t' && !strings.HasPrefix(line, "panic(") && !strings.HasPrefix(line, "runtime.") && !strings.HasPrefix(line, "created by ")
}

// functionName returns the function of a line without its arguments and the path of
// its package.
func functionName(line string) string {
	if i := strings.LastIndex(line, "("); i > 0 {
		line = line[:i]
	}
	return line[strings.LastIndex(line, "/")+1:]
}
