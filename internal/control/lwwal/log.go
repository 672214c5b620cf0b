package lwwal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"syscall"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

const (
	formatVersion       = 1
	defaultSegmentBytes = 16 << 20
	entryHeaderBytes    = 17
)

var (
	walSyncs    = lwmetric.Counter("wal_syncs_total")
	walBytes    = lwmetric.Counter("wal_bytes_total")
	walTornTail = lwmetric.Counter("wal_torn_tails_total")
	walSegments = lwmetric.Counter("wal_segments_created_total")
)

// Identity names the replica that a data folder belongs to. It is drawn when
// the folder is formatted and never again, so an empty disk is a new replica.
type Identity struct {
	Format  int              `json:"format"`
	Cluster string           `json:"cluster"` // empty until the replica has joined a group
	Replica lwunit.ReplicaID `json:"replica"`
}

// Contents is what a log held when it was opened.
type Contents struct {
	Identity Identity
	Restored lwreplica.PersistedState
}

// Log is the durable state of one replica. It is not safe for concurrent use.
type Log struct {
	disk         lwdisk.Disk
	segmentBytes int64

	file   lwdisk.File
	seq    uint64
	size   int64 // bytes in the open segment
	synced int64 // bytes of it known to be durable
	hard   lwreplica.HardState
	failed error
}

// snapshotFile is the content of the snapshot file. Segments before
// FirstSegment are leftovers of a removal that a crash cut short; what they
// hold may contradict the snapshot.
type snapshotFile struct {
	Snapshot     lwreplica.Snapshot `json:"snapshot"`
	FirstSegment uint64             `json:"first_segment"`
}

// Open reads the log of a disk, cuts a torn tail and starts a new segment if
// there is none. A disk without an identity is formatted with fresh.
func Open(disk lwdisk.Disk, fresh Identity) (*Log, Contents, error) {
	l := &Log{disk: disk, segmentBytes: defaultSegmentBytes}
	names, err := disk.List()
	if err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	var c Contents
	if c.Identity, err = l.loadIdentity(names, fresh); err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	if c.Restored, err = l.load(names); err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	return l, c, nil
}

// SetSegmentBytes sets the size after which a new segment is started.
func (l *Log) SetSegmentBytes(n int64) { l.segmentBytes = n }

func (l *Log) loadIdentity(names []string, fresh Identity) (Identity, error) {
	for _, name := range names {
		if name != identityName {
			continue
		}
		var id Identity
		if err := l.readSealed(identityName, &id); err != nil {
			return Identity{}, err
		}
		if id.Format != formatVersion {
			return Identity{}, lwfault.New(lwfault.Invalid, "the data folder has format %d; this program reads %d", id.Format, formatVersion)
		}
		return id, nil
	}
	for _, name := range names {
		if _, ok := segmentSeq(name); ok || name == snapshotName {
			return Identity{}, &CorruptionError{identityName, 0, "the data folder has a log but no identity"}
		}
	}
	fresh.Format = formatVersion
	return fresh, l.SaveIdentity(fresh)
}

// SaveIdentity replaces the identity.
func (l *Log) SaveIdentity(id Identity) error {
	id.Format = formatVersion
	return l.writeSealed(identityName, id)
}

func (l *Log) readSealed(name string, v any) error {
	data, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	body, err := unseal(name, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &CorruptionError{name, 0, err.Error()}
	}
	return nil
}

func (l *Log) writeSealed(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	return lwdisk.WriteFile(l.disk, name, seal(data))
}

func (l *Log) load(names []string) (lwreplica.PersistedState, error) {
	var r lwreplica.PersistedState
	var segments []string
	var snap snapshotFile
	if slices.Contains(names, snapshotName) {
		if err := l.readSealed(snapshotName, &snap); err != nil {
			return r, err
		}
	}
	r.Snapshot = snap.Snapshot
	for _, name := range names {
		if seq, ok := segmentSeq(name); ok && seq >= snap.FirstSegment {
			segments = append(segments, name)
			l.seq = max(l.seq, seq)
		}
	}
	if len(segments) == 0 && snap.FirstSegment > 0 {
		return r, &CorruptionError{segmentName(snap.FirstSegment), 0, "the segment that the snapshot names is missing"}
	}
	for i, name := range segments {
		if err := l.loadSegment(name, i == len(segments)-1, &r); err != nil {
			return r, err
		}
	}
	l.hard = r.HardState
	if l.file != nil {
		return r, nil
	}
	return r, l.startSegment(r.Entries)
}

