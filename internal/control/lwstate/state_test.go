package lwstate_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// driver applies commands at rising revisions, each also to a replica that is
// restored from a snapshot now and then.
type driver struct {
	s, twin *lwstate.State
	rev     lwunit.Revision
	clock   lwunit.Millis
}

func newDriver() *driver {
	return &driver{s: lwstate.New(), twin: lwstate.New(), clock: 1_000_000_000_000}
}

func (d *driver) apply(c lwstate.Command) lwstate.Result {
	d.rev++
	res := d.s.Apply(d.rev, d.clock, c)
	data, err := lwstate.EncodeCommand(c, d.clock)
	if err != nil {
		panic(err)
	}
	decoded, at, err := lwstate.DecodeCommand(data)
	if err != nil {
		panic(err)
	}
	d.twin.Apply(d.rev, at, decoded)
	return res
}

func (d *driver) reload() error {
	clone := d.twin.Clone()
	d.apply(lwstate.Sweep{}) // what follows must not show in the clone
	data, err := clone.Snapshot()
	if err != nil {
		return err
	}
	d.twin, err = lwstate.Restore(data)
	if err == nil {
		d.twin.Apply(d.rev, d.clock, lwstate.Sweep{})
	}
	return err
}

func ticket(n int, author, objects string) lwstate.ApplyTicket {
	t, err := lwticket.Decode(fmt.Appendf(nil, `{"number": %d, "author": %q, "objects": [%s]}`, n, author, objects))
	if err != nil {
		panic(err)
	}
	data, err := t.Canonical()
	if err != nil {
		panic(err)
	}
	return lwstate.ApplyTicket{Ticket: data}
}

func service(name string, slots int) string {
	return fmt.Sprintf(`{"kind": "service", "name": %q, "spec": {"team": "t", "slots": %d}}`, name, slots)
}

const team = `{"kind": "team", "name": "t", "spec": {"quota": {"millicores": 1000, "memory": "1GiB"}}}`

func wantKind(is *is.I, err error, k lwfault.Kind) {
	is.Helper()
	is.True(err != nil)
	is.Equal(lwfault.KindOf(err), k)
}

func TestTicket(t *testing.T) {
	t.Run("the same ticket again gets the first answer, also hundreds of tickets and a snapshot later", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		first := d.apply(ticket(1, "aiko", service("s", 8)))
		is.NoErr(first.Err)
		for n := 2; n < 700; n++ {
			is.NoErr(d.apply(ticket(n, "aiko", service(fmt.Sprintf("s%d", n), 8))).Err)
		}
		is.NoErr(d.reload())
		d.s = d.twin
		again := d.s.Apply(d.rev+1, d.clock, ticket(1, "aiko", service("s", 8)))
		is.NoErr(again.Err)
		is.Equal(again.Ticket, first.Ticket)
	})
	t.Run("another ticket with the number is a conflict that names digest and author", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		first := d.apply(ticket(1, "aiko", service("s", 8)))
		res := d.apply(ticket(1, "benat", service("s", 4)))
		wantKind(is, res.Err, lwfault.Conflict)
		is.True(strings.Contains(res.Err.Error(), "aiko"))
		is.True(strings.Contains(res.Err.Error(), string(first.Ticket.Digest)))
		spec, _ := d.s.Service("", "s")
		is.Equal(spec.Slots, 8)
	})
	t.Run("a late ticket reverts nothing, not even its other objects", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		is.NoErr(d.apply(ticket(5, "aiko", service("s", 8))).Err)
		res := d.apply(ticket(4, "aiko", service("s", 1)+","+service("other", 1)))
		wantKind(is, res.Err, lwfault.Conflict)
		spec, _ := d.s.Service("", "s")
		is.Equal(spec.Slots, 8)
		_, ok := d.s.Service("", "other")
		is.True(!ok)
	})
	t.Run("a late ticket does not bring back what a newer one removed", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		is.NoErr(d.apply(ticket(1, "aiko", service("s", 8))).Err)
		is.NoErr(d.apply(ticket(3, "aiko", `{"kind": "service", "name": "s", "absent": true}`)).Err)
		wantKind(is, d.apply(ticket(2, "aiko", service("s", 8))).Err, lwfault.Conflict)
		_, ok := d.s.Service("", "s")
		is.True(!ok)
	})
	t.Run("a lower number is accepted for objects that no newer one touched", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		is.NoErr(d.apply(ticket(5, "aiko", service("s", 8))).Err)
		is.NoErr(d.apply(ticket(4, "aiko", service("other", 1))).Err)
	})
	t.Run("a field left out has its default", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		is.NoErr(d.apply(ticket(1, "aiko", `{"kind": "service", "name": "s", "spec": {"team": "t", "slots": 2, "queue": 99}}`)).Err)
		is.NoErr(d.apply(ticket(2, "aiko", `{"kind": "service", "name": "s", "spec": {"team": "t"}}`)).Err)
		spec, _ := d.s.Service("", "s")
		is.Equal(spec.Slots, 8)
		is.Equal(spec.Queue, 16)
	})
}

