// Package lwdemo runs the demo: the main uses of the product, step by step, on a
// small system of each deployment.
package lwdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/command/lwadmin"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

const (
	stepTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	callerToken  = "demo-caller-token"
)

// deployment describes the demo's small system of one of the two organisations.
type deployment struct {
	name         string
	team         lwunit.TeamName
	batchProgram string // program of the batch job's tasks
	shape        lwrig.Shape
}

func deployments(folder string) []deployment {
	return []deployment{
		{"kirishima", "engraving", "toolpath:1s", lwrig.Shape{
			Region: "kyushu-south", Domains: []lwunit.FailureDomain{"yatsushiro", "hitoyoshi", "minamata"}, Service: "engrave-desk",
			Workers: 3, Replicas: 1, Entries: 1, Folder: folder + "/kirishima",
			Capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB, Accelerators: 2},
		}},
		{"papeles", "cooperativas", "pattern-render:1s", lwrig.Shape{
			Region: "andes-norte", Domains: []lwunit.FailureDomain{"norte-a", "norte-b", "norte-c"}, Service: "taller-digital",
			Workers: 3, Replicas: 1, Entries: 1, Folder: folder + "/papeles",
			Capacity: lwunit.Resources{Millicores: 16000, Memory: 60 * lwunit.GiB, Accelerators: 1},
		}},
	}
}