func (l *Log) loadSegment(name string, last bool, r *lwreplica.PersistedState) error {
	data, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	recs, good, err := scanSegment(name, data, last)
	if err != nil {
		return err
	}
	if last && beginsBehindGap(recs, r) {
		return l.drop(name)
	}
	for _, rec := range recs {
		if err := applyRecord(name, rec, r); err != nil {
			return err
		}
	}
	if !last {
		return nil
	}
	if good < len(segmentMagic) {
		// The crash came before the header was durable: nothing in here counts.
		return l.drop(name)
	}
	return l.reopen(name, good, len(data))
}

// beginsBehindGap reports whether a segment holds the entries that follow an
// installed snapshot which a crash kept from becoming durable. Nothing in such
// a segment was answered for.
func beginsBehindGap(recs []record, r *lwreplica.PersistedState) bool {
	for _, rec := range recs {
		if e, ok := decodeEntry(rec.payload); ok && rec.kind == kindEntry {
			return e.Index > r.Snapshot.Index+lwreplica.Index(len(r.Entries))+1
		}
	}
	return false
}

// reopen continues the last segment behind its last whole record.
func (l *Log) reopen(name string, good, size int) error {
	f, err := l.disk.Append(name)
	if err != nil {
		return err
	}
	if good < size {
		walTornTail.Add(1)
		if err := f.Truncate(int64(good)); err != nil {
			return fmt.Errorf("cut torn tail of %s: %w", name, err)
		}
	}
	// What was read may still be in the page cache only; it is answered for
	// from now on, so it is made durable first.
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	l.file, l.size, l.synced = f, int64(good), int64(good)
	return l.disk.SyncFolder()
}

func applyRecord(name string, rec record, r *lwreplica.PersistedState) error {
	switch rec.kind {
	case kindHardState:
		if err := json.Unmarshal(rec.payload, &r.HardState); err != nil {
			return &CorruptionError{name, 0, err.Error()}
		}
	case kindEntry:
		e, ok := decodeEntry(rec.payload)
		if !ok {
			return &CorruptionError{name, 0, "an entry is shorter than its header"}
		}
		return addEntry(name, e, r)
	default:
		return &CorruptionError{name, 0, fmt.Sprintf("record of unknown kind %d", rec.kind)}
	}
	return nil
}

// addEntry puts e at its index; it replaces that entry and all that follow.
func addEntry(name string, e lwreplica.Entry, r *lwreplica.PersistedState) error {
	if e.Index <= r.Snapshot.Index {
		r.Entries = nil // what followed the replaced entry is void too
		return nil
	}
	at := int(e.Index - r.Snapshot.Index - 1)
	if at > len(r.Entries) {
		return &CorruptionError{name, 0, fmt.Sprintf("entry %d follows a gap", e.Index)}
	}
	r.Entries = append(r.Entries[:at], e)
	return nil
}

func appendEntryRecord(buf []byte, synced int64, e lwreplica.Entry) []byte {
	payload := make([]byte, 0, entryHeaderBytes+len(e.Data))
	payload = binary.BigEndian.AppendUint64(payload, uint64(e.Index))
	payload = binary.BigEndian.AppendUint64(payload, uint64(e.Term))
	payload = append(payload, byte(e.Kind))
	payload = append(payload, e.Data...)
	return appendRecord(buf, kindEntry, synced, payload)
}

func decodeEntry(p []byte) (lwreplica.Entry, bool) {
	if len(p) < entryHeaderBytes {
		return lwreplica.Entry{}, false
	}
	return lwreplica.Entry{
		Index: lwreplica.Index(binary.BigEndian.Uint64(p)),
		Term:  lwreplica.Term(binary.BigEndian.Uint64(p[8:])),
		Kind:  lwreplica.EntryKind(p[16]),
		Data:  append([]byte(nil), p[entryHeaderBytes:]...),
	}, true
}

func (l *Log) appendHardState(buf []byte, hard lwreplica.HardState) ([]byte, error) {
	payload, err := json.Marshal(hard)
	if err != nil {
		return nil, fmt.Errorf("encode hard state: %w", err)
	}
	return appendRecord(buf, kindHardState, l.synced, payload), nil
}

// IsNoSpace reports whether an error of this package means that the disk was
// full. The log then is as it was before the call, and the call may be repeated.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// fail keeps an error after which the log accepts nothing more: a failed sync
// is never retried.
func (l *Log) fail(err error) error {
	if !IsNoSpace(err) {
		l.failed = err
	}
	return err
}

