package lwreplica_test

import (
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// Two leaders may encode their snapshots of one index differently, for example while the
// program is upgraded. A follower must not join the parts of both: it would store a
// snapshot that it cannot decode.
func TestSnapshotIsNotJoinedFromTwoLeaders(t *testing.T) {
	is := is.New(t)
	m := lwreplica.Membership{Voters: []lwreplica.Member{{ID: "a"}, {ID: "b"}, {ID: "f"}}}
	f := lwreplica.New(lwreplica.DefaultConfig("f", 1), lwreplica.PersistedState{Snapshot: lwreplica.Snapshot{Membership: m}}, 0)
	receive := func(from lwunit.ReplicaID, term lwreplica.Term, offset int, data string) lwreplica.Output {
		return f.Step(0, lwreplica.Receive{Envelope: lwreplica.Envelope{From: from, To: "f", Body: lwreplica.SnapshotChunk{
			Term: term, Index: 5, LogTerm: 1, Membership: m, Offset: offset, Total: 8, Data: []byte(data),
		}}})
	}
	needs := func(out lwreplica.Output) int {
		is.Helper()
		is.Equal(len(out.MessagesAfterSync), 1)
		ack, ok := out.MessagesAfterSync[0].Body.(lwreplica.SnapshotAck)
		is.True(ok)
		return ack.Offset
	}
	is.Equal(needs(receive("a", 1, 0, "aaaa")), 4)
	out := receive("b", 2, 0, "bbb")
	for out.Snapshot == nil {
		at := needs(out)
		out = receive("b", 2, at, "bbbbbbbb"[at:min(8, at+3)])
	}
	is.Equal(string(out.Snapshot.Data), "bbbbbbbb")
}
