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
	formatVersion       = 1        // Identity.Format
	defaultSegmentBytes = 16 << 20 // size at which the next segment is started
	entryHeaderBytes    = 17       // index, term and kind of an entry, before its data
)

var (
	walSyncs     = lwmetric.Counter("wal_syncs_total")
	walBytes     = lwmetric.Counter("wal_bytes_total")
	walTornTails = lwmetric.Counter("wal_torn_tails_total")
	walSegments  = lwmetric.Counter("wal_segments_created_total")
)

// Identity identifies the replica that a data folder belongs to. The replica ID is
// set when the folder is formatted, so a replica with an empty disk is a new one.
type Identity struct {
	Format  int              `json:"format"`
	Cluster string           `json:"cluster"` // empty until the replica has joined a group
	Replica lwunit.ReplicaID `json:"replica"`
}

// Contents is the identity and the state that a log held when it was opened.
type Contents struct {
	Identity Identity
	State    lwreplica.PersistedState
}

// Log is the durable state of one replica. It is not safe for concurrent use,
// except as WriteSnapshot says.
type Log struct {
	disk         lwdisk.Disk
	segmentBytes int64

	segment     lwdisk.File // open for appending
	segmentSeq  uint64      // number of the latest segment
	segmentSize int64       // bytes written to the segment
	syncedSize  int64       // bytes of it known to be durable
	hardState   lwreplica.HardState
	failure     error // once set, Save, BeginSnapshot and EndSnapshot are refused
}

// snapshotFile is the content of the snapshot file. Segments before FirstSegment
// are ignored: they remain if a crash came before their removal, and their entries
// may contradict the snapshot.
type snapshotFile struct {
	Snapshot     lwreplica.Snapshot `json:"snapshot"`
	FirstSegment uint64             `json:"first_segment"`
}

// Open reads the log of a disk, cuts off a torn tail and starts a new segment if
// there is none to continue. A disk that holds no log is formatted with the
// identity initial.
func Open(disk lwdisk.Disk, initial Identity) (*Log, Contents, error) {
	l := &Log{disk: disk, segmentBytes: defaultSegmentBytes}
	names, err := disk.List()
	if err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	var c Contents
	if c.Identity, err = l.loadOrCreateIdentity(names, initial); err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	if c.State, err = l.loadState(names); err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	return l, c, nil
}

// SetSegmentBytes sets the size at which the next segment is started.
func (l *Log) SetSegmentBytes(n int64) { l.segmentBytes = n }

func (l *Log) loadOrCreateIdentity(names []string, initial Identity) (Identity, error) {
	for _, name := range names {
		if name != identityName {
			continue
		}
		var id Identity
		if err := l.readChecksummed(identityName, &id); err != nil {
			return Identity{}, err
		}
		if id.Format != formatVersion {
			return Identity{}, lwfault.New(lwfault.Invalid, "the data folder has format %d; this program reads only format %d", id.Format, formatVersion)
		}
		return id, nil
	}
	for _, name := range names {
		if _, ok := parseSegmentName(name); ok || name == snapshotName {
			return Identity{}, &CorruptionError{identityName, 0, "the data folder has a log but no identity"}
		}
	}
	initial.Format = formatVersion
	return initial, l.SaveIdentity(initial)
}

// SaveIdentity replaces the identity durably.
func (l *Log) SaveIdentity(id Identity) error {
	id.Format = formatVersion
	return l.writeChecksummed(identityName, id)
}

func (l *Log) readChecksummed(name string, v any) error {
	data, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	body, err := verifyChecksum(name, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &CorruptionError{name, 0, err.Error()}
	}
	return nil
}

func (l *Log) writeChecksummed(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	return lwdisk.WriteFile(l.disk, name, addChecksum(data))
}

func (l *Log) loadState(names []string) (lwreplica.PersistedState, error) {
	var state lwreplica.PersistedState
	var segments []string
	var snap snapshotFile
	if slices.Contains(names, snapshotName) {
		if err := l.readChecksummed(snapshotName, &snap); err != nil {
			return state, err
		}
	}
	state.Snapshot = snap.Snapshot
	for _, name := range names {
		if seq, ok := parseSegmentName(name); ok && seq >= snap.FirstSegment {
			segments = append(segments, name)
			l.segmentSeq = max(l.segmentSeq, seq)
		}
	}
	if len(segments) == 0 && snap.FirstSegment > 0 {
		return state, &CorruptionError{segmentName(snap.FirstSegment), 0, "the first segment after the snapshot is missing"}
	}
	for i, name := range segments {
		if err := l.loadSegment(name, i == len(segments)-1, &state); err != nil {
			return state, err
		}
	}
	l.hardState = state.HardState
	if l.segment != nil {
		return state, nil
	}
	return state, l.startSegment(state.Entries)
}

