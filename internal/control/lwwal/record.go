// Package lwwal keeps the replicated log of one replica on its disk: a
// segmented write-ahead log with checksums, snapshots and the identity of the
// data folder. It exists so that what a replica promised is still there after
// any crash, and so that damage is reported and never read as data.
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
//	8 bytes  offset in this segment up to which it was known to be synced
//	1 byte   kind
//
// The synced offset tells a torn tail from damage: a bad record that starts
// before an offset which a later record calls synced was once whole.
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

// CorruptionError reports damage to data that was once synced.
type CorruptionError struct {
	File   string // file name in the data folder
	Offset int64  // byte offset of the damaged record
	Detail string
}

// Error names the file and the offset.
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
	next    int // offset after the record
}

// parseRecord reads the record at offset; ok is false when it is not whole.
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

// laterSynced returns the highest synced offset that any whole record after
// offset carries.
func laterSynced(data []byte, offset int) int64 {
	var highest int64
	for at := offset + 1; at < len(data); at++ {
		rec, ok := parseRecord(data, at)
		if !ok {
			continue
		}
		highest = max(highest, rec.synced)
		at = rec.next - 1
	}
	return highest
}

// scanSegment returns the whole records of a segment and the length up to
// which it is good. Damage inside the synced part is a CorruptionError.
func scanSegment(name string, data []byte, last bool) ([]record, int, error) {
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		if last && len(data) <= len(segmentMagic) {
			return nil, 0, nil
		}
		return nil, 0, &CorruptionError{name, 0, "the header is not that of a log segment of format 1"}
	}
	var recs []record
	at := len(segmentMagic)
	for at < len(data) {
		rec, ok := parseRecord(data, at)
		if !ok {
			break
		}
		recs = append(recs, rec)
		at = rec.next
	}
	if at == len(data) {
		return recs, at, nil
	}
	if !last {
		return nil, 0, &CorruptionError{name, int64(at), "damaged record in a finished segment"}
	}
	if laterSynced(data, at) > int64(at) {
		return nil, 0, &CorruptionError{name, int64(at), "damaged record before synced data"}
	}
	return recs, at, nil
}

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%020d%s", segmentPrefix, seq, segmentSuffix)
}

func segmentSeq(name string) (uint64, bool) {
	if !strings.HasPrefix(name, segmentPrefix) || !strings.HasSuffix(name, segmentSuffix) {
		return 0, false
	}
	seq, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix), 10, 64)
	return seq, err == nil
}

// seal adds a checksum to the content of a file that is replaced whole.
func seal(data []byte) []byte {
	return binary.BigEndian.AppendUint32(append([]byte(nil), data...), crc32.Checksum(data, castagnoli))
}

func unseal(name string, data []byte) ([]byte, error) {
	if len(data) < 4 {
		return nil, &CorruptionError{name, 0, "shorter than its checksum"}
	}
	body := data[:len(data)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[len(body):]) {
		return nil, &CorruptionError{name, int64(len(body)), "the checksum does not match"}
	}
	return body, nil
}

func errClosed() error {
	return lwfault.New(lwfault.Internal, "the log failed before and accepts nothing more")
}
