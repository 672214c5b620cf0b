package lwunit

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Millicores is processor capacity in thousandths of a core.
type Millicores int64

// Accelerators counts whole accelerators.
type Accelerators int64

// Bytes is a size in bytes. In JSON it is a string with a unit, such as "250GB"
// or "64MiB".
type Bytes int64

// Binary units of size.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// FormatError reports a quantity that cannot be parsed.
type FormatError struct {
	Raw    string // JSON text of the value
	Detail string // expected format
	Cause  error
}

// Error returns the expected format and the value.
func (e *FormatError) Error() string { return e.Detail + ", not " + e.Raw }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// MarshalJSON encodes the size as its String form.
func (b Bytes) MarshalJSON() ([]byte, error) {
	return json.Marshal(b.String())
}

// String returns the size in the largest unit that divides it without
// remainder.
func (b Bytes) String() string {
	units := []struct {
		size Bytes
		name string
	}{{GiB, "GiB"}, {1e9, "GB"}, {MiB, "MiB"}, {1e6, "MB"}, {KiB, "KiB"}, {1e3, "kB"}}
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return fmt.Sprintf("%d%s", b/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// UnmarshalJSON reads a string with a unit, as String writes it. A number without one
// counts bytes.
func (b *Bytes) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &FormatError{string(data), "size must be a string with a unit, such as \"64MiB\"", err}
	}
	size, negative := strings.CutPrefix(text, "-")
	n, err := humanize.ParseBytes(size)
	if err != nil {
		return &FormatError{string(data), "size must carry a unit, such as \"64MiB\"", err}
	}
	if n > math.MaxInt64 && (!negative || n > 1<<63) {
		return &FormatError{string(data), "size must be less than 8EiB", nil}
	}
	*b = Bytes(n)
	if negative {
		*b = -*b
	}
	return nil
}

// Duration is a span of time. In JSON it is a string with a unit, such as
// "1.5s".
type Duration time.Duration

// Std converts d to the type of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as its String form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &FormatError{string(data), "duration must be a string with a unit, such as \"1.5s\"", err}
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return &FormatError{string(data), "duration must carry a unit, such as \"1.5s\"", err}
	}
	*d = Duration(v)
	return nil
}

// Millis is a time in milliseconds since the Unix epoch, on the replicated clock
// unless its use names another; a few uses hold an interval in milliseconds.
// Times of different clocks are not compared; the one exception is the issue time
// in an idempotency key, which has an allowance.
type Millis int64

// Add returns the time d after m.
func (m Millis) Add(d time.Duration) Millis { return m + Millis(d.Milliseconds()) }

// Resources is an amount of each resource that a worker has or a task needs.
type Resources struct {
	Millicores   Millicores   `json:"millicores"`
	Memory       Bytes        `json:"memory"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o, resource by resource.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most available in every resource.
func (r Resources) Fits(available Resources) bool {
	return r.Millicores <= available.Millicores && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

// Max returns the larger amount of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Millicores, o.Millicores), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Negative reports whether any amount is below zero.
func (r Resources) Negative() bool {
	return r.Millicores < 0 || r.Memory < 0 || r.Accelerators < 0
}
