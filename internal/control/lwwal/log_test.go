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

var fresh = lwwal.Identity{Replica: "r1"}

func entry(i lwreplica.Index, t lwreplica.Term) lwreplica.Entry {
	return lwreplica.Entry{Index: i, Term: t, Data: fmt.Appendf(nil, "command %d of term %d", i, t)}
}

// model is what the caller of the log was told is durable, and what it asked
// for last: after a crash either may be found, never less than the first.
type model struct {
	acked, asked lwreplica.PersistedState
}

func (m *model) put(hard *lwreplica.HardState, entries ...lwreplica.Entry) {
	r := &m.asked
	if hard != nil {
		r.HardState = *hard
	}
	for _, e := range entries {
		at := e.Index - r.Snapshot.Index - 1
		r.Entries = append(append([]lwreplica.Entry(nil), r.Entries[:at]...), e)
	}
}

type script struct {
	log *lwwal.Log
	m   model
}

func (s *script) save(hard *lwreplica.HardState, entries ...lwreplica.Entry) error {
	s.m.put(hard, entries...)
	if err := s.log.Save(hard, entries); err != nil {
		return err
	}
	s.m.acked = s.m.asked
	return nil
}

func (s *script) snapshot(i lwreplica.Index) error {
	r := &s.m.asked
	at := i - r.Snapshot.Index
	snap := lwreplica.Snapshot{Index: i, Term: r.Entries[at-1].Term, Data: fmt.Appendf(nil, "state %d", i)}
	r.Snapshot, r.Entries = snap, append([]lwreplica.Entry(nil), r.Entries[at:]...)
	if err := s.log.SaveSnapshot(snap, r.Entries); err != nil {
		return err
	}
	s.m.acked = s.m.asked
	return nil
}

// install takes a snapshot from elsewhere that contradicts the log.
func (s *script) install(i lwreplica.Index, t lwreplica.Term) error {
	snap := lwreplica.Snapshot{Index: i, Term: t, Data: []byte("installed")}
	s.m.asked.Snapshot, s.m.asked.Entries = snap, nil
	if err := s.log.SaveSnapshot(snap, nil); err != nil {
		return err
	}
	s.m.acked = s.m.asked
	return nil
}

// run does a little of everything and stops at the first error.
func (s *script) run() error {
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

func open(disk lwdisk.Disk) (*script, error) {
	log, c, err := lwwal.Open(disk, fresh)
	if err != nil {
		return nil, err
	}
	log.SetSegmentBytes(200)
	return &script{log: log, m: model{c.Restored, c.Restored}}, nil
}

func sameRestored(a, b lwreplica.PersistedState) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// holdsPrefix reports whether got is what was acknowledged, or that and a
// part of what was asked for when the crash came.
func holdsPrefix(got lwreplica.PersistedState, m model) bool {
	if sameRestored(got, m.acked) || sameRestored(got, m.asked) {
		return true
	}
	if got.Snapshot.Index != m.acked.Snapshot.Index {
		return false
	}
	hardOK := got.HardState == m.acked.HardState || got.HardState == m.asked.HardState
	n := len(got.Entries)
	byAcked := reflect.DeepEqual(got.Entries, m.acked.Entries)
	byAsked := n >= common(m.acked.Entries, m.asked.Entries) && n <= len(m.asked.Entries) && reflect.DeepEqual(got.Entries, m.asked.Entries[:n])
	return hardOK && (byAsked || byAcked)
}

// common returns how many leading entries a and b share.
func common(a, b []lwreplica.Entry) int {
	n := 0
	for n < len(a) && n < len(b) && reflect.DeepEqual(a[n], b[n]) {
		n++
	}
	return n
}

func TestLogSurvivesAFaultAtEveryOperation(t *testing.T) {
	total := 0
	count := lwdisk.NewMemory()
	count.SetFault(func(op int, _, _ string) lwdisk.Fault { total = op; return lwdisk.Fault{} })
	s, err := open(count)
	is.New(t).NoErr(err)
	is.New(t).NoErr(s.run())

	for _, kept := range []int{0, 1, 9, 30} {
		for at := 1; at <= total; at++ {
			t.Run(fmt.Sprintf("operation %d keeps %d bytes", at, kept), func(t *testing.T) {
				checkFault(t, at, kept)
			})
		}
	}
}

func checkFault(t *testing.T, at, kept int) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	disk.SetFault(func(op int, _, _ string) lwdisk.Fault {
		if op == at {
			return lwdisk.Fault{Err: syscall.EIO, Keep: kept}
		}
		return lwdisk.Fault{}
	})
	var m model
	s, err := open(disk)
	if err == nil {
		err = s.run()
		m = s.m
	}
	is.True(err != nil) // the fault must reach the caller
	disk.Crash(func(_ string, unsynced int) int { return min(unsynced, kept) })
	again, err := open(disk)
	is.NoErr(err)
	is.True(holdsPrefix(again.m.acked, m)) // nothing acknowledged is lost
	is.NoErr(again.save(&lwreplica.HardState{Term: 9}, entry(again.next(), 9)))
}

