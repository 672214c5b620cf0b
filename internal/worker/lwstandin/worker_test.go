package lwstandin

import (
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

// Two copies of a start may be under way when the first got no answer. The one that
// arrives after the attempt has ended and been forgotten must not run it again: control
// has started its task elsewhere.
func TestLateCopyOfStartDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	w := NewWorker()
	attempt := lwplatform.Attempt{Task: "j/0", Token: 1}
	start := lwplatform.StartRequest{Attempt: attempt, Lease: lwplatform.Lease{Left: lwunit.Duration(defaultWorkTime)}, Program: "etch:1h"}
	is.NoErr(w.Start(ctx, start))
	is.NoErr(w.Stop(ctx, attempt))
	is.NoErr(w.Forget(ctx, attempt))
	is.NoErr(w.Start(ctx, start))
	is.Equal(len(w.Running()), 0)
	is.Equal(w.Starts("j/0"), 1)
}
