package lwcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/command/lwnode"
)

var serveVerb = &verb{
	name:  "serve",
	short: "run the roles that a settings file names",
	usage: `usage: lavenderweir serve --config FILE

Runs until SIGTERM or SIGINT, then stops gracefully: readiness turns off,
requests in flight finish, leadership is handed over. A second signal, or the
settings' stop_time, ends it at once.`,
	run: runServe,
}

func runServe(args []string, _ streams) error {
	var config string
	p := newParser("serve")
	p.String(&config, "c", "config", "settings file")
	if err := parse(p, args); err != nil {
		return err
	}
	if config == "" {
		return &usageError{"--config is required"}
	}
	s, err := lwsetting.Read(config)
	if err != nil {
		return err
	}
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	return serveUntilSignal(s, log)
}

func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	cfg.Level = parsed
	cfg.DisableStacktrace = true
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("start logging: %w", err)
	}
	return log, nil
}

func serveUntilSignal(s lwsetting.Settings, log *zap.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n, err := lwnode.Start(s, lwnode.Options{}, log)
	if err != nil {
		return err
	}
	var failed error
	select {
	case sig := <-signals:
		log.Info("stopping", zap.String("signal", sig.String()))
	case failed = <-n.Failed():
		log.Error("control failed", zap.Error(failed))
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTime.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	n.Stop(ctx)
	return failed
}