// Save makes a hard state and entries durable with one sync.
func (l *Log) Save(hard *lwreplica.HardState, entries []lwreplica.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if l.failed != nil {
		return errClosed()
	}
	var buf []byte
	if hard != nil {
		var err error
		if buf, err = l.appendHardState(buf, *hard); err != nil {
			return err
		}
	}
	for _, e := range entries {
		buf = appendEntryRecord(buf, l.synced, e)
	}
	if err := l.write(buf); err != nil {
		return fmt.Errorf("save to log: %w", l.fail(err))
	}
	if hard != nil {
		l.hard = *hard
	}
	if l.size >= l.segmentBytes {
		// A full disk leaves the segment long; what was asked for is durable.
		if err := l.startSegment(nil); err != nil && !IsNoSpace(err) {
			return fmt.Errorf("start segment: %w", l.fail(err))
		}
	}
	return nil
}

// write appends to the open segment and syncs it. What a full disk took of the
// bytes is cut off again.
func (l *Log) write(buf []byte) error {
	n, err := l.file.Write(buf)
	if IsNoSpace(err) {
		if e := l.file.Truncate(l.size); e != nil {
			return fmt.Errorf("cut what a full disk took: %w", e)
		}
		return err
	}
	l.size += int64(n)
	if err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		if IsNoSpace(err) {
			return fmt.Errorf("sync failed: %v", err) // nobody knows what is on the disk: not to be repeated
		}
		return err
	}
	l.synced = l.size
	walSyncs.Add(1)
	walBytes.Add(int64(n))
	return nil
}

// startSegment begins a new segment with the hard state and entries, so that
// older segments are not needed for them. If the disk is full the old segment
// stays open.
func (l *Log) startSegment(entries []lwreplica.Entry) error {
	l.seq++
	name := segmentName(l.seq)
	f, err := l.disk.Append(name)
	if err != nil {
		return err
	}
	old := *l
	l.file, l.size, l.synced = f, 0, 0
	buf, err := l.appendHardState([]byte(segmentMagic), l.hard)
	if err != nil {
		return err
	}
	for _, e := range entries {
		buf = appendEntryRecord(buf, 0, e)
	}
	if err := l.write(buf); err != nil {
		if IsNoSpace(err) && old.file != nil {
			_ = f.Close()
			l.file, l.size, l.synced = old.file, old.size, old.synced
			if e := l.drop(name); e != nil {
				return e
			}
		}
		return err
	}
	if old.file != nil {
		_ = old.file.Close()
	}
	walSegments.Add(1)
	return l.disk.SyncFolder()
}

// drop removes a segment for good.
func (l *Log) drop(name string) error {
	if err := l.disk.Remove(name); err != nil {
		return err
	}
	return l.disk.SyncFolder()
}

// SaveSnapshot replaces everything up to the snapshot's index.
func (l *Log) SaveSnapshot(s lwreplica.Snapshot, following []lwreplica.Entry) error {
	seq, err := l.BeginSnapshot(following)
	if err != nil {
		return err
	}
	if err := l.WriteSnapshot(s, seq); err != nil {
		return l.fail(err)
	}
	return l.EndSnapshot(seq)
}

// BeginSnapshot starts the segment that will follow a snapshot, with the
// entries after the snapshot's index. Until EndSnapshot the older segments
// stay, so a crash in between loses nothing.
func (l *Log) BeginSnapshot(following []lwreplica.Entry) (seq uint64, err error) {
	if l.failed != nil {
		return 0, errClosed()
	}
	if err := l.startSegment(following); err != nil {
		return 0, fmt.Errorf("begin snapshot: %w", l.fail(err))
	}
	return l.seq, nil
}

// WriteSnapshot makes the snapshot durable. It may run beside Save, but not
// beside another WriteSnapshot or SaveSnapshot.
func (l *Log) WriteSnapshot(s lwreplica.Snapshot, seq uint64) error {
	if err := l.writeSealed(snapshotName, snapshotFile{s, seq}); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// EndSnapshot removes the segments that a durable snapshot made unnecessary.
func (l *Log) EndSnapshot(seq uint64) error {
	if l.failed != nil {
		return errClosed()
	}
	if err := l.removeBefore(seq); err != nil {
		return fmt.Errorf("end snapshot: %w", l.fail(err))
	}
	return nil
}

func (l *Log) removeBefore(first uint64) error {
	names, err := l.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if seq, ok := segmentSeq(name); (ok && seq < first) || lwdisk.IsTemporary(name) {
			if err := l.disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return l.disk.SyncFolder()
}

// Close closes the open segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
