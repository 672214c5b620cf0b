package lwlog

const maxValueBytes = 256

// Shorten returns at most the first 256 bytes of a value that a caller has chosen, for a log line or
// an error.
func Shorten(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "..."
}
