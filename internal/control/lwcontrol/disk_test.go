package lwcontrol

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

func TestFullDiskRefusesNewCommandsAndResumes(t *testing.T) {
	is := is.New(t)
	wal, contents, err := lwwal.Open(lwdisk.NewMemory(), lwwal.Identity{Replica: "r"})
	is.NoErr(err)
	contents.Restored.Snapshot.Membership = lwreplica.Membership{Voters: []lwreplica.Member{{ID: "r"}}}
	free := leastFree - 1
	r, err := newReplica(zap.NewNop(), wal, contents, nil, func() (lwunit.Bytes, error) { return free, nil }, lwreplica.DefaultConfig("r", 1))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.checkDisk()
	_, _, err = r.propose(ctx, lwstate.Sweep{})
	is.Equal(lwfault.KindOf(err), lwfault.Overloaded)
	free = leastFree
	r.checkDisk()
	go func() { _ = r.run(ctx) }()
	for lwfault.KindOf(err) != "" {
		if _, _, err = r.propose(ctx, lwstate.Sweep{}); err == nil {
			break
		}
		is.Equal(lwfault.KindOf(err), lwfault.NotLeader) // until the election
	}
	is.NoErr(err)
}
