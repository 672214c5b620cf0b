package lwload

import (
	"context"
	"fmt"
	"math"
	"os"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

const (
	workers         = 11
	slots           = 8 // of each backend server
	entries         = 2
	service         = "engrave-desk"
	serviceTime     = 30 * time.Millisecond // median
	serviceSigma    = 0.5                   // standard deviation of the logarithm of the service time
	oneWayDelay     = 3 * time.Millisecond  // between failure domains
	warmUpTime      = 2 * time.Second
	callerToken     = "bench-caller-token"
	slowFactor      = 10 // of the service times of a slow backend server
	seed            = 5
	replaceInterval = 500 * time.Millisecond // between replacements of backend servers
	startTimeout    = 20 * time.Second
	domainCount     = 3
)

// meanServiceTime returns the mean of the log-normal service times.
func meanServiceTime() time.Duration {
	return time.Duration(float64(serviceTime) * math.Exp(serviceSigma*serviceSigma/2))
}

// Capacity returns the highest rate that all slots together can serve, in requests
// a second.
func Capacity() float64 { return workers * slots / meanServiceTime().Seconds() }

// Case is one measurement of the request path.
type Case struct {
	Name          string
	Load          float64 // share of capacity
	Policy        lwroute.Policy
	ServiceFields string                                     // of the service's spec in the ticket; "" for 8 slots
	Disruption    func(ctx context.Context, s *lwrig.System) // injected after a tenth of the duration
	Retries       int                                        // how often a caller resends a failed request at once
	Deadline      time.Duration                              // of each request; 0 for none
}

// Report is the result of a case.
type Report struct {
	Name         string        `json:"name"`
	Policy       string        `json:"policy"`
	Sent         int           `json:"sent"`
	Completed    int           `json:"completed"`
	NotRun       int           `json:"not_run"`
	Unknown      int           `json:"unknown"`
	Broken       int           `json:"broken"`
	GoodputShare float64       `json:"goodput"` // share of capacity
	P50          time.Duration `json:"p50_ns"`
	P99          time.Duration `json:"p99_ns"`
	P999         time.Duration `json:"p999_ns"`
	IdealP99     time.Duration `json:"ideal_p99_ns"` // of one queue that all slots share; 0 unless the load is below capacity
	PeakInFlight int           `json:"peak"`         // most requests at one time in one backend server
}

// Cases lists the measurements.
func Cases() []Case {
	list := []Case{
		{Name: "steady 50%", Load: 0.5},
		{Name: "steady 80%", Load: 0.8},
		{Name: "steady 95%", Load: 0.95},
	}
	for _, p := range []lwroute.Policy{lwroute.PolicyRandom, lwroute.PolicyRoundRobin, lwroute.PolicyLeastInFlight} {
		list = append(list, Case{Name: "steady 80%", Load: 0.8, Policy: p})
	}
	return append(list,
		Case{Name: "overload 2x", Load: 2, Deadline: time.Second},
		Case{Name: "overload 2x, no limits", Load: 2, Deadline: time.Second, ServiceFields: `"slots": 1000, "queue": 5000`},
		Case{Name: "one slow backend server", Load: 0.6, Disruption: slowOneBackend},
		Case{Name: "one slow backend server", Load: 0.6, Disruption: slowOneBackend, Policy: lwroute.PolicyRoundRobin},
		Case{Name: "one domain lost", Load: 0.5, Disruption: loseDomain},
		Case{Name: "rolling drain of all", Load: 0.5, Disruption: replaceAllBackends},
		Case{Name: "retry storm", Load: 1.3, Retries: 5, Deadline: time.Second},
		Case{Name: "retry storm, no budget", Load: 1.3, Retries: 5, Deadline: time.Second, ServiceFields: `"retry_budget": 1`},
	)
}

// slowOneBackend multiplies the service times of one backend server by slowFactor.
func slowOneBackend(_ context.Context, s *lwrig.System) {
	slow := LogNormal(slowFactor*serviceTime, serviceSigma, 99)
	s.Backends[0].SetBehaviour(lwstandin.Behaviour{Delay: slow, Slots: slots})
}

// loseDomain kills the agents and backend servers of the second failure domain.
func loseDomain(_ context.Context, s *lwrig.System) {
	for i := range s.Backends {
		if i%domainCount == 1 {
			s.KillWorker(i)
		}
	}
}

// replaceAllBackends withdraws one backend server after the other and starts
// another in its place.
func replaceAllBackends(ctx context.Context, s *lwrig.System) {
	for i := range s.Backends {
		if err := s.ReplaceBackend(ctx, i); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(replaceInterval):
		}
	}
}

