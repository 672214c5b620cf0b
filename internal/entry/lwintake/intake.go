// Package lwintake is the entry role for jobs of steps: it takes callers'
// requests and passes them to the leader, which alone knows the configuration
// in force. It keeps nothing.
package lwintake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const (
	probeInterval  = 500 * time.Millisecond
	linesPerSecond = 200 // of one kind in the decision log
	probeTimeout   = 900 * time.Millisecond
	// staleAfter is how long an entry that reaches no leader counts as ready:
	// longer than an election, in which other entries could do no better.
	staleAfter  = 3 * time.Second
	drainNotice = 2500 * time.Millisecond // two missed readiness probes, a second apart, and some slack
)

var intakeLatency = lwmetric.NewHistogram("intake_request_latency")

// Config sets up an intake.
type Config struct {
	Name             string
	Address          string // for callers
	ReadinessAddress string // for the balancer's probe
	Handler          http.Handler
	ReadyHandler     func(ready func() error) http.Handler
}

// Intake is a running entry for jobs.
type Intake struct {
	log       *zap.Logger
	decisions *lwlog.Limited
	client    *lwlink.Client
	server    *lwhttp.Server
	ready     *lwhttp.Server
	clock     lwclock.Clock
	seen      atomic.Int64 // when a leader answered last, on clock
	draining  atomic.Bool
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// Start starts an intake.
func Start(cfg Config, client *lwlink.Client, log *zap.Logger) (*Intake, error) {
	in := &Intake{log: log, decisions: lwlog.Limit(log, linesPerSecond), client: client, clock: lwclock.New()}
	in.seen.Store(-int64(staleAfter))
	var err error
	if in.ready, err = lwhttp.Listen(lwhttp.Config{Name: "ready", Address: cfg.ReadinessAddress, Handler: cfg.ReadyHandler(in.Ready)}); err != nil {
		return nil, fmt.Errorf("start intake: %w", err)
	}
	if in.server, err = lwhttp.Listen(lwhttp.Config{Name: "callers", Address: cfg.Address, Handler: in.observed(cfg.Handler)}); err != nil {
		in.ready.Close()
		return nil, fmt.Errorf("start intake: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	in.done.Go(func() { in.watchLeader(ctx) })
	return in, nil
}

// observed records the latency of each request and writes a line for each that
// changes something or is refused.
func (in *Intake) observed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		out := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(out, r)
		took := time.Since(began)
		intakeLatency.Observe(took)
		if r.Method == http.MethodGet && out.status == http.StatusOK {
			return
		}
		in.decisions.Line("request", zap.String("method", r.Method), zap.String("path", r.URL.Path), zap.Int("status", out.status),
			zap.String("retry_after", out.Header().Get("Retry-After")), zap.Duration("took", took), zap.Duration("leader_age", in.leaderAge()))
	})
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// leaderAge returns how long ago a leader answered.
func (in *Intake) leaderAge() time.Duration { return in.clock.Now() - time.Duration(in.seen.Load()) }

// watchLeader keeps asking for the leader, so that readiness tells the truth
// and the first request finds a connection.
func (in *Intake) watchLeader(ctx context.Context) {
	was := true
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		err := in.client.ProbeLeader(call)
		cancel()
		if err == nil {
			in.seen.Store(int64(in.clock.Now()))
		}
		if is := err == nil; is != was && ctx.Err() == nil {
			was = is
			in.log.Info("leader", zap.Bool("reached", is), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// Ready returns why callers should go elsewhere, or nil.
func (in *Intake) Ready() error {
	if in.draining.Load() {
		return lwfault.New(lwfault.Unavailable, "this entry is leaving")
	}
	if age := in.leaderAge(); age >= staleAfter {
		return lwfault.New(lwfault.Unavailable, "no leader has answered for %s", age.Round(time.Millisecond))
	}
	return nil
}

// Stop turns readiness off, serves until callers have moved away and then
// until their requests have finished.
func (in *Intake) Stop(ctx context.Context) {
	in.draining.Store(true)
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	if err := in.server.Drain(ctx); err != nil {
		in.log.Warn("requests cut off", zap.Int64("requests", in.server.InFlight()), zap.Error(err))
	}
	in.cancel()
	in.done.Wait()
	in.server.Close()
	in.ready.Close()
}
