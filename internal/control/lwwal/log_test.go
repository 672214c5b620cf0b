package lwwal_test

import (
	"errors"
	"fmt"
	"reflect"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

var initialIdentity = lwwal.Identity{Replica: "r1"}

func entry(i lwreplica.Index, t lwreplica.Term) lwreplica.Entry {
	return lwreplica.Entry{Index: i, Term: t, Data: fmt.Appendf(nil, "command %d of term %d", i, t)}
}

// model holds the state that the log acknowledged as durable and the state after
// the latest request. After a crash the log must hold either, or a state between.
type model struct {
	acked, requested lwreplica.PersistedState
}

func (m *model) request(hard *lwreplica.HardState, entries ...lwreplica.Entry) {
	r := &m.requested
	if hard != nil {
		r.HardState = *hard
	}
	for _, e := range entries {
		at := e.Index - r.Snapshot.Index - 1
		r.Entries = append(append([]lwreplica.Entry(nil), r.Entries[:at]...), e)
	}
}

// modeledLog applies each operation to a log and to its model.
type modeledLog struct {
	log   *lwwal.Log
	model model
}

func (s *modeledLog) save(hard *lwreplica.HardState, entries ...lwreplica.Entry) error {
	s.model.request(hard, entries...)
	if err := s.log.Save(hard, entries); err != nil {
		return err
	}
	s.model.acked = s.model.requested
	return nil
}

func (s *modeledLog) snapshot(i lwreplica.Index) error {
	r := &s.model.requested
	at := i - r.Snapshot.Index
	snap := lwreplica.Snapshot{Index: i, Term: r.Entries[at-1].Term, Data: fmt.Appendf(nil, "state %d", i)}
	r.Snapshot, r.Entries = snap, append([]lwreplica.Entry(nil), r.Entries[at:]...)
	if err := s.log.SaveSnapshot(snap, r.Entries); err != nil {
		return err
	}
	s.model.acked = s.model.requested
	return nil
}

// install saves a snapshot, as from the leader, that contradicts the log.
func (s *modeledLog) install(i lwreplica.Index, t lwreplica.Term) error {
	snap := lwreplica.Snapshot{Index: i, Term: t, Data: []byte("installed")}
	s.model.requested.Snapshot, s.model.requested.Entries = snap, nil
	if err := s.log.SaveSnapshot(snap, nil); err != nil {
		return err
	}
	s.model.acked = s.model.requested
	return nil
}

// runAll makes every kind of change to the log and stops at the first error.
func (s *modeledLog) runAll() error {
	steps := []func() error{
		func() error { return s.save(&lwreplica.HardState{Term: 1, Voted: "r1"}) },
		func() error { return s.save(nil, entry(1, 1), entry(2, 1), entry(3, 1)) },
		func() error { return s.save(nil, entry(4, 1), entry(5, 1)) },
		func() error { return s.save(&lwreplica.HardState{Term: 2}, entry(4, 2)) },
		func() error { return s.snapshot(3) },
		func() error { return s.save(nil, entry(5, 2), entry(6, 2), entry(7, 2)) },
		func() error { return s.snapshot(6) },
		func() error { return s.save(&lwreplica.HardState{Term: 3, Voted: "r2"}, entry(8, 3)) },
		func() error { return s.install(20, 4) },
		func() error { return s.save(nil, entry(21, 4)) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func open(disk lwdisk.Disk) (*modeledLog, error) {
	log, c, err := lwwal.Open(disk, initialIdentity)
	if err != nil {
		return nil, err
	}
	log.SetSegmentBytes(200)
	return &modeledLog{log: log, model: model{c.State, c.State}}, nil
}

func sameState(a, b lwreplica.PersistedState) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// possibleAfterCrash reports whether got is the acknowledged state, or that with a
// part of the request during which the crash came.
func possibleAfterCrash(got lwreplica.PersistedState, m model) bool {
	if sameState(got, m.acked) || sameState(got, m.requested) {
		return true
	}
	if got.Snapshot.Index != m.acked.Snapshot.Index {
		return false
	}
	hardOK := got.HardState == m.acked.HardState || got.HardState == m.requested.HardState
	n := len(got.Entries)
	entriesAcked := reflect.DeepEqual(got.Entries, m.acked.Entries)
	entriesRequested := n >= commonPrefix(m.acked.Entries, m.requested.Entries) && n <= len(m.requested.Entries) && reflect.DeepEqual(got.Entries, m.requested.Entries[:n])
	return hardOK && (entriesRequested || entriesAcked)
}

// commonPrefix returns how many leading entries a and b share.
func commonPrefix(a, b []lwreplica.Entry) int {
	n := 0
	for n < len(a) && n < len(b) && reflect.DeepEqual(a[n], b[n]) {
		n++
	}
	return n
}

func TestLogSurvivesAFaultAtEveryOperation(t *testing.T) {
	total := 0
	countingDisk := lwdisk.NewMemory()
	countingDisk.SetFault(func(op int, _, _ string) lwdisk.Fault { total = op; return lwdisk.Fault{} })
	s, err := open(countingDisk)
	is.New(t).NoErr(err)
	is.New(t).NoErr(s.runAll())

	for _, keptBytes := range []int{0, 1, 9, 30} {
		for at := 1; at <= total; at++ {
			t.Run(fmt.Sprintf("fault at operation %d, %d bytes kept", at, keptBytes), func(t *testing.T) {
				checkFault(t, at, keptBytes)
			})
		}
	}
}

func checkFault(t *testing.T, at, keptBytes int) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	disk.SetFault(func(op int, _, _ string) lwdisk.Fault {
		if op == at {
			return lwdisk.Fault{Err: syscall.EIO, WrittenBytes: keptBytes}
		}
		return lwdisk.Fault{}
	})
	var m model
	s, err := open(disk)
	if err == nil {
		err = s.runAll()
		m = s.model
	}
	is.True(err != nil) // the fault is returned to the caller
	disk.Crash(func(_ string, unsynced int) int { return min(unsynced, keptBytes) })
	reopened, err := open(disk)
	is.NoErr(err)
	is.True(possibleAfterCrash(reopened.model.acked, m)) // nothing acknowledged is lost
	is.NoErr(reopened.save(&lwreplica.HardState{Term: 9}, entry(reopened.nextIndex(), 9)))
}

func (s *modeledLog) nextIndex() lwreplica.Index {
	return s.model.requested.Snapshot.Index + lwreplica.Index(len(s.model.requested.Entries)) + 1
}

func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	s, err := open(disk)
	is.NoErr(err)
	disk.SetFault(func(op int, kind, _ string) lwdisk.Fault {
		if kind == "sync" && op == 2 {
			return lwdisk.Fault{Err: syscall.EIO}
		}
		return lwdisk.Fault{}
	})
	is.True(s.save(nil, entry(1, 1)) != nil)
	is.True(s.save(nil, entry(1, 1)) != nil) // a second sync would succeed but must not be tried
}

// TestFullDiskMayBeRetried checks that an operation which failed on a full disk
// leaves the state as it was, and that the log can be used further.
func TestFullDiskMayBeRetried(t *testing.T) {
	noSpaceOn := func(kind string) func(int, string, string) lwdisk.Fault {
		return func(_ int, got, _ string) lwdisk.Fault {
			if got == kind {
				return lwdisk.Fault{Err: syscall.ENOSPC, WrittenBytes: 5}
			}
			return lwdisk.Fault{}
		}
	}
	for _, kind := range []string{"write", "append"} {
		t.Run("no space on "+kind, func(t *testing.T) {
			is := is.New(t)
			disk := lwdisk.NewMemory()
			s, err := open(disk)
			is.NoErr(err)
			is.NoErr(s.save(&lwreplica.HardState{Term: 1}, entry(1, 1), entry(2, 1)))
			disk.SetFault(noSpaceOn(kind))
			if err := s.save(&lwreplica.HardState{Term: 2}, entry(3, 2)); kind == "write" {
				is.True(lwwal.IsNoSpace(err))
			}
			is.True(lwwal.IsNoSpace(s.snapshot(2)))
			disk.SetFault(nil)
			is.NoErr(s.save(&lwreplica.HardState{Term: 2}, entry(3, 2)))
			is.NoErr(s.snapshot(3))
			is.NoErr(s.save(nil, entry(4, 2)))
			disk.Crash(nil)
			reopened, err := open(disk)
			is.NoErr(err)
			is.True(sameState(reopened.model.acked, s.model.acked))
		})
	}
}

// TestCrashBetweenEntriesAndTheirSnapshot checks that a crash after the entries that
// follow a snapshot are durable, but before the snapshot is, leaves the log as it
// was: the entries do not continue that log and must not be reported as damage.
func TestCrashBetweenEntriesAndTheirSnapshot(t *testing.T) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	s, err := open(disk)
	is.NoErr(err)
	is.NoErr(s.save(nil, entry(1, 1)))
	disk.SetFault(func(_ int, kind, _ string) lwdisk.Fault {
		if kind == "rename" {
			return lwdisk.Fault{Err: syscall.EIO}
		}
		return lwdisk.Fault{}
	})
	is.True(s.log.SaveSnapshot(lwreplica.Snapshot{Index: 20, Term: 4}, []lwreplica.Entry{entry(21, 4)}) != nil)
	disk.Crash(nil)
	for range 2 {
		reopened, err := open(disk)
		is.NoErr(err)
		is.True(sameState(reopened.model.acked, s.model.acked))
		is.NoErr(reopened.save(nil, entry(2, 1)))
		s.model = reopened.model
	}
}

func TestDamage(t *testing.T) {
	const segment = "log-00000000000000000001.seg"
	build := func() *lwdisk.Memory {
		disk := lwdisk.NewMemory()
		log, _, err := lwwal.Open(disk, initialIdentity)
		is.New(t).NoErr(err)
		for i := lwreplica.Index(1); i <= 5; i++ {
			is.New(t).NoErr(log.Save(nil, []lwreplica.Entry{entry(i, 1)}))
		}
		return disk
	}
	t.Run("damage in synced data is an error with file and offset", func(t *testing.T) {
		is := is.New(t)
		disk := build()
		disk.Corrupt(segment, 100)
		_, _, err := lwwal.Open(disk, initialIdentity)
		var damage *lwwal.CorruptionError
		is.True(errors.As(err, &damage))
		is.Equal(damage.File, segment)
		is.True(damage.Offset > 0 && damage.Offset <= 100)
	})
	t.Run("a torn tail is cut off", func(t *testing.T) {
		is := is.New(t)
		disk := build()
		f, err := disk.OpenAppend(segment)
		is.NoErr(err)
		_, err = f.Write([]byte("half a rec"))
		is.NoErr(err)
		size := disk.Size(segment)
		_, c, err := lwwal.Open(disk, initialIdentity)
		is.NoErr(err)
		is.Equal(len(c.State.Entries), 5)
		is.Equal(disk.Size(segment), size-len("half a rec"))
	})
	t.Run("a log without an identity is an error", func(t *testing.T) {
		is := is.New(t)
		disk := build()
		is.NoErr(disk.Remove("identity"))
		_, _, err := lwwal.Open(disk, initialIdentity)
		is.True(err != nil)
	})
}

func TestIdentityIsCreatedOnce(t *testing.T) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	_, _, err := lwwal.Open(disk, lwwal.Identity{Replica: "first"})
	is.NoErr(err)
	_, c, err := lwwal.Open(disk, lwwal.Identity{Replica: "second"})
	is.NoErr(err)
	is.Equal(string(c.Identity.Replica), "first")
}

func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	f, err := lwdisk.OpenFolder(path)
	is.NoErr(err)
	_, err = lwdisk.OpenFolder(path)
	is.True(err != nil)
	is.NoErr(f.Close())
}
