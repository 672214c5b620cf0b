package lwunit_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

func ExampleBytes_String() {
	fmt.Println(250*lwunit.Bytes(1e9), 64*lwunit.MiB, lwunit.Bytes(1500), lwunit.Bytes(1501))
	// Output: 250GB 64MiB 1500B 1501B
}

// A log entry or an answer that holds a size must be readable again, also a negative
// one, such as the free memory of a worker that is overcommitted.
func TestBytesJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := lwunit.Bytes(rapid.Int64().Draw(t, "bytes"))
		data, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		var decoded lwunit.Bytes
		if err := json.Unmarshal(data, &decoded); err != nil || decoded != b {
			t.Fatalf("%d was encoded as %s and decoded as %d (%v)", b, data, decoded, err)
		}
	})
}

// A size beyond the range must be refused, not read as a negative one.
func TestBytesOutOfRangeAreRefused(t *testing.T) {
	for _, text := range []string{"10EB", "9.3EB", "8EiB", "-9.3EB", "-10EB", "--1B", "-", "-+1B", "16EiB", "1e30"} {
		t.Run(text, func(t *testing.T) {
			var b lwunit.Bytes
			if err := json.Unmarshal(fmt.Appendf(nil, "%q", text), &b); err == nil {
				t.Errorf("%s was decoded as %d; want an error", text, b)
			}
		})
	}
}

func TestResourcesFit(t *testing.T) {
	is := is.New(t)
	available := lwunit.Resources{Millicores: 10, Memory: 10, Accelerators: 1}
	is.True(available.Fits(available))
	for _, r := range []lwunit.Resources{{Millicores: 11}, {Memory: 11}, {Accelerators: 2}} {
		is.True(!r.Fits(available)) // one resource over the limit is enough
	}
}
