package lwcontrol

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

func TestCommandsRefusedWhileDiskSpaceIsLow(t *testing.T) {
	is := is.New(t)
	wal, contents, err := lwwal.Open(lwdisk.NewMemory(), lwwal.Identity{Replica: "r"})
	is.NoErr(err)
	contents.State.Snapshot.Membership = lwreplica.Membership{Voters: []lwreplica.Member{{ID: "r"}}}
	free := minFreeDisk - 1
	r, err := newReplica(zap.NewNop(), wal, contents, nil, func() (lwunit.Bytes, error) { return free, nil }, lwreplica.DefaultConfig("r", 1))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.checkDisk()
	_, _, err = r.propose(ctx, lwstate.Sweep{})
	is.Equal(lwfault.KindOf(err), lwfault.Overloaded)
	free = minFreeDisk
	r.checkDisk()
	go func() { _ = r.run(ctx) }()
	for lwfault.KindOf(err) != "" {
		if _, _, err = r.propose(ctx, lwstate.Sweep{}); err == nil {
			break
		}
		is.Equal(lwfault.KindOf(err), lwfault.NotLeader) // until the replica is elected
	}
	is.NoErr(err)
}

// A replica must not end when a write finds no space: it refuses new commands with
// an error that says that they were not accepted, and continues with the pending
// ones once there is space.
func TestReplicaSurvivesFullDisk(t *testing.T) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	r := newSoleVoter(t, disk)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.run(ctx) }()
	propose := func() error {
		call, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		_, _, err := r.propose(call, lwstate.Sweep{})
		return err
	}
	eventually(t, "the replica leads", func() bool { return propose() == nil })
	disk.SetFault(func(_ int, kind, _ string) lwdisk.Fault {
		if kind == "write" {
			return lwdisk.Fault{Err: syscall.ENOSPC, WrittenBytes: 7}
		}
		return lwdisk.Fault{}
	})
	is.Equal(lwfault.KindOf(propose()), lwfault.Unavailable) // the outcome of the command whose write failed is unknown
	is.Equal(lwfault.KindOf(propose()), lwfault.NotLeader)   // the next one is refused
	disk.SetFault(nil)
	eventually(t, "the replica accepts commands again", func() bool { return propose() == nil })
	cancel()
	is.NoErr(<-ended)
}

// A write fails while a snapshot is being written in the background. The replica
// must not end before the snapshot does, since its owner closes the data folder next.
func TestReplicaThatFailsWaitsForSnapshot(t *testing.T) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	r := newSoleVoter(t, disk)
	failed := make(chan struct{})
	var once sync.Once
	errDisk := errors.New("input/output error")
	disk.SetFault(func(int, string, string) lwdisk.Fault {
		once.Do(func() { close(failed) })
		return lwdisk.Fault{Err: errDisk}
	})
	r.snapshotting = true
	ended := make(chan error, 1)
	go func() { ended <- r.run(t.Context()) }()
	<-failed
	select {
	case <-ended:
		t.Fatal("the replica ended while a snapshot was being written")
	case <-time.After(100 * time.Millisecond):
	}
	r.snapshotDone <- snapshotResult{}
	is.True(errors.Is(<-ended, errDisk))
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}
