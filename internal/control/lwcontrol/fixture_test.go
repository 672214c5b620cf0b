package lwcontrol

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

// newTestReplica returns replica r, which has enough free space and is not running. With
// no voters it belongs to no group.
func newTestReplica(t *testing.T, disk lwdisk.Disk, log *zap.Logger, voters ...lwreplica.Member) *replica {
	t.Helper()
	is := is.New(t)
	wal, contents, err := lwwal.Open(disk, lwwal.Identity{Replica: "r"})
	is.NoErr(err)
	contents.State.Snapshot.Membership.Voters = voters
	free := func() (lwunit.Bytes, error) { return minFreeDisk, nil }
	r, err := newReplica(log, wal, contents, nil, free, lwreplica.DefaultConfig("r", 1))
	is.NoErr(err)
	return r
}

// newSoleVoter returns the only voter of a group.
func newSoleVoter(t *testing.T, disk lwdisk.Disk) *replica {
	t.Helper()
	return newTestReplica(t, disk, zap.NewNop(), lwreplica.Member{ID: "r"})
}

// runReplica runs r until the test ends.
func runReplica(t *testing.T, r *replica) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
}

// proposeAs proposes a command as a client does.
func proposeAs(t *testing.T, n *Node, c lwstate.Command) error {
	t.Helper()
	params, err := lwlink.EncodeProposal(c)
	if err != nil {
		t.Fatal(err)
	}
	_, err = n.onPropose(t.Context(), nil, params)
	return err
}