func (l *Log) loadSegment(name string, last bool, state *lwreplica.PersistedState) error {
	data, err := l.disk.Read(name)
	if err != nil {
		return err
	}
	recs, validSize, err := scanSegment(name, data, last)
	if err != nil {
		return err
	}
	if last && startsAfterGap(recs, state) {
		return l.removeSegment(name)
	}
	for _, rec := range recs {
		if err := applyRecord(name, rec, state); err != nil {
			return err
		}
	}
	if !last {
		return nil
	}
	if validSize < len(segmentMagic) {
		// The crash came before the header was durable, so nothing in this segment
		// was ever reported as saved.
		return l.removeSegment(name)
	}
	return l.resumeSegment(name, validSize, len(data))
}

// startsAfterGap reports whether the first entry of a segment does not continue
// the log. The segment was then started for a snapshot from the leader, and a
// crash came before that snapshot was durable. Nothing in such a segment was
// reported as saved.
func startsAfterGap(recs []record, state *lwreplica.PersistedState) bool {
	for _, rec := range recs {
		if e, ok := decodeEntry(rec.payload); ok && rec.kind == kindEntry {
			return e.Index > state.Snapshot.Index+lwreplica.Index(len(state.Entries))+1
		}
	}
	return false
}

// resumeSegment continues the last segment after its last valid record.
func (l *Log) resumeSegment(name string, validSize, size int) error {
	f, err := l.disk.OpenAppend(name)
	if err != nil {
		return err
	}
	if validSize < size {
		walTornTails.Add(1)
		if err := f.Truncate(int64(validSize)); err != nil {
			return fmt.Errorf("truncate torn tail of %s: %w", name, err)
		}
	}
	// The data that was read may be only in the page cache. The replica will rely on
	// it in its answers to other replicas, so it is synced first.
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	l.segment, l.segmentSize, l.syncedSize = f, int64(validSize), int64(validSize)
	return l.disk.SyncFolder()
}

func applyRecord(name string, rec record, state *lwreplica.PersistedState) error {
	switch rec.kind {
	case kindHardState:
		if err := json.Unmarshal(rec.payload, &state.HardState); err != nil {
			return &CorruptionError{name, 0, err.Error()}
		}
	case kindEntry:
		e, ok := decodeEntry(rec.payload)
		if !ok {
			return &CorruptionError{name, 0, "an entry is shorter than its header"}
		}
		return putEntry(name, e, state)
	default:
		return &CorruptionError{name, 0, fmt.Sprintf("record of unknown kind %d", rec.kind)}
	}
	return nil
}

// putEntry puts e at its index. It replaces the entry there and removes those
// after it.
func putEntry(name string, e lwreplica.Entry, state *lwreplica.PersistedState) error {
	if e.Index <= state.Snapshot.Index {
		state.Entries = nil // the entries after the replaced one are invalid too
		return nil
	}
	at := int(e.Index - state.Snapshot.Index - 1)
	if at > len(state.Entries) {
		return &CorruptionError{name, 0, fmt.Sprintf("entries before entry %d are missing", e.Index)}
	}
	state.Entries = append(state.Entries[:at], e)
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
	return appendRecord(buf, kindHardState, l.syncedSize, payload), nil
}

// IsNoSpace reports whether an error of this package means that the disk was full.
// The stored state is then as it was before the call, and the call may be repeated.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// recordFailure returns err. Unless the disk was full, it also makes the log refuse
// later calls: after a failed sync it is unknown which data is durable, and a
// second sync may succeed without having written it.
func (l *Log) recordFailure(err error) error {
	if !IsNoSpace(err) {
		l.failure = err
	}
	return err
}

// Save makes a hard state and entries durable with one sync. It then starts the
// next segment if the current one has reached its size.
func (l *Log) Save(hard *lwreplica.HardState, entries []lwreplica.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if l.failure != nil {
		return errLogFailed()
	}
	var buf []byte
	if hard != nil {
		var err error
		if buf, err = l.appendHardState(buf, *hard); err != nil {
			return err
		}
	}
	for _, e := range entries {
		buf = appendEntryRecord(buf, l.syncedSize, e)
	}
	if err := l.write(buf); err != nil {
		return fmt.Errorf("save to log: %w", l.recordFailure(err))
	}
	if hard != nil {
		l.hardState = *hard
	}
	if l.segmentSize >= l.segmentBytes {
		// On a full disk the segment grows beyond its size; the data is durable.
		if err := l.startSegment(nil); err != nil && !IsNoSpace(err) {
			return fmt.Errorf("start segment: %w", l.recordFailure(err))
		}
	}
	return nil
}

