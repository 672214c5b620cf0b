package lwagent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/worker/lwgate"
)

// announcedTable is a table of backend servers with one slot each.
type announcedTable struct {
	*backendTable
	t *testing.T
}

func newAnnouncedTable(t *testing.T) announcedTable {
	t.Helper()
	a := &Agent{log: zap.NewNop(), policy: map[lwunit.ServiceName]lwticket.ServiceSpec{"s": {Slots: 1}, "s2": {Slots: 1}}}
	return announcedTable{newBackendTable(a), t}
}

func (x announcedTable) announced(id lwunit.BackendServerID, service lwunit.ServiceName, address string) bool {
	x.t.Helper()
	return x.announce(id, service, address, time.Minute) == nil
}

// acquire returns a slot of a backend server, or nil if there is none.
func (x announcedTable) acquire(id lwunit.BackendServerID) *lwgate.Slot {
	x.t.Helper()
	s, ok := x.get(id)
	if !ok {
		return nil
	}
	slot, err := s.gate.Acquire(x.t.Context(), time.Now().Add(time.Minute))
	if err != nil {
		return nil
	}
	return slot
}

// Guards against an announcement being taken as evidence that the requests at the server which
// was announced before have ended, so that their slots are given out again.
func TestAnnouncementReleasesNoSlots(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	cases := []struct {
		name    string
		id      lwunit.BackendServerID
		service lwunit.ServiceName
		before  func(announcedTable) bool
	}{
		{"another id at the address", "b2", "s", func(announcedTable) bool { return true }},
		{"another service at the address", "b", "s2", func(announcedTable) bool { return true }},
		{"the id back from another address", "b", "s", func(x announcedTable) bool { return x.announced("b", "s", other) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := newAnnouncedTable(t)
			is.True(x.announced("b", "s", address))
			slot := x.acquire("b")
			is.True(slot != nil)
			is.True(c.before(x))
			is.True(!x.announced(c.id, c.service, address)) // its request is in flight
			slot.Release()
			is.True(x.announced(c.id, c.service, address))
			is.True(x.acquire(c.id) != nil)
		})
	}
	t.Run("another id at the address of an idle server", func(t *testing.T) {
		is := is.New(t)
		x := newAnnouncedTable(t)
		is.True(x.announced("b", "s", address))
		is.True(x.announced("b2", "s", address))
		is.True(x.acquire("b2") != nil)
		is.True(x.acquire("b") == nil) // it would have a second slot at the same address
	})
	t.Run("a server that renews its announcement keeps its count", func(t *testing.T) {
		is := is.New(t)
		x := newAnnouncedTable(t)
		is.True(x.announced("b", "s", address))
		is.True(x.acquire("b") != nil)
		is.True(x.announced("b", "s", address))
		is.True(x.acquire("b") == nil)
	})
}