// RunCase starts a system, warms it up and measures one case.
func RunCase(c Case, duration time.Duration, log *zap.Logger) (Report, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-bench-")
	if err != nil {
		return Report{}, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := startSystem(c, folder, oneWayDelay, log)
	if err != nil {
		return Report{}, err
	}
	defer s.Stop()
	plan := Plan{Path: "/v1/services/" + service + "/render", Token: callerToken, Rate: c.Load * Capacity(), Duration: warmUpTime, Deadline: c.Deadline, Seed: seed, Retries: c.Retries}
	for i := range s.Entries {
		plan.URLs = append(plan.URLs, s.URL(i))
	}
	Run(context.Background(), plan)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c.Disruption != nil {
			time.Sleep(duration / 10)
			c.Disruption(ctx, s)
		}
	}()
	plan.Duration = duration
	o := Run(ctx, plan)
	cancel()
	<-done
	return report(c, o, s, duration), nil
}

func report(c Case, o Outcome, s *lwrig.System, duration time.Duration) Report {
	policy := string(c.Policy)
	if policy == "" {
		policy = string(lwroute.PolicyTwoChoices)
	}
	r := Report{
		Name: c.Name, Policy: policy, Sent: o.Sent, Completed: o.Completed, NotRun: o.NotRun, Unknown: o.Unknown, Broken: o.Broken,
		GoodputShare: o.Goodput() / Capacity(), P50: o.Percentile(50), P99: o.Percentile(99), P999: o.Percentile(99.9),
	}
	if c.Load < 1 {
		h := IdealQueue(c.Load*Capacity(), workers*slots, serviceTime, serviceSigma, 10*duration, seed)
		r.IdealP99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	}
	for _, b := range s.Backends {
		r.PeakInFlight = max(r.PeakInFlight, b.Peak())
	}
	return r
}

// startSystem starts the system of a case with log-normal service times. delay is
// the one-way delay between an entry and agents of other failure domains.
func startSystem(c Case, folder string, delay time.Duration, log *zap.Logger) (*lwrig.System, error) {
	shape := lwrig.Shape{
		Region: "kyushu-south", Domains: []lwunit.FailureDomain{"yatsushiro", "hitoyoshi", "minamata"}, Service: service,
		Workers: workers, Replicas: 1, Entries: entries, Folder: folder, OneWayDelay: delay,
		Capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB, Accelerators: 2},
	}
	shape.Options.Routing = c.Policy
	s, err := lwrig.Start(shape, log)
	if err != nil {
		return nil, err
	}
	fields := c.ServiceFields
	if fields == "" {
		fields = `"slots": 8`
	}
	ticket := fmt.Appendf(nil, `{"number": 1, "author": "bench", "objects": [
		{"kind": "team", "name": "t", "spec": {"tokens": [{"role": "caller", "sha256": %q}]}},
		{"kind": "service", "name": %q, "spec": {"team": "t", "tail_target": "250ms", %s}}]}`, lwticket.TokenDigest(callerToken), service, fields)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := s.Operator().Post(ctx, "/v1/tickets", ticket, nil); err != nil {
		s.Stop()
		return nil, err
	}
	for i, b := range s.Backends {
		b.SetBehaviour(lwstandin.Behaviour{Delay: LogNormal(serviceTime, serviceSigma, uint64(i)), Slots: slots})
	}
	if err := s.AwaitBackends(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// PathCost measures the latency that entry and agent add. After a warm-up it sends
// the same load, without service time, first through the whole path and then
// directly to one backend server.
func PathCost(duration time.Duration, log *zap.Logger) (through, direct Outcome, err error) {
	folder, err := os.MkdirTemp("", "lavenderweir-bench-")
	if err != nil {
		return through, direct, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := startSystem(Case{Name: "path cost"}, folder, 0, log)
	if err != nil {
		return through, direct, err
	}
	defer s.Stop()
	for _, b := range s.Backends {
		b.SetBehaviour(lwstandin.Behaviour{})
	}
	plan := Plan{Path: "/v1/services/" + service + "/render", Token: callerToken, Rate: 500, Duration: duration, Seed: seed, URLs: []string{s.URL(0)}}
	directPlan := plan
	directPlan.URLs, directPlan.Path = []string{"http://" + s.Backends[0].Address()}, "/render"
	Run(context.Background(), plan)
	through = Run(context.Background(), plan)
	direct = Run(context.Background(), directPlan)
	return through, direct, nil
}
