package lwstate_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// derived is what readers see of the values that a snapshot does not hold.
type derived struct {
	Deployment any
	Reserves   map[lwunit.WorkerID]lwunit.Resources
	Free       map[lwunit.WorkerID]lwunit.Resources
	OnWorker   map[lwunit.WorkerID][]lwstate.Task
	Backends   map[lwunit.WorkerID][]lwstate.BackendServer
	Workers    []lwstate.Worker
	Queued     []lwstate.Task
	WithQueued []lwstate.Job
	OfJob      map[lwunit.JobID][]lwstate.Task
	Holding    map[lwunit.JobID][]lwstate.Task
	Team       lwunit.Resources
	NeedsSweep bool
	Evacuated  lwevacuation.Table
	Revisions  [3]lwunit.Revision
	Clock      lwunit.Millis
}

func derivedFrom(s *lwstate.State) derived {
	d := derived{
		Deployment: s.Deployment(), Reserves: make(map[lwunit.WorkerID]lwunit.Resources), Free: make(map[lwunit.WorkerID]lwunit.Resources),
		OnWorker: make(map[lwunit.WorkerID][]lwstate.Task), Backends: make(map[lwunit.WorkerID][]lwstate.BackendServer),
		Workers: s.Workers(), Queued: s.QueuedTasks(), WithQueued: s.JobsWithQueuedTasks(),
		OfJob: make(map[lwunit.JobID][]lwstate.Task), Holding: make(map[lwunit.JobID][]lwstate.Task),
		Team: s.UsedByTeam("t"), NeedsSweep: s.NeedsSweep(), Evacuated: s.Evacuations().Clone(), Revisions: [3]lwunit.Revision{s.Revision(), s.PolicyRevision(), s.BackendRevision()}, Clock: s.Clock(),
	}
	s.EachWorker(func(w *lwstate.Worker) {
		id := w.Spec.ID
		d.Reserves[id], d.Free[id], d.OnWorker[id] = s.ServiceReserve(id), s.Free(id), s.TasksOnWorker(id)
		s.EachBackendOn(id, func(b lwstate.BackendServer) { d.Backends[id] = append(d.Backends[id], b) })
	})
	for _, j := range s.Jobs() {
		d.OfJob[j.Spec.ID], d.Holding[j.Spec.ID] = s.TasksOfJob(j.Spec.ID), s.TasksHoldingResources(j.Spec.ID)
	}
	return d
}

// A replica restored from a snapshot must list the tasks of a job in the same order as
// one that kept its memory.
func TestTaskOrderAfterRestore(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	is.NoErr(d.apply(ticket(1, "aiko", team)).Err)
	spec := lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Tasks: 12, Needs: lwunit.Resources{Millicores: 1, Memory: 1}}
	is.NoErr(d.apply(lwstate.SubmitJob{Spec: spec}).Err)
	is.NoErr(d.reload())
	for i, task := range d.replica.TasksOfJob("j") {
		is.Equal(task.ID, lwunit.TaskID(fmt.Sprintf("j/%d", i)))
	}
}

