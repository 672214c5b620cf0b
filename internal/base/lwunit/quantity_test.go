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

func TestBytesJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := lwunit.Bytes(rapid.Int64Range(0, 1<<50).Draw(t, "bytes"))
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

func TestResourcesFit(t *testing.T) {
	is := is.New(t)
	available := lwunit.Resources{Millicores: 10, Memory: 10, Accelerators: 1}
	is.True(available.Fits(available))
	for _, r := range []lwunit.Resources{{Millicores: 11}, {Memory: 11}, {Accelerators: 2}} {
		is.True(!r.Fits(available)) // one resource over the limit is enough
	}
}
