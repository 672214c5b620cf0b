package lwsetting

import (
	"strings"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

func TestLoadControl(t *testing.T) {
	d := func(x time.Duration) lwunit.Duration { return lwunit.Duration(x) }
	cases := []struct {
		name   string
		mode   LoadMode
		bounds HostedBounds
		want   bool
	}{
		{"no bounds", "", HostedBounds{}, false},
		{"interruptions lose 1.1 s", LoadAuto, HostedBounds{CheckpointInterval: d(2 * time.Second), RestoreTime: d(100 * time.Millisecond)}, false},
		{"interruptions lose 0.35 s", LoadAuto, HostedBounds{CheckpointInterval: d(500 * time.Millisecond), RestoreTime: d(100 * time.Millisecond)}, true},
		{"failure domains may be evacuated", "", HostedBounds{Evacuation: d(5 * time.Second)}, true},
		{"switched off", LoadOff, HostedBounds{Evacuation: d(5 * time.Second)}, false},
		{"switched on", LoadOn, HostedBounds{}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			h := Hosted{Load: x.mode, Bounds: x.bounds}
			if got := h.LoadControl(); got != x.want {
				t.Errorf("load control is %t, want %t", got, x.want)
			}
		})
	}
}

func TestInvalidHostedSettings(t *testing.T) {
	const valid = `{
  "name": "n", "failure_domain": "a", "cluster_key": "0123456789abcdef",
  "hosted": {
    "role": "control", "ip": "10.0.0.1", "rpc_port": 7400, "seeds": ["10.0.0.1:7401"], "control_address": "10.0.0.1:7401",
    "load": "auto",
    "bounds": {"hold_max": "6s", "evacuate": "5s", "checkpoint": "2s", "restore": "100ms"}
  }
}`
	if _, err := Parse("node.jsonc", []byte(valid)); err != nil {
		t.Fatal(err)
	}
	cases := map[string][3]string{ // what is replaced, by what, and the error
		"load mode":  {`"auto"`, `"sometimes"`, "node.jsonc:5: hosted.load must be auto, on or off"},
		"evacuate":   {`"5s"`, `"-5s"`, "hosted.bounds.evacuate must not be negative"},
		"checkpoint": {`"2s"`, `"-2s"`, "hosted.bounds.checkpoint must not be negative"},
		"restore":    {`"100ms"`, `"-1ms"`, "hosted.bounds.restore must not be negative"},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("node.jsonc", []byte(strings.Replace(valid, x[0], x[1], 1)))
			if err == nil || !strings.Contains(err.Error(), x[2]) {
				t.Errorf("error is %v, want %q", err, x[2])
			}
		})
	}
}

// Guards against a process on a provider's machine whose callers may take as much memory as off it.
func TestCallerLimit(t *testing.T) {
	for name, x := range map[string]struct {
		settings Settings
		want     lwunit.Bytes
	}{
		"stated":                   {Settings{CallerMemory: lwunit.GiB, Hosted: &Hosted{}}, lwunit.GiB},
		"on a provider's machines": {Settings{MemoryLimit: 152 * lwunit.MiB, Hosted: &Hosted{}}, 152 * lwunit.MiB / 6},
		"otherwise":                {Settings{MemoryLimit: 48 * lwunit.MiB}, 512 * lwunit.MiB},
	} {
		if got := x.settings.CallerLimit(); got != x.want {
			t.Errorf("%s: %d bytes, want %d", name, got, x.want)
		}
	}
}
