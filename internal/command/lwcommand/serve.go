package lwcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/command/lwnode"
)

var serveVerb = &verb{
	name:  "serve",
	short: "run the roles that a settings file configures",
	usage: `usage: lavenderweir serve --config FILE

Runs until SIGTERM or SIGINT, then stops gracefully: it reports not ready, lets
requests in flight finish and transfers leadership. A second signal, or the end
of the settings' stop_time, stops it at once.`,
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
	sink := lwlog.NewSink(os.Stdout)
	defer sink.Close()
	log, err := newLogger(s.LogLevel, sink)
	if err != nil {
		return err
	}
	return serveUntilSignal(config, s, log)
}

func newLogger(level string, sink *lwlog.Sink) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return lwlog.New(parsed.Level(), sink), nil
}

// settingsInterval is how often the settings file is checked for changes: a
// platform may change it without sending a signal.
const settingsInterval = time.Second

// watchSettings reloads the settings when their file changes and on SIGHUP. If
// the file cannot be read, the settings in use stay.
func watchSettings(ctx context.Context, config string, n *lwnode.Node, log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // never reset, since SIGHUP would then end the process
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastModified := modified(config)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(config).Equal(lastModified) {
				continue
			}
		}
		lastModified = modified(config)
		s, err := lwsetting.Read(config)
		if err == nil {
			err = n.Reload(s)
		}
		if err != nil {
			log.Warn("settings not reloaded", zap.Error(err))
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // a file that disappears counts as changed once, so that the failed read is logged
	}
	return info.ModTime()
}

func serveUntilSignal(config string, s lwsetting.Settings, log *zap.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n, err := lwnode.Start(s, lwnode.Options{}, log)
	if err != nil {
		return err
	}
	ctx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watchSettings(ctx, config, n, log)
	var controlErr error
	select {
	case sig := <-signals:
		log.Info("stopping", zap.String("signal", sig.String()))
	case controlErr = <-n.Failed():
		log.Error("control failed", zap.Error(controlErr))
	}
	stopWatching()
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTime.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	n.Stop(ctx)
	return controlErr
}