func claimDriver(is *is.I) *driver {
	d := newDriver()
	is.NoErr(d.apply(ticket(1, "aiko", team+","+service("s", 8))).Err)
	d.apply(lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w"}, Incarnation: "i1"})
	is.NoErr(d.apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: "b", Service: "s", Worker: "w", Incarnation: "i1"}}).Err)
	return d
}

func (d *driver) bind() lwstate.BindClaim {
	return lwstate.BindClaim{
		Key: lwstate.ClaimKey{Team: "t", Service: "s", Key: "k"}, Request: "r", Created: d.clock,
		Retention: lwunit.Duration(time.Hour), Backend: "b",
	}
}

func TestClaim(t *testing.T) {
	t.Run("is bound once, whoever asks again", func(t *testing.T) {
		is := is.New(t)
		d := claimDriver(is)
		first := d.apply(d.bind())
		again := d.apply(d.bind())
		is.True(first.Fresh)
		is.True(!again.Fresh)
		is.Equal(again.Claim.Token, first.Claim.Token)
	})
	t.Run("is bound anew with a higher token only after a release", func(t *testing.T) {
		is := is.New(t)
		d := claimDriver(is)
		first := d.apply(d.bind())
		is.NoErr(d.apply(lwstate.CloseClaim{Key: first.Claim.Key, Token: first.Claim.Token, Phase: lwstate.ClaimReleased}).Err)
		second := d.apply(d.bind())
		is.True(second.Fresh)
		is.True(second.Claim.Token > first.Claim.Token)
		late := d.apply(lwstate.CloseClaim{Key: first.Claim.Key, Token: first.Claim.Token, Phase: lwstate.ClaimDone})
		wantKind(is, late.Err, lwfault.Fenced)
	})
	t.Run("closed as unknown never runs again, but its late answer counts", func(t *testing.T) {
		is := is.New(t)
		d := claimDriver(is)
		c := d.apply(d.bind()).Claim
		d.apply(lwstate.CloseClaim{Key: c.Key, Token: c.Token, Phase: lwstate.ClaimUnknown})
		d.apply(lwstate.CloseClaim{Key: c.Key, Token: c.Token, Phase: lwstate.ClaimReleased})
		is.Equal(d.apply(d.bind()).Claim.Phase, lwstate.ClaimUnknown)
		d.apply(lwstate.CloseClaim{Key: c.Key, Token: c.Token, Phase: lwstate.ClaimDone, Answer: &lwstate.Answer{Status: 200}})
		is.Equal(d.apply(d.bind()).Claim.Phase, lwstate.ClaimDone)
	})
	t.Run("is refused, not run, after its retention", func(t *testing.T) {
		is := is.New(t)
		d := claimDriver(is)
		bind := d.bind()
		is.NoErr(d.apply(bind).Err)
		for range 3 { // the clock moves at most an hour a step
			d.clock = d.clock.Add(59 * time.Minute)
			d.apply(lwstate.Sweep{})
		}
		_, kept := d.s.Claim(bind.Key)
		is.True(!kept)
		wantKind(is, d.apply(bind).Err, lwfault.Expired)
	})
	t.Run("with the key of another request is a conflict", func(t *testing.T) {
		is := is.New(t)
		d := claimDriver(is)
		is.NoErr(d.apply(d.bind()).Err)
		other := d.bind()
		other.Request = "another"
		wantKind(is, d.apply(other).Err, lwfault.Conflict)
	})
}

