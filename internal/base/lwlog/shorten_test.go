package lwlog_test

import (
	"fmt"
	"strings"
	"testing"

	"lavenderweir.example/lavenderweir/internal/base/lwlog"
)

func ExampleShorten() {
	fmt.Println(lwlog.Shorten("/jobs/5c0e7a21d94b36f8"))
	// Output: /jobs/5c0e7a21d94b36f8
}

// Guards against log lines as long as the longest path of a request.
func TestLongValuesAreShortened(t *testing.T) {
	if got := lwlog.Shorten(strings.Repeat("x", 1<<16)); len(got) > 300 || !strings.HasSuffix(got, "...") {
		t.Errorf("%d bytes are left of 65536", len(got))
	}
}
