package lwconfig

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// maxUnpackedBytes bounds the size of a decompressed document.
const maxUnpackedBytes = 64 << 20

// packedDocument is a document as it is stored and sent. Its content is compressed
// with gzip, which reduces configurations with very many queues to a tenth.
type packedDocument struct {
	Version Version `json:"version"`
	Packed  []byte  `json:"packed"`
}

// plainDocument is a Document without its methods, so that it is encoded as a plain
// struct.
type plainDocument Document

// MarshalJSON writes the packed form. It packs the document unless Pack or
// UnmarshalJSON kept the packed form.
func (d Document) MarshalJSON() ([]byte, error) {
	p, err := d.pack()
	if err != nil {
		return nil, err
	}
	return json.Marshal(packedDocument{d.Version, p})
}

// Pack makes the packed form and keeps it, so that it is not made again at each
// encoding.
func (d *Document) Pack() error {
	p, err := d.pack()
	d.packed = p
	return err
}

// pack returns the packed form without keeping it.
func (d *Document) pack() ([]byte, error) {
	if d.packed != nil {
		return d.packed, nil
	}
	data, err := json.Marshal((*plainDocument)(d))
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := z.Write(data); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return buf.Bytes(), nil
}

// UnmarshalJSON reads the packed form, keeps it and builds the index for Find.
func (d *Document) UnmarshalJSON(data []byte) error {
	var p packedDocument
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	z, err := gzip.NewReader(bytes.NewReader(p.Packed))
	if err != nil {
		return fmt.Errorf("decompress configuration: %w", err)
	}
	unpacked, err := io.ReadAll(io.LimitReader(z, maxUnpackedBytes+1))
	if err != nil {
		return fmt.Errorf("decompress configuration: %w", err)
	}
	if len(unpacked) > maxUnpackedBytes {
		return lwfault.New(lwfault.TooLarge, "the decompressed configuration is over %d bytes", maxUnpackedBytes)
	}
	if err := json.Unmarshal(unpacked, (*plainDocument)(d)); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	d.packed = p.Packed
	d.buildIndex()
	return nil
}
