package lwstate_test

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// commandTypes holds a value of each type of command.
var commandTypes = []lwstate.Command{
	lwstate.ApplyTicket{},
	lwstate.SubmitJob{},
	lwstate.CancelJob{},
	lwstate.RejectJob{},
	lwstate.RegisterWorker{},
	lwstate.DrainWorker{},
	lwstate.SuspectWorker{},
	lwstate.LoseWorker{},
	lwstate.PlaceTasks{},
	lwstate.ResizeTasks{},
	lwstate.StopTasks{},
	lwstate.ReportTasks{},
	lwstate.AnnounceBackend{},
	lwstate.WithdrawBackend{},
	lwstate.BindClaim{},
	lwstate.CloseClaim{},
	lwstate.Sweep{},
	lwstate.Configure{},
	lwstate.AcceptQueueJob{},
	lwstate.CancelQueueJob{},
	lwstate.RecordRuns{},
	lwstate.ChangeRoster{},
	lwstate.StartWave{},
	lwstate.BeginMaintenance{},
	lwstate.RemoveQueueJobs{},
	lwstate.RecordInterference{},
	lwstate.SetEvacuation{},
}

// The values are few, so that commands often name what others have made, and include
// those that no leader proposes.
var (
	arbitraryTexts = []string{"", "a", "a", "b", "a/0", "a/1", "a.0.0.0", "a.0.0.1", "a.0.1.0", "a.1.0.0", "b.0.0.0", "a.-1.0.0", "done", "failed", "crashed", "evict", "cancel", "stopped", "succeeded", "running", "released", "\xff\x00"}
	arbitraryInts  = []int64{0, 0, 1, 1, 2, 3, 7, -1, 20000, math.MaxInt64, math.MinInt64}
	arbitraryReals = []float64{0, 1, -1, 0.5, 1e300, math.SmallestNonzeroFloat64}
	arbitraryJSON  = []string{
		`null`, `{}`, `{"number": 1, "author": "a", "objects": []}`,
		`{"number": 2, "author": "a", "objects": [{"kind": "team", "name": "a", "spec": {}}]}`,
		`{"number": 3, "author": "a", "objects": [{"kind": "service", "name": "a", "region": "a", "spec": {"team": "a", "reserve": {"millicores": 7, "memory": "1MiB"}}}]}`,
		`{"number": 4, "author": "a", "objects": [{"kind": "deployment", "name": "a", "spec": {"job_retention": "1ms"}}]}`,
		`{"number": 5, "author": "b", "objects": [{"kind": "team", "name": "a", "absent": true}]}`,
	}
)

// maxArbitraryCount bounds the tasks of a step or job, of which the state makes one
// record each.
const maxArbitraryCount = 3

// fill sets v and what it contains to arbitrary values.
func fill(t *rapid.T, v reflect.Value, name string) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes([]byte(rapid.SampledFrom(arbitraryJSON).Draw(t, name)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, name))
	case reflect.String:
		v.SetString(rapid.SampledFrom(arbitraryTexts).Draw(t, name))
	case reflect.Int, reflect.Int64:
		n := rapid.SampledFrom(arbitraryInts).Draw(t, name)
		if name == "Count" || name == "Tasks" || name == "Repeats" {
			n = min(n, maxArbitraryCount)
		}
		v.SetInt(n)
	case reflect.Uint64:
		v.SetUint(uint64(rapid.SampledFrom(arbitraryInts).Draw(t, name)))
	case reflect.Float64:
		v.SetFloat(rapid.SampledFrom(arbitraryReals).Draw(t, name))
	case reflect.Pointer:
		if rapid.Bool().Draw(t, name+" is set") {
			v.Set(reflect.New(v.Type().Elem()))
			fill(t, v.Elem(), name)
		}
	case reflect.Slice:
		n := rapid.IntRange(0, 2).Draw(t, name+" length")
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			fill(t, v.Index(i), name)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range rapid.IntRange(0, 2).Draw(t, name+" length") {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(t, key, name)
			fill(t, value, name)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i), v.Type().Field(i).Name)
			}
		}
	case reflect.Uint8:
		v.SetUint(uint64(rapid.Byte().Draw(t, name)))
	default:
		panic(fmt.Sprintf("%s has kind %s, of which fill makes no values", name, v.Kind()))
	}
}

// Every entry that a leader can encode, whatever it holds, must be decoded and applied by
// a replica that was restored from a snapshot at any moment, with the same result as by
// one that kept its memory: one entry that ends a replica ends all of them, again after
// each restart.
func TestArbitraryCommandsAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				c := reflect.New(reflect.TypeOf(rapid.SampledFrom(commandTypes).Draw(t, "command"))).Elem()
				fill(t, c, "command")
				d.applyDecoded(t, c.Interface().(lwstate.Command))
			},
			"time passes": func(*rapid.T) { d.clock += 3_600_001 },
			"reload": func(t *rapid.T) {
				if err := d.reload(); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) { expectEqualReplica(t, d) },
		})
	})
}

// applyDecoded applies a command to both states as it is after encoding, if it can be
// encoded.
func (d *driver) applyDecoded(t *rapid.T, c lwstate.Command) {
	data, err := lwstate.EncodeCommand(c, d.clock)
	if err != nil {
		return
	}
	for _, s := range []*lwstate.State{d.s, d.replica} {
		decoded, at, err := lwstate.DecodeCommand(data)
		if err != nil {
			t.Fatalf("an entry that can be encoded is not decoded: %v: %s", err, data)
		}
		s.Apply(d.rev+1, at, decoded)
	}
	d.rev++
}
