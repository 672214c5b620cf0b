package lwlog_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderweir.example/lavenderweir/internal/base/lwlog"
)

// buffer is a writer that blocks until unblock is closed, if that is set.
type buffer struct {
	mu      sync.Mutex
	data    bytes.Buffer
	unblock chan struct{}
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.unblock != nil {
		<-b.unblock
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) lines() []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []map[string]any
	dec := json.NewDecoder(bytes.NewReader(b.data.Bytes()))
	for {
		var line map[string]any
		if dec.Decode(&line) != nil {
			return list
		}
		list = append(list, line)
	}
}

func TestLinesAreJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		sink := lwlog.NewSink(out)
		lwlog.New(zapcore.InfoLevel, sink).Info("task_started", zap.String("task", "j.0.0.0"), zap.Duration("age", 1500*time.Millisecond))
		sink.Close()
		lines := out.lines()
		if len(lines) != 1 || lines[0]["msg"] != "task_started" || lines[0]["task"] != "j.0.0.0" || lines[0]["age"] != 1500.0 {
			t.Errorf("the log has lines %v; want one line task_started of task j.0.0.0 with age 1500", lines)
		}
	})
}

// A process that ends by a fatal line or a panic must not lose the lines before it.
func TestFatalLineIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		sink := lwlog.NewSink(out)
		log := lwlog.New(zapcore.InfoLevel, sink).WithOptions(zap.WithFatalHook(zapcore.WriteThenPanic))
		func() {
			defer func() { _ = recover() }()
			log.Info("before")
			log.Fatal("cannot continue")
		}()
		if lines := out.lines(); len(lines) != 2 || lines[0]["msg"] != "before" || lines[1]["msg"] != "cannot continue" {
			t.Errorf("the log has lines %v when the process ends; want both", lines)
		}
		sink.Close()
	})
}

func TestSyncDoesNotWaitForBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{unblock: make(chan struct{})}
		sink := lwlog.NewSink(out)
		lwlog.New(zapcore.InfoLevel, sink).Info("line")
		if sink.Sync() == nil {
			t.Error("Sync of a blocked output reported no error")
		}
		close(out.unblock)
		sink.Close()
	})
}

func TestLineRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		sink := lwlog.NewSink(out)
		log := lwlog.NewRateLimitedLogger(lwlog.New(zapcore.InfoLevel, sink), 10)
		for range 25 {
			log.Info("busy")
		}
		log.Info("quiet")
		time.Sleep(1100 * time.Millisecond)
		log.Info("busy")
		sink.Close()
		count := make(map[any]int)
		var omitted any
		for _, line := range out.lines() {
			count[line["msg"]]++
			if line["msg"] == "lines omitted" {
				omitted = line["count"]
			}
		}
		if count["busy"] != 11 || count["quiet"] != 1 || omitted != 15.0 {
			t.Errorf("lines by message: %v, reported as omitted: %v; want 11 busy, 1 quiet, 15 omitted", count, omitted)
		}
	})
}

func TestLoggingNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{unblock: make(chan struct{})}
		sink := lwlog.NewSink(out)
		log := lwlog.New(zapcore.InfoLevel, sink)
		start := time.Now()
		for range 20000 { // several times the lines that the sink buffers
			log.Info("line")
		}
		if time.Since(start) > 0 {
			t.Error("logging blocked on a blocked output")
		}
		close(out.unblock)
		sink.Close()
	})
}