// Run runs the demo, writes a line for each step to out and returns the error of
// the first step that fails.
func Run(out io.Writer, log *zap.Logger) error {
	folder, err := os.MkdirTemp("", "lavenderweir-demo-")
	if err != nil {
		return fmt.Errorf("make a folder for the demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "DEPLOYMENT\tSTEP\tTIME\tRESULT")
	for _, d := range deployments(folder) {
		if err := runDeployment(w, d, log); err != nil {
			return fmt.Errorf("demo of %s: %w", d.name, err)
		}
	}
	return nil
}

// demoRun is the run of the steps on one deployment's system.
type demoRun struct {
	deployment deployment
	sys        *lwrig.System
	operator   *lwadmin.Client
}

type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

func runDeployment(w io.Writer, d deployment, log *zap.Logger) error {
	r := &demoRun{deployment: d}
	steps := []step{
		{"start control, agents and an entry", func(context.Context) (string, error) { return r.start(log) }},
		{"apply a change ticket", r.applyTicket},
		{"send the same ticket again", r.repeatTicket},
		{"ticket in force everywhere", r.awaitInForce},
		{"backend servers announced", r.awaitBackends},
		{"a proof request, whole answer back", r.proof},
		{"a non-idempotent order, sent twice", r.order},
		{"submit a batch job, run it to its end", r.batch},
		{"evict a running task, it resumes once", r.evict},
		{"a job that can never run is told so", r.unrunnable},
		{"graceful stop", r.stop},
	}
	for _, s := range steps {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		began := time.Now()
		result, err := s.run(ctx)
		cancel()
		if err != nil {
			if r.sys != nil {
				r.sys.Stop()
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tFAILED: %v\n", d.name, s.name, round(time.Since(began)), err)
			return fmt.Errorf("%s: %w", s.name, err)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.name, s.name, round(time.Since(began)), result)
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func (r *demoRun) start(log *zap.Logger) (string, error) {
	sys, err := lwrig.Start(r.deployment.shape, log)
	if err != nil {
		return "", err
	}
	r.sys, r.operator = sys, sys.Operator()
	return fmt.Sprintf("%d replica, %d workers, %d entry", len(sys.Control), len(sys.Workers), len(sys.Entries)), nil
}

func (r *demoRun) ticket() []byte {
	return fmt.Appendf(nil, `{
  "number": 1, "author": "demo", "comment": "first ticket of %s",
  "objects": [
    {"kind": "team", "name": %q, "spec": {
      "quota": {"millicores": 100000, "memory": "400GiB", "accelerators": 4},
      "tokens": [{"role": "submitter", "sha256": %q}]}},
    {"kind": "service", "name": %q, "spec": {"team": %q, "slots": 8, "connections": 64, "tail_target": "250ms"}},
    {"kind": "deployment", "name": %q, "spec": {"tail_weight": 2}}
  ]}`, r.deployment.name, r.deployment.team, lwticket.TokenDigest(callerToken), r.deployment.shape.Service, r.deployment.team, r.deployment.name)
}

func (r *demoRun) applyTicket(ctx context.Context) (string, error) {
	var rec lwstate.TicketRecord
	if err := r.operator.Post(ctx, "/v1/tickets", r.ticket(), &rec); err != nil {
		return "", err
	}
	return fmt.Sprintf("ticket %d accepted at revision %d", rec.Number, rec.Revision), nil
}

func (r *demoRun) repeatTicket(ctx context.Context) (string, error) {
	var first, again lwstate.TicketRecord
	if err := r.operator.Post(ctx, "/v1/tickets", r.ticket(), &first); err != nil {
		return "", err
	}
	if err := r.operator.Post(ctx, "/v1/tickets", r.ticket(), &again); err != nil {
		return "", err
	}
	if first.Revision != again.Revision {
		return "", lwfault.New(lwfault.Internal, "revision %d, then %d", first.Revision, again.Revision)
	}
	other := bytes.Replace(r.ticket(), []byte("first ticket"), []byte("another ticket"), 1)
	if err := r.operator.Post(ctx, "/v1/tickets", other, nil); lwfault.KindOf(err) != lwfault.Conflict {
		return "", lwfault.New(lwfault.Internal, "another ticket 1 was not a conflict: %v", err)
	}
	return "the first answer again; another ticket 1 is a conflict", nil
}

// poll repeats check until it reports true or fails, or until ctx ends.
func poll(ctx context.Context, check func() (string, bool, error)) (string, error) {
	for {
		result, ok, err := check()
		if err != nil || ok {
			return result, err
		}
		select {
		case <-ctx.Done():
			return "", lwfault.New(lwfault.Timeout, "timed out; last result: %s", result)
		case <-time.After(pollInterval):
		}
	}
}

func (r *demoRun) awaitInForce(ctx context.Context) (string, error) {
	want := len(r.sys.Agents) + len(r.sys.Entries)
	return poll(ctx, func() (string, bool, error) {
		var st struct {
			InForce int `json:"in_force"`
			Nodes   int `json:"nodes"`
		}
		err := r.operator.Get(ctx, "/v1/tickets/1", &st)
		return fmt.Sprintf("%d of %d processes", st.InForce, st.Nodes), st.InForce >= want, err
	})
}

func (r *demoRun) awaitBackends(ctx context.Context) (string, error) {
	return poll(ctx, func() (string, bool, error) {
		var list []lwstate.BackendServer
		err := r.operator.Get(ctx, "/v1/backend_servers", &list)
		return fmt.Sprintf("%d backend servers of %s", len(list), r.deployment.shape.Service), len(list) == len(r.sys.Backends), err
	})
}

// send sends a request as a caller and returns its outcome header and the body of
// the answer.
func (r *demoRun) send(ctx context.Context, body []byte, header map[string]string) (string, []byte, error) {
	url := fmt.Sprintf("%s/v1/services/%s/render", r.sys.URL(0), r.deployment.shape.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return "", nil, fmt.Errorf("read answer: %w", err)
	}
	return res.Header.Get(lwheader.Outcome), data, nil
}

func (r *demoRun) proof(ctx context.Context) (string, error) {
	body := bytes.Repeat([]byte("monogram "), 1000)
	return poll(ctx, func() (string, bool, error) {
		outcome, answer, err := r.send(ctx, body, nil)
		if err != nil {
			return "", false, err
		}
		whole := bytes.Equal(answer, lwstandin.Render(body))
		return fmt.Sprintf("%s, %d bytes", outcome, len(answer)), outcome == lwheader.Completed && whole, nil
	})
}

func (r *demoRun) order(ctx context.Context) (string, error) {
	key := fmt.Sprintf("%d-demo-order", time.Now().Unix())
	header := map[string]string{lwheader.Unrepeatable: "true", lwheader.IdempotencyKey: key}
	body := []byte("etch bottle 17")
	for range 2 {
		outcome, answer, err := r.send(ctx, body, header)
		if err != nil {
			return "", err
		}
		if outcome != lwheader.Completed || !bytes.Equal(answer, lwstandin.Render(body)) {
			return "", lwfault.New(lwfault.Internal, "outcome %s, answer %q", outcome, answer)
		}
	}
	runs := 0
	for _, b := range r.sys.Backends {
		runs += b.Runs(key)
	}
	if runs != 1 {
		return "", lwfault.New(lwfault.Internal, "the order ran %d times", runs)
	}
	return "ran once, answered twice", nil
}

func (r *demoRun) submit(ctx context.Context, spec lwstate.JobSpec) error {
	spec.Team = r.deployment.team
	body, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	return r.operator.Post(ctx, "/v1/jobs", body, nil)
}

type jobDetail struct {
	Job   lwstate.Job    `json:"job"`
	Tasks []lwstate.Task `json:"tasks"`
}

func (r *demoRun) awaitJob(ctx context.Context, id string, done func(jobDetail) bool) (jobDetail, error) {
	var d jobDetail
	_, err := poll(ctx, func() (string, bool, error) {
		err := r.operator.Get(ctx, "/v1/jobs/"+id, &d)
		return string(d.Job.Phase), done(d), err
	})
	return d, err
}

func (r *demoRun) batch(ctx context.Context) (string, error) {
	err := r.submit(ctx, lwstate.JobSpec{ID: "batch-1", Program: r.deployment.batchProgram, Tasks: 4, Needs: lwunit.Resources{Millicores: 4000, Memory: 8 * lwunit.GiB}})
	if err != nil {
		return "", err
	}
	d, err := r.awaitJob(ctx, "batch-1", func(d jobDetail) bool { return d.Job.Phase.Final() })
	if err != nil {
		return "", err
	}
	if d.Job.Phase != lwstate.JobSucceeded {
		return "", lwfault.New(lwfault.Internal, "the job ended as %s: %s", d.Job.Phase, d.Job.Reason)
	}
	return fmt.Sprintf("%d tasks succeeded", len(d.Tasks)), nil
}

// evict drains the worker of a running task and checks that the task is
// checkpointed, stopped once and resumed.
func (r *demoRun) evict(ctx context.Context) (string, error) {
	err := r.submit(ctx, lwstate.JobSpec{ID: "archive-1", Program: "scan-archive:2s", Needs: lwunit.Resources{Millicores: 1000, Memory: lwunit.GiB}})
	if err != nil {
		return "", err
	}
	d, err := r.awaitJob(ctx, "archive-1", func(d jobDetail) bool { return len(d.Tasks) > 0 && d.Tasks[0].Phase == lwstate.TaskRunning })
	if err != nil {
		return "", err
	}
	first := d.Tasks[0].Worker
	if err := r.operator.Post(ctx, fmt.Sprintf("/v1/workers/%s/drain", first), nil, nil); err != nil {
		return "", err
	}
	d, err = r.awaitJob(ctx, "archive-1", func(d jobDetail) bool { return d.Job.Phase.Final() })
	if err != nil {
		return "", err
	}
	t := d.Tasks[0]
	if d.Job.Phase != lwstate.JobSucceeded || t.Evictions != 1 || t.Attempts != 2 || t.Checkpoint == "" {
		return "", lwfault.New(lwfault.Internal, "job %s, %d evictions, %d attempts, checkpoint %q", d.Job.Phase, t.Evictions, t.Attempts, t.Checkpoint)
	}
	if err := r.operator.Post(ctx, fmt.Sprintf("/v1/workers/%s/undrain", first), nil, nil); err != nil {
		return "", err
	}
	return fmt.Sprintf("from %s to %s at checkpoint %s", first, t.Worker, t.Checkpoint), nil
}

func (r *demoRun) unrunnable(ctx context.Context) (string, error) {
	err := r.submit(ctx, lwstate.JobSpec{ID: "too-big", Program: "render", Needs: lwunit.Resources{Millicores: 1_000_000, Memory: lwunit.GiB}})
	if err != nil {
		return "", err
	}
	d, err := r.awaitJob(ctx, "too-big", func(d jobDetail) bool { return d.Job.Phase.Final() })
	if err != nil {
		return "", err
	}
	if d.Job.Phase != lwstate.JobUnrunnable {
		return "", lwfault.New(lwfault.Internal, "the job ended as %s", d.Job.Phase)
	}
	return string(d.Job.Phase) + ": " + d.Job.Reason, nil
}

func (r *demoRun) stop(ctx context.Context) (string, error) {
	var list []lwlink.WorkerStatus
	if err := r.operator.Get(ctx, "/v1/workers", &list); err != nil {
		return "", err
	}
	for _, w := range list {
		if w.Free.Negative() {
			return "", lwfault.New(lwfault.Internal, "worker %s is overfilled", w.Spec.ID)
		}
	}
	r.sys.Stop()
	r.sys = nil
	return "nothing in flight was cut off, no worker was overfilled", nil
}
