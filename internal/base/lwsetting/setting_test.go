package lwsetting_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
)

func ExampleParse() {
	_, err := lwsetting.Parse("node.jsonc", []byte(`{
  "name": "entry-1", "failure_domain": "yatsushiro", // comments are allowed
  "cluster_key_file": "key", "control_addresses": ["10.0.0.1:7400"],
  "entry": {"address": "10.0.0.2:7480", "drain_notice": 5}
}`))
	fmt.Println(err)
	// Output: node.jsonc:4: duration must be a string with a unit, such as "1.5s", not 5
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*.jsonc")
	is.New(t).NoErr(err)
	checked := 0
	for _, f := range files {
		if base := filepath.Base(f); base != "entry.jsonc" && base != "agent.jsonc" {
			continue
		}
		checked++
		t.Run(f, func(t *testing.T) {
			_, err := lwsetting.Read(f)
			is.New(t).NoErr(err)
		})
	}
	is.New(t).Equal(checked, 4)
}

// TestInvalidSettings makes one mistake at a time in valid settings and checks
// the error.
func TestInvalidSettings(t *testing.T) {
	const valid = `{
  "name": "n", "failure_domain": "d", "cluster_key_file": "k",
  "control_addresses": ["10.0.0.1:7400"], "rpc_address": "10.0.0.1:7400",
  "control": {"folder": "data"}
}`
	cases := []struct{ name, from, to, want string }{
		{"unknown key", `"name": "n"`, `"name": "n", "nmae": "n"`, `node.jsonc:2: json: unknown field "nmae"`},
		{"duplicate key", `"name": "n"`, `"name": "n", "name": "m"`, `node.jsonc:2: "name" appears twice`},
		{"no name", `"name": "n", `, ``, `node.jsonc: name is required`},
		{"address without port", `"rpc_address": "10.0.0.1:7400"`, `"rpc_address": "10.0.0.1"`, `node.jsonc:3: rpc_address must be an IP address and a port`},
		{"host name as address", `["10.0.0.1:7400"]`, `["host:7400"]`, `node.jsonc:3: control_addresses[0] must be an IP address and a port`},
		{"duplicate address", `["10.0.0.1:7400"]`, `["10.0.0.1:7400", "10.0.0.1:7400"]`, `have the same address`},
		{"no role", `"control": {"folder": "data"}`, `"log_level": "info"`, `node.jsonc: at least one of entry, agent and control is required`},
		{"no folder", `{"folder": "data"}`, `{}`, `control.folder is required`},
		{"unknown log level", `"control":`, `"log_level": "loud", "control":`, `node.jsonc:4: log_level must be debug, info, warn or error`},
		{"size without unit", `"control":`, `"memory_limit": 5, "control":`, `size must be a string with a unit`},
		{"not JSON", `"name": "n"`, `"name" "n"`, `node.jsonc: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.from, c.to, 1)
			is.True(text != valid)
			_, err := lwsetting.Parse("node.jsonc", []byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "n", /* c */ "control_addresses": [],}`))
	f.Add([]byte(`{"a": {"b": [1, {"c": "d"}]}, "a": 2}`))
	f.Add([]byte("\xff\xfe{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := lwsetting.Parse("f", data)
		if err == nil && s.Name == "" {
			t.Fatal("accepted settings without a name")
		}
	})
}