func TestFinishedJobIsFoldedThenForgotten(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	is.NoErr(d.apply(ticket(1, "aiko", team)).Err)
	spec := lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Tasks: 3, Needs: lwunit.Resources{Millicores: 1, Memory: 1}}
	is.NoErr(d.apply(lwstate.SubmitJob{Spec: spec}).Err)
	is.NoErr(d.apply(lwstate.CancelJob{Job: "j"}).Err)
	is.Equal(len(d.s.TasksOfJob("j")), 3)
	hours := func(n int) {
		for range n { // the clock moves at most an hour a step
			d.clock = d.clock.Add(time.Hour)
			d.apply(lwstate.Sweep{})
		}
	}
	hours(2)
	j, ok := d.s.Job("j")
	is.True(ok && j.Folded && j.Phase == lwstate.JobCancelled)
	is.Equal(len(d.s.TasksOfJob("j")), 0)
	is.Equal(d.apply(lwstate.SubmitJob{Spec: spec}).Job.Phase, lwstate.JobCancelled) // a resend is still known
	hours(7*24 - 3)
	_, ok = d.s.Job("j")
	is.True(ok)
	hours(3)
	_, ok = d.s.Job("j")
	is.True(!ok)
}

// machine draws commands at random and keeps the books that the properties
// are checked against.
type machine struct {
	d         *driver
	jobs      int
	submitted map[lwunit.JobID]bool
	tokens    map[lwunit.TaskID]lwunit.FencingToken
	evictions map[lwunit.TaskID]int // confirmed stops of evictions
}

func newMachine() *machine {
	m := &machine{d: newDriver(), submitted: make(map[lwunit.JobID]bool), tokens: make(map[lwunit.TaskID]lwunit.FencingToken), evictions: make(map[lwunit.TaskID]int)}
	m.d.apply(ticket(1, "aiko", team))
	for _, w := range []lwunit.WorkerID{"w0", "w1", "w2"} {
		spec := lwstate.WorkerSpec{ID: w, Capacity: lwunit.Resources{Millicores: 4000, Memory: 4 * lwunit.GiB, Accelerators: 1}}
		m.d.apply(lwstate.RegisterWorker{Spec: spec, Incarnation: "i"})
	}
	return m
}

func (m *machine) task(t *rapid.T) (lwstate.Task, bool) {
	if m.jobs == 0 {
		return lwstate.Task{}, false
	}
	job := rapid.IntRange(0, m.jobs-1).Draw(t, "job")
	list := m.d.s.TasksOfJob(lwunit.JobID(fmt.Sprint("j", job)))
	if len(list) == 0 {
		return lwstate.Task{}, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "task")], true
}

func worker(t *rapid.T) lwunit.WorkerID {
	return lwunit.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")))
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			id := lwunit.JobID(fmt.Sprint("j", m.jobs))
			res := m.d.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
				ID: id, Team: "t", Program: "p", Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"),
				Needs: lwunit.Resources{Millicores: 1500, Memory: lwunit.GiB},
			}})
			if res.Err != nil {
				t.Fatal(res.Err)
			}
			m.jobs++
			m.submitted[id] = true
		},
		"cancel": func(t *rapid.T) {
			m.d.apply(lwstate.CancelJob{Job: lwunit.JobID(fmt.Sprint("j", rapid.IntRange(0, m.jobs).Draw(t, "job")))})
		},
		"place": func(t *rapid.T) {
			if task, ok := m.task(t); ok {
				reserve := lwunit.Resources{Millicores: lwunit.Millicores(rapid.IntRange(0, 3000).Draw(t, "cpu")), Memory: lwunit.GiB}
				m.d.apply(lwstate.PlaceTasks{Placements: []lwstate.Placement{{Task: task.ID, Worker: worker(t), Reserve: reserve}}})
			}
		},
		"stop": func(t *rapid.T) {
			if task, ok := m.task(t); ok {
				m.d.apply(lwstate.StopTasks{Tasks: []lwunit.TaskID{task.ID}, Reason: lwstate.StopEvict})
			}
		},
		"resize": func(t *rapid.T) {
			if task, ok := m.task(t); ok {
				reserve := lwunit.Resources{Millicores: lwunit.Millicores(rapid.IntRange(0, 5000).Draw(t, "cpu")), Memory: lwunit.GiB}
				m.d.apply(lwstate.ResizeTasks{Resizes: []lwstate.Resize{{Task: task.ID, Token: task.Token, Reserve: reserve}}})
			}
		},
		"report": m.report,
		"lose worker of an older registration": func(t *rapid.T) {
			w, _ := m.d.s.Worker(worker(t))
			m.d.apply(lwstate.LoseWorker{Worker: w.Spec.ID, Registered: w.Registered - 1})
			if after, _ := m.d.s.Worker(w.Spec.ID); after != w {
				t.Fatalf("%+v became %+v", w, after)
			}
		},
		"lose worker": func(t *rapid.T) {
			w, _ := m.d.s.Worker(worker(t))
			m.d.apply(lwstate.LoseWorker{Worker: w.Spec.ID, Registered: w.Registered})
		},
		"worker returns": func(t *rapid.T) {
			w, _ := m.d.s.Worker(worker(t))
			m.d.apply(lwstate.RegisterWorker{Spec: w.Spec, Incarnation: "i"})
		},
		"drain": func(t *rapid.T) {
			m.d.apply(lwstate.DrainWorker{Worker: worker(t), Drain: rapid.Bool().Draw(t, "on")})
		},
		"reload": func(t *rapid.T) {
			if err := m.d.reload(); err != nil {
				t.Fatal(err)
			}
		},
		"": m.check,
	}
}

