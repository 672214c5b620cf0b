package lwreplica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// TestLeaderSendsNothingBeforeItsTermIsDurable guards against a sole voter that
// leads the same term twice: a crash before its disk synced the term, and another
// log in that term after the restart, while a learner keeps the entries sent before.
func TestLeaderSendsNothingBeforeItsTermIsDurable(t *testing.T) {
	is := is.New(t)
	m := lwreplica.Membership{Voters: []lwreplica.Member{{ID: "r"}}, Learners: []lwreplica.Member{{ID: "s"}}}
	c := lwreplica.New(lwreplica.DefaultConfig("r", 1), lwreplica.PersistedState{Snapshot: lwreplica.Snapshot{Membership: m}}, 0)
	now := 2 * time.Second // after any election deadline
	out := c.Step(now, lwreplica.Tick{})
	is.Equal(c.Role(), lwreplica.Leader)
	out.Merge(c.Step(now, lwreplica.Propose{ID: 1, Data: []byte("command")}))
	out.Merge(c.Step(now, lwreplica.Flush{}))
	is.True(out.HardState != nil)
	is.Equal(len(out.Messages), 0)
	is.Equal(len(out.MessagesAfterSync), 2) // the first entry of the term, then the command
	out = c.Step(now, lwreplica.Propose{ID: 2, Data: []byte("command")})
	out.Merge(c.Step(now, lwreplica.Flush{}))
	is.Equal(len(out.Messages), 1) // of a durable term
}
