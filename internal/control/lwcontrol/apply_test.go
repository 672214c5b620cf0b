package lwcontrol

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Every replica that applies a command that panics ends, again after each restart. The
// log must name the entry.
func TestCommandThatPanicsIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	r := newTestReplica(t, lwdisk.NewMemory(), zap.New(core))
	r.onApply = func(lwunit.Revision, lwstate.Command) { panic("out of order") }
	data, err := lwstate.EncodeCommand(lwstate.CancelQueueJob{Job: "j"}, 1)
	is.NoErr(err)
	func() {
		defer func() { is.Equal(recover(), "out of order") }() // the panic goes on
		r.applyEntry(lwreplica.Entry{Index: 7, Term: 2, Data: data})
	}()
	found := lines.FilterMessage("cannot apply committed command").All()
	is.Equal(len(found), 1)
	fields := found[0].ContextMap()
	is.Equal(fields["index"], uint64(7))
	is.Equal(fields["kind"], "lwstate.CancelQueueJob")
	is.True(strings.Contains(fields["data"].(string), `"job":"j"`))
}
