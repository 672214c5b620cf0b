package lwcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var rosterEntry = lwjob.RosterEntry{Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 1}, Agent: "a"}

// A replica may lead again while a proposal of its last term waits. It must not take an
// incarnation off the roster that has reported to it, or another leader, since.
func TestRosterChangesOnlyInTermInWhichItWasDecided(t *testing.T) {
	for name, other := range map[string]bool{"in the same term": false, "in another term": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := leadingNode(t, func(lwstate.Command) {})
			d, r := n.dispatcher, n.replica
			is.NoErr(d.lockAsLeader(r))
			if other {
				d.term++
			}
			d.pendingRoster = lwstate.ChangeRoster{Enrol: []lwjob.RosterEntry{rosterEntry}}
			d.changeRoster(t.Context(), r)
			d.mu.Unlock()
			onRoster := func() (found bool) {
				r.read(func(s *lwstate.State) { found = len(s.Queues().Roster()) > 0 })
				return found
			}
			if !other {
				eventually(t, "the roster is changed", onRoster)
				return
			}
			time.Sleep(100 * time.Millisecond)
			is.True(!onRoster())
		})
	}
}
