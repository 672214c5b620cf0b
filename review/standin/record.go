package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the case began.
type recorder struct {
	began time.Time

	mu  sync.Mutex
	out io.Writer
}

func newRecorder(out io.Writer) *recorder { return &recorder{began: time.Now(), out: out} }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// now returns the time since the case began.
func (r *recorder) now() time.Duration { return time.Since(r.began) }
