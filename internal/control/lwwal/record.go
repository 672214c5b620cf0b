// Package lwwal stores the replicated log of one replica on its disk: a segmented
// write-ahead log with checksums, the latest snapshot and the identity of the
// data folder. State that was synced survives any crash, and damaged data is
// never returned. Damage is reported, except at the end of the last segment: if
// no later record shows that the damaged one was synced, it is a torn tail.
package lwwal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// A record is a header and a payload:
//
//	4 bytes  payload length, big endian
//	4 bytes  CRC-32C of the rest of the header and the payload
//	8 bytes  offset up to which this segment was synced when the record was made
//	1 byte   kind
//
// The synced offset tells a torn tail from damage: an invalid record that starts
// before the synced offset of a later record was once complete on the disk.
const (
	recordHeaderBytes = 17
	maxRecordBytes    = 16 << 20
	segmentMagic      = "LWWAL 1\n"
	segmentPrefix     = "log-"
	segmentSuffix     = ".seg"
	snapshotName      = "snapshot"
	identityName      = "identity"
)

type recordKind byte

const (
	kindEntry recordKind = iota + 1
	kindHardState
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports stored data that is damaged, missing or inconsistent.
type CorruptionError struct {
	File   string // file name in the data folder
	Offset int64  // byte offset of the damaged record or checksum; 0 if it is not known
	Detail string
}

// Error returns the detail with the file and the offset.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("corrupt log: %s at offset %d: %s", e.File, e.Offset, e.Detail)
}

func appendRecord(buf []byte, kind recordKind, synced int64, payload []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, 0)
	buf = binary.BigEndian.AppendUint64(buf, uint64(synced))
	buf = append(buf, byte(kind))
	buf = append(buf, payload...)
	binary.BigEndian.PutUint32(buf[start+4:], crc32.Checksum(buf[start+8:], castagnoli))
	return buf
}

type record struct {
	kind    recordKind
	synced  int64
	payload []byte
	end     int // offset of the byte after the record
}

// parseRecord reads the record at offset. It returns false if the record is
// incomplete, too long or fails its checksum.
func parseRecord(data []byte, offset int) (record, bool) {
	if len(data)-offset < recordHeaderBytes {
		return record{}, false
	}
	head := data[offset : offset+recordHeaderBytes]
	n := int(binary.BigEndian.Uint32(head))
	end := offset + recordHeaderBytes + n
	if n > maxRecordBytes || end > len(data) {
		return record{}, false
	}
	if crc32.Checksum(data[offset+8:end], castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return record{}, false
	}
	return record{recordKind(head[16]), int64(binary.BigEndian.Uint64(head[8:])), data[offset+recordHeaderBytes : end], end}, true
}

// maxSyncedAfter returns the highest synced offset in the valid records that
// start after offset. It tries every byte as a start, as the length of an invalid
// record cannot be trusted.
func maxSyncedAfter(data []byte, offset int) int64 {
	var highest int64
	for at := offset + 1; at < len(data); at++ {
		rec, ok := parseRecord(data, at)
		if !ok {
			continue
		}
		highest = max(highest, rec.synced)
		at = rec.end - 1
	}
	return highest
}

// scanSegment returns the valid records of a segment and the length of the part
// that they fill. A torn tail is allowed in the last segment only; damage to data
// that is known to have been synced is a CorruptionError.
func scanSegment(name string, data []byte, last bool) ([]record, int, error) {
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		if last && len(data) <= len(segmentMagic) {
			return nil, 0, nil
		}
		return nil, 0, &CorruptionError{name, 0, "the file has no header of a log segment of format 1"}
	}
	var recs []record
	at := len(segmentMagic)
	for at < len(data) {
		rec, ok := parseRecord(data, at)
		if !ok {
			break
		}
		recs = append(recs, rec)
		at = rec.end
	}
	if at == len(data) {
		return recs, at, nil
	}
	if !last {
		return nil, 0, &CorruptionError{name, int64(at), "damaged record in a segment that is not the last"}
	}
	if maxSyncedAfter(data, at) > int64(at) {
		return nil, 0, &CorruptionError{name, int64(at), "damaged record in data that was synced"}
	}
	return recs, at, nil
}

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%020d%s", segmentPrefix, seq, segmentSuffix)
}

func parseSegmentName(name string) (uint64, bool) {
	if !strings.HasPrefix(name, segmentPrefix) || !strings.HasSuffix(name, segmentSuffix) {
		return 0, false
	}
	seq, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix), 10, 64)
	return seq, err == nil
}

// addChecksum returns data with its checksum appended: the format of the snapshot
// and the identity file, which are always replaced as a whole.
func addChecksum(data []byte) []byte {
	return binary.BigEndian.AppendUint32(append([]byte(nil), data...), crc32.Checksum(data, castagnoli))
}

// verifyChecksum returns the content of a file in the format of addChecksum,
// without the checksum.
func verifyChecksum(name string, data []byte) ([]byte, error) {
	if len(data) < 4 {
		return nil, &CorruptionError{name, 0, "the file is shorter than a checksum"}
	}
	body := data[:len(data)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[len(body):]) {
		return nil, &CorruptionError{name, int64(len(body)), "the checksum does not match"}
	}
	return body, nil
}

func errLogFailed() error {
	return lwfault.New(lwfault.Internal, "an earlier write to the log failed; it accepts no more writes")
}