func (s *script) next() lwreplica.Index {
	return s.m.asked.Snapshot.Index + lwreplica.Index(len(s.m.asked.Entries)) + 1
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
	is.True(s.save(nil, entry(1, 1)) != nil) // the second sync would succeed and must not be tried
}

// A full disk at any operation leaves the log usable and as it was.
func TestFullDiskMayBeRetried(t *testing.T) {
	full := func(kind string) func(int, string, string) lwdisk.Fault {
		return func(_ int, k, _ string) lwdisk.Fault {
			if k == kind {
				return lwdisk.Fault{Err: syscall.ENOSPC, Keep: 5}
			}
			return lwdisk.Fault{}
		}
	}
	for _, kind := range []string{"write", "append"} {
		t.Run("no "+kind, func(t *testing.T) {
			is := is.New(t)
			disk := lwdisk.NewMemory()
			s, err := open(disk)
			is.NoErr(err)
			is.NoErr(s.save(&lwreplica.HardState{Term: 1}, entry(1, 1), entry(2, 1)))
			disk.SetFault(full(kind))
			if err := s.save(&lwreplica.HardState{Term: 2}, entry(3, 2)); kind == "write" {
				is.True(lwwal.IsNoSpace(err))
			}
			is.True(lwwal.IsNoSpace(s.snapshot(2)))
			disk.SetFault(nil)
			is.NoErr(s.save(&lwreplica.HardState{Term: 2}, entry(3, 2)))
			is.NoErr(s.snapshot(3))
			is.NoErr(s.save(nil, entry(4, 2)))
			disk.Crash(nil)
			again, err := open(disk)
			is.NoErr(err)
			is.True(sameRestored(again.m.acked, s.m.acked))
		})
	}
}

// A crash while a snapshot is installed, with entries that follow it, finds
// the log as it was before.
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
		again, err := open(disk)
		is.NoErr(err)
		is.True(sameRestored(again.m.acked, s.m.acked))
		is.NoErr(again.save(nil, entry(2, 1)))
		s.m = again.m
	}
}

func TestDamage(t *testing.T) {
	const segment = "log-00000000000000000001.seg"
	build := func() *lwdisk.Memory {
		disk := lwdisk.NewMemory()
		log, _, err := lwwal.Open(disk, fresh)
		is.New(t).NoErr(err)
		for i := lwreplica.Index(1); i <= 5; i++ {
			is.New(t).NoErr(log.Save(nil, []lwreplica.Entry{entry(i, 1)}))
		}
		return disk
	}
	t.Run("in the middle is an error with file and offset", func(t *testing.T) {
		is := is.New(t)
		disk := build()
		disk.Corrupt(segment, 100)
		_, _, err := lwwal.Open(disk, fresh)
		var damage *lwwal.CorruptionError
		is.True(errors.As(err, &damage))
		is.Equal(damage.File, segment)
		is.True(damage.Offset > 0 && damage.Offset <= 100)
	})
	t.Run("a torn tail is cut", func(t *testing.T) {
		is := is.New(t)
		disk := build()
		f, err := disk.Append(segment)
		is.NoErr(err)
		_, err = f.Write([]byte("half a rec"))
		is.NoErr(err)
		size := disk.Size(segment)
		_, c, err := lwwal.Open(disk, fresh)
		is.NoErr(err)
		is.Equal(len(c.Restored.Entries), 5)
		is.Equal(disk.Size(segment), size-len("half a rec"))
	})
	t.Run("a log without identity is refused", func(t *testing.T) {
		is := is.New(t)
		disk := build()
		is.NoErr(disk.Remove("identity"))
		_, _, err := lwwal.Open(disk, fresh)
		is.True(err != nil)
	})
}

func TestIdentityIsDrawnOnce(t *testing.T) {
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
