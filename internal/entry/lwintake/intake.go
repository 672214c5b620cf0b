// Package lwintake implements the entry role for jobs of steps: it passes
// callers' requests to the leader, the only process that knows the configuration
// in force. It stores nothing.
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
	leaderProbeInterval  = 500 * time.Millisecond
	maxLogLinesPerSecond = 200 // of each kind
	leaderProbeTimeout   = 900 * time.Millisecond
	// maxLeaderAge is how long an entry stays ready after the last answer of a
	// leader. It is longer than an election, during which the other entries reach
	// no leader either.
	maxLeaderAge = 3 * time.Second
	drainDelay   = 2500 * time.Millisecond // how long Stop keeps serving: two failed readiness probes, one second apart, and a margin
)

var intakeLatency = lwmetric.NewHistogram("intake_request_latency")

// Config sets up an intake.
type Config struct {
	Name             string
	Address          string // for callers
	ReadinessAddress string // for the balancer's readiness probe
	Handler          http.Handler
	ReadyHandler     func(ready func() error) http.Handler // returns the handler of the readiness probe
}

// Intake is a running entry for jobs.
type Intake struct {
	log             *zap.Logger
	requestLog      *lwlog.RateLimitedLogger
	client          *lwlink.Client
	callerServer    *lwhttp.Server
	readinessServer *lwhttp.Server
	clock           lwclock.Clock
	reached         atomic.Int64 // when a leader last answered: a reading of clock, in nanoseconds
	draining        atomic.Bool
	cancel          context.CancelFunc
	background      sync.WaitGroup
}

// Start starts an intake. It is not ready until a leader has answered.
func Start(cfg Config, client *lwlink.Client, log *zap.Logger) (*Intake, error) {
	in := &Intake{log: log, requestLog: lwlog.NewRateLimitedLogger(log, maxLogLinesPerSecond), client: client, clock: lwclock.New()}
	in.reached.Store(-int64(maxLeaderAge))
	var err error
	if in.readinessServer, err = lwhttp.Listen(lwhttp.Config{Name: "ready", Address: cfg.ReadinessAddress, Handler: cfg.ReadyHandler(in.Ready)}); err != nil {
		return nil, fmt.Errorf("start intake: %w", err)
	}
	if in.callerServer, err = lwhttp.Listen(lwhttp.Config{Name: "callers", Address: cfg.Address, Handler: in.logRequests(cfg.Handler)}); err != nil {
		in.readinessServer.Close()
		return nil, fmt.Errorf("start intake: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	in.background.Go(func() { in.probeLeader(ctx) })
	return in, nil
}

// logRequests wraps a handler so that the latency of each request is recorded and
// each request is logged, except for a GET that is answered with status 200.
func (in *Intake) logRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(recorder, r)
		took := time.Since(began)
		intakeLatency.Observe(took)
		if r.Method == http.MethodGet && recorder.status == http.StatusOK {
			return
		}
		in.requestLog.Info("request", zap.String("method", r.Method), zap.String("path", lwlog.Shorten(r.URL.Path)), zap.Int("status", recorder.status),
			zap.String("retry_after", recorder.Header().Get("Retry-After")), zap.Duration("took", took), zap.Duration("leader_age", in.leaderAge()))
	})
}

// statusWriter records the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// leaderAge returns the time since the last answer of a leader.
func (in *Intake) leaderAge() time.Duration { return in.clock.Now() - time.Duration(in.reached.Load()) }

// probeLeader probes the leader at each interval until ctx ends, so that
// readiness is up to date and the first request finds an open connection. It logs
// when the leader becomes reachable or unreachable.
func (in *Intake) probeLeader(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, leaderProbeTimeout)
		err := in.client.ProbeLeader(callCtx)
		cancel()
		if err == nil {
			in.reached.Store(int64(in.clock.Now()))
		}
		if answered := err == nil; answered != reachable && ctx.Err() == nil {
			reachable = answered
			in.log.Info("leader", zap.Bool("reached", answered), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderProbeInterval):
		}
	}
}

// Ready returns the reason why the balancer should not send callers here, or
// nil.
func (in *Intake) Ready() error {
	if in.draining.Load() {
		return lwfault.New(lwfault.Unavailable, "this entry is leaving")
	}
	if age := in.leaderAge(); age >= maxLeaderAge {
		return lwfault.New(lwfault.Unavailable, "no leader has answered for %s", age.Round(time.Millisecond))
	}
	return nil
}

// Stop turns readiness off, keeps serving for drainDelay so that the balancer
// can move callers away, waits for requests in flight and closes the listeners.
// Requests that are still in flight when ctx ends are cut off.
func (in *Intake) Stop(ctx context.Context) {
	in.draining.Store(true)
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	if err := in.callerServer.Drain(ctx); err != nil {
		in.log.Warn("requests cut off", zap.Int64("requests", in.callerServer.InFlight()), zap.Error(err))
	}
	in.cancel()
	in.background.Wait()
	in.callerServer.Close()
	in.readinessServer.Close()
}
