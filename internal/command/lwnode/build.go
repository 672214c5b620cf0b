package lwnode

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
)

// goNoteHeaderBytes is the size of the header and the name of the ELF note that holds
// the build id of a Go program.
const goNoteHeaderBytes = 16

// buildID identifies the program that runs: the revision of its sources if the build
// recorded it, or else Go's build id, which "go tool buildid FILE" prints. It is empty
// if neither can be read.
func buildID() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	note := f.Section(".note.go.buildid")
	if note == nil {
		return ""
	}
	data, err := note.Data()
	if err != nil || len(data) < goNoteHeaderBytes {
		return ""
	}
	return string(bytes.TrimRight(data[goNoteHeaderBytes:], "\x00"))
}