// report sends a report with the present token or a stale one.
func (m *machine) report(t *rapid.T) {
	task, ok := m.task(t)
	if !ok {
		return
	}
	stale := rapid.Bool().Draw(t, "stale")
	token := task.Token
	if stale {
		token--
	}
	events := []lwstate.TaskEvent{lwstate.EventRunning, lwstate.EventCheckpointed, lwstate.EventSucceeded, lwstate.EventFailed, lwstate.EventStopped}
	e := rapid.SampledFrom(events).Draw(t, "event")
	m.d.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: task.ID, Token: token, Event: e, Checkpoint: "c"}}})
	after, _ := m.d.s.Task(task.ID)
	if stale && after != task {
		t.Fatalf("a stale report changed %+v to %+v", task, after)
	}
	if !stale && task.Phase == lwstate.TaskStopping && task.Stop == lwstate.StopEvict && e == lwstate.EventStopped {
		m.evictions[task.ID]++
	}
}

// check holds the properties after every command.
func (m *machine) check(t *rapid.T) {
	for _, w := range m.d.s.Workers() {
		if m.d.s.Free(w.Spec.ID).Negative() {
			t.Fatalf("worker %s is overfilled", w.Spec.ID)
		}
	}
	for id := range m.submitted {
		j, ok := m.d.s.Job(id)
		if !ok {
			t.Fatalf("job %s is absent", id)
		}
		m.checkJob(t, j)
	}
	a, err := m.d.s.Hash()
	if err != nil {
		t.Fatal(err)
	}
	b, err := m.d.twin.Hash()
	if err != nil {
		t.Fatal(err)
	}
	if a != b {
		t.Fatal("a replica restored from a snapshot differs")
	}
}

func (m *machine) checkJob(t *rapid.T, j lwstate.Job) {
	left := 0
	for _, task := range m.d.s.TasksOfJob(j.Spec.ID) {
		if !task.Phase.Final() {
			left++
		}
		if task.Token < m.tokens[task.ID] {
			t.Fatalf("the token of %s fell from %d to %d", task.ID, m.tokens[task.ID], task.Token)
		}
		m.tokens[task.ID] = task.Token
		if task.Evictions != m.evictions[task.ID] {
			t.Fatalf("%s counts %d evictions, %d were confirmed", task.ID, task.Evictions, m.evictions[task.ID])
		}
		if task.Phase.Held() != (task.Worker != "" && !task.Phase.Final()) {
			t.Fatalf("%s is %s on worker %q", task.ID, task.Phase, task.Worker)
		}
	}
	if left != j.Left || (left == 0) != j.Phase.Final() {
		t.Fatalf("job %s is %s with %d tasks left, counted %d", j.Spec.ID, j.Phase, j.Left, left)
	}
}

func TestRandomCommandsKeepTheBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newMachine().actions()) })
}

func FuzzDecodeCommand(f *testing.F) {
	data, err := lwstate.EncodeCommand(ticket(1, "aiko", team), 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"kind":"place_tasks","at":1,"body":{"placements":[{"task":"x"}]}}`))
	f.Add([]byte(`{"kind":"bind_claim","at":-1,"body":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, at, err := lwstate.DecodeCommand(data)
		if err != nil {
			return
		}
		s := lwstate.New()
		s.Apply(1, at, c)
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
