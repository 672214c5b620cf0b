package lwnode

import "runtime/debug"

// revision is that of the sources, set by the linker where the build knows it.
var revision string

// buildRevision returns the revision of the sources of this program, or "" if the build
// recorded none.
func buildRevision() string {
	if revision != "" {
		return revision
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}
