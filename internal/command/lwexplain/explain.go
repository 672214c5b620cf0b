// Package lwexplain builds the timeline of one job or request from the log lines
// of any number of processes: where it waited, what was decided about it, by
// which process and for what reason.
package lwexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one log line of the timeline.
type Line struct {
	At      time.Time
	Process string
	Message string
	Details []Detail // sorted by name, without fields that are empty or 0
}

// Detail is one field of a log line.
type Detail struct{ Name, Value string }

// omittedFields are the fields that Details leaves out. Line has its own fields
// for them, except for the level, which it does not hold.
var omittedFields = []string{"level", "time", "msg", "node"}

// Read returns the lines about an id, oldest first. Text around the JSON of a
// line, which log collectors add, is ignored, and so are lines without JSON.
func Read(r io.Reader, id string) ([]Line, error) {
	var timeline []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scan.Scan() {
		if !bytes.Contains(scan.Bytes(), []byte(id)) {
			continue
		}
		if line, ok := parse(scan.Bytes(), id); ok {
			timeline = append(timeline, line)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline, nil
}

func parse(text []byte, id string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	dec.UseNumber()
	if dec.Decode(&fields) != nil || !mentions(fields, id) {
		return Line{}, false
	}
	line := Line{Process: field(fields, "node"), Message: field(fields, "msg")}
	for _, layout := range []string{"2006-01-02T15:04:05.000Z0700", time.RFC3339Nano} {
		if at, err := time.Parse(layout, field(fields, "time")); err == nil {
			line.At = at
			break
		}
	}
	for name := range fields {
		if value := field(fields, name); !slices.Contains(omittedFields, name) && value != "" && value != "0" {
			line.Details = append(line.Details, Detail{name, value})
		}
	}
	slices.SortFunc(line.Details, func(a, b Detail) int { return strings.Compare(a.Name, b.Name) })
	return line, true
}

// mentions reports whether a field names the id. The field may hold the id itself,
// a task of a queue job with that id, or a path that ends in the id.
func mentions(fields map[string]any, id string) bool {
	for name := range fields {
		value := field(fields, name)
		if value == id || strings.HasPrefix(value, id+".") || strings.HasSuffix(value, "/"+id) {
			return true
		}
	}
	return false
}

func field(fields map[string]any, name string) string {
	switch v := fields[name].(type) {
	case string:
		return v
	case nil:
		return ""
	default:
		return fmt.Sprint(v)
	}
}

// Summary counts the messages of the timeline, and the reasons for which tasks
// ended, were lost, were ordered to stop, were refused or had to wait. It returns a line of text
// for each message and each reason.
func Summary(timeline []Line) []string {
	count := make(map[string]int)
	reasons := make(map[string]int)
	for _, l := range timeline {
		count[l.Message]++
		for _, d := range l.Details {
			if d.Name == "reason" && (l.Message == "task_ended" || l.Message == "task_lost" || l.Message == "task_stop_ordered" || l.Message == "task_start_refused" || l.Message == "task_waits") {
				reasons[l.Message+": "+d.Value]++
			}
		}
	}
	var out []string
	for _, m := range []map[string]int{count, reasons} {
		var names []string
		for name := range m {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			out = append(out, fmt.Sprintf("%d x %s", m[name], name))
		}
	}
	return out
}