// write appends to the open segment and syncs it. If the disk is full, the part
// that was written is cut off again.
func (l *Log) write(buf []byte) error {
	n, err := l.segment.Write(buf)
	if IsNoSpace(err) {
		if e := l.segment.Truncate(l.segmentSize); e != nil {
			return fmt.Errorf("truncate partial write on full disk: %w", e)
		}
		return err
	}
	l.segmentSize += int64(n)
	if err != nil {
		return err
	}
	if err := l.segment.Sync(); err != nil {
		if IsNoSpace(err) {
			return fmt.Errorf("sync failed: %v", err) // hides ENOSPC: the write must not be repeated, as it is unknown what is durable
		}
		return err
	}
	l.syncedSize = l.segmentSize
	walSyncs.Add(1)
	walBytes.Add(int64(n))
	return nil
}

// startSegment starts a new segment with the hard state and the given entries, so
// that older segments are not needed for them. If the disk is full, the old
// segment stays open.
func (l *Log) startSegment(entries []lwreplica.Entry) error {
	l.segmentSeq++
	name := segmentName(l.segmentSeq)
	f, err := l.disk.OpenAppend(name)
	if err != nil {
		return err
	}
	old := *l
	l.segment, l.segmentSize, l.syncedSize = f, 0, 0
	buf, err := l.appendHardState([]byte(segmentMagic), l.hardState)
	if err != nil {
		return err
	}
	for _, e := range entries {
		buf = appendEntryRecord(buf, 0, e)
	}
	if err := l.write(buf); err != nil {
		if IsNoSpace(err) && old.segment != nil {
			_ = f.Close()
			l.segment, l.segmentSize, l.syncedSize = old.segment, old.segmentSize, old.syncedSize
			if e := l.removeSegment(name); e != nil {
				return e
			}
		}
		return err
	}
	if old.segment != nil {
		_ = old.segment.Close()
	}
	walSegments.Add(1)
	return l.disk.SyncFolder()
}

// removeSegment removes a segment durably.
func (l *Log) removeSegment(name string) error {
	if err := l.disk.Remove(name); err != nil {
		return err
	}
	return l.disk.SyncFolder()
}

// SaveSnapshot replaces the stored snapshot and entries by s and the entries that
// follow it.
func (l *Log) SaveSnapshot(s lwreplica.Snapshot, following []lwreplica.Entry) error {
	seq, err := l.BeginSnapshot(following)
	if err != nil {
		return err
	}
	if err := l.WriteSnapshot(s, seq); err != nil {
		return l.recordFailure(err)
	}
	return l.EndSnapshot(seq)
}

// BeginSnapshot starts the first segment after a snapshot, with the entries after
// the snapshot's index, and returns its number. The older segments stay until
// EndSnapshot, so a crash in between loses nothing.
func (l *Log) BeginSnapshot(following []lwreplica.Entry) (seq uint64, err error) {
	if l.failure != nil {
		return 0, errLogFailed()
	}
	if err := l.startSegment(following); err != nil {
		return 0, fmt.Errorf("begin snapshot: %w", l.recordFailure(err))
	}
	return l.segmentSeq, nil
}

// WriteSnapshot makes the snapshot durable; seq is the number from BeginSnapshot.
// It may run concurrently with Save, but not with SaveSnapshot, EndSnapshot or
// another WriteSnapshot.
func (l *Log) WriteSnapshot(s lwreplica.Snapshot, seq uint64) error {
	if err := l.writeChecksummed(snapshotName, snapshotFile{s, seq}); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// EndSnapshot removes the segments before seq and the temporary files that a crash
// left. It must be called only after WriteSnapshot has succeeded.
func (l *Log) EndSnapshot(seq uint64) error {
	if l.failure != nil {
		return errLogFailed()
	}
	if err := l.removeSegmentsBefore(seq); err != nil {
		return fmt.Errorf("end snapshot: %w", l.recordFailure(err))
	}
	return nil
}

func (l *Log) removeSegmentsBefore(first uint64) error {
	names, err := l.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if seq, ok := parseSegmentName(name); (ok && seq < first) || lwdisk.IsTemporary(name) {
			if err := l.disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return l.disk.SyncFolder()
}

// Close closes the open segment.
func (l *Log) Close() error {
	if l.segment == nil {
		return nil
	}
	if err := l.segment.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