// serviceActions draws the commands that concern tickets, workers, backend servers and
// claims.
func serviceActions(d *driver) map[string]func(*rapid.T) {
	number := 1
	d.apply(ticket(number, "aiko", team))
	incarnation := func(t *rapid.T) lwunit.Incarnation {
		return lwunit.Incarnation(rapid.SampledFrom([]string{"i", "k"}).Draw(t, "incarnation"))
	}
	backend := func(t *rapid.T) lwunit.BackendServerID {
		return lwunit.BackendServerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "backend"))
	}
	key := func(t *rapid.T) lwstate.ClaimKey {
		return lwstate.ClaimKey{Team: "t", Service: "s", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")}
	}
	return map[string]func(*rapid.T){
		"ticket": func(t *rapid.T) {
			number += rapid.IntRange(0, 2).Draw(t, "step")
			object := rapid.SampledFrom([]string{
				`{"kind": "service", "name": "s", "spec": {"team": "t", "reserve": {"millicores": 7, "memory": "1MiB"}}}`,
				`{"kind": "service", "name": "s", "region": "r", "spec": {"team": "t", "reserve": {"millicores": 9, "memory": "1500B"}, "tail_target": "1.5ms", "retry_budget": 0.3}}`,
				`{"kind": "service", "name": "s", "region": "r", "absent": true}`,
				`{"kind": "team", "name": "u", "spec": {}}`,
				`{"kind": "deployment", "name": "d", "spec": {"job_retention": "30m", "tail_weight": 0.1}}`,
				`{"kind": "deployment", "name": "c", "spec": {}}`,
				`{"kind": "deployment", "name": "c", "absent": true}`,
			}).Draw(t, "object")
			d.apply(ticket(number, "aiko", object))
		},
		"register": func(t *rapid.T) {
			d.apply(lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{
				ID: worker(t), Region: lwunit.Region(rapid.SampledFrom([]string{"", "r"}).Draw(t, "region")),
				Capacity: lwunit.Resources{Millicores: lwunit.Millicores(rapid.IntRange(0, 9).Draw(t, "capacity")), Memory: lwunit.GiB},
			}, Incarnation: incarnation(t)})
		},
		"lose": func(t *rapid.T) {
			w, _ := d.s.Worker(worker(t))
			var lost []lwstate.LostAttempt
			for _, x := range d.s.TasksOnWorker(w.Spec.ID) {
				crash := lwstate.AttemptCrash{Worker: w.Spec.ID, Token: x.Token, Age: 1, Evidence: 2}
				lost = append(lost, lwstate.LostAttempt{Task: x.ID, Crash: crash, Blame: rapid.SampledFrom([]string{"", "to blame"}).Draw(t, "blame")})
			}
			d.apply(lwstate.LoseWorker{Worker: w.Spec.ID, Registered: w.Registered, Lost: lost})
		},
		"suspect": func(t *rapid.T) {
			d.apply(lwstate.SuspectWorker{Worker: worker(t), Reason: rapid.SampledFrom([]string{"", "slow"}).Draw(t, "reason")})
		},
		"announce": func(t *rapid.T) {
			d.apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{
				ID: backend(t), Service: "s", Worker: worker(t), Incarnation: incarnation(t), Leaving: rapid.Bool().Draw(t, "leaving"),
			}})
		},
		"withdraw": func(t *rapid.T) {
			d.apply(lwstate.WithdrawBackend{ID: backend(t), Incarnation: incarnation(t)})
		},
		"bind": func(t *rapid.T) {
			d.apply(lwstate.BindClaim{Key: key(t), Request: "q", Created: d.clock, Retention: lwunit.Duration(time.Hour), Backend: backend(t)})
		},
		"close": func(t *rapid.T) {
			k := key(t)
			claim, _ := d.s.Claim(k)
			phase := rapid.SampledFrom([]lwstate.ClaimPhase{lwstate.ClaimReleased, lwstate.ClaimDone, lwstate.ClaimUnknown}).Draw(t, "phase")
			answer := rapid.SampledFrom([]*lwstate.Answer{nil, {Status: 200, Body: []byte{0, 255}}, {Status: 204, Body: []byte{}, Whole: true}}).Draw(t, "answer")
			d.apply(lwstate.CloseClaim{Key: k, Token: claim.Token, Phase: phase, Answer: answer})
		},
		"evacuation": func(t *rapid.T) {
			domain := lwunit.FailureDomain(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"))
			c := setEvacuation(d, domain, rapid.Bool().Draw(t, "evacuate"))
			c.Order.Expected -= lwunit.Revision(rapid.IntRange(0, 1).Draw(t, "late")) // wraps for a domain without a record; stale all the same
			d.apply(c)
		},
		"submit": func(t *rapid.T) {
			d.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
				ID: "j", Team: "t", Program: "p", Tasks: rapid.SampledFrom([]int{1, 2, 12}).Draw(t, "tasks"),
				Needs: lwunit.Resources{Millicores: 1, Memory: 1}, MaxFailures: 1,
			}})
		},
		"reject": func(*rapid.T) {
			d.apply(lwstate.RejectJob{Job: "j", Reason: "r"})
		},
		"cancel": func(*rapid.T) {
			d.apply(lwstate.CancelJob{Job: "j"})
		},
		"place": func(t *rapid.T) {
			if list := d.s.QueuedTasks(); len(list) > 0 {
				d.apply(lwstate.PlaceTasks{Placements: []lwstate.Placement{{Task: list[0].ID, Worker: worker(t), Reserve: lwunit.Resources{Millicores: 1}}}})
			}
		},
		"report": func(t *rapid.T) {
			e := rapid.SampledFrom([]lwstate.TaskEvent{lwstate.EventRunning, lwstate.EventSucceeded, lwstate.EventFailed, lwstate.EventStopped}).Draw(t, "event")
			for _, task := range d.s.TasksOnWorker(worker(t)) {
				d.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: task.ID, Token: task.Token, Event: e, Reason: "r"}}})
			}
		},
		"time passes": func(t *rapid.T) {
			d.clock = d.clock.Add(time.Duration(rapid.SampledFrom([]int{1, 31, 59}).Draw(t, "minutes")) * time.Minute)
			d.apply(lwstate.Sweep{})
		},
		"reload": func(t *rapid.T) {
			if err := d.reload(); err != nil {
				t.Fatal(err)
			}
		},
		"": func(t *rapid.T) { expectEqualReplica(t, d) },
	}
}

// A replica restored from a snapshot at any moment must apply every later command of
// tickets, workers, backend servers, claims and teams' jobs like one that kept its memory.
func TestServiceCommandsAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(serviceActions(newDriver())) })
}

// expectEqualDerived checks that two states give the same answers to readers.
func expectEqualDerived(t failer, a, b *lwstate.State) {
	t.Helper()
	x, y := reflect.ValueOf(derivedFrom(a)), reflect.ValueOf(derivedFrom(b))
	for i := range x.NumField() {
		if v, w := x.Field(i).Interface(), y.Field(i).Interface(); !reflect.DeepEqual(v, w) {
			t.Fatal(fmt.Sprintf("%s is %v on a replica restored from a snapshot; want %v", x.Type().Field(i).Name, w, v))
		}
	}
}
