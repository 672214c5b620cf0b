package lwconfig

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// maxUnpacked bounds what a packed document may grow to.
const maxUnpacked = 64 << 20

// packed is a document as it is stored and sent: configurations with very many
// queues compress to a tenth.
type packed struct {
	Version Version `json:"version"`
	Packed  []byte  `json:"packed"`
}

// plain is a Document without its methods.
type plain Document

// MarshalJSON writes the packed form, which is made once.
func (d Document) MarshalJSON() ([]byte, error) {
	p, err := d.pack()
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed{d.Version, p})
}

// Pack keeps the packed form, so that it is not made again at each encoding.
func (d *Document) Pack() error {
	p, err := d.pack()
	d.packed = p
	return err
}

func (d *Document) pack() ([]byte, error) {
	if d.packed != nil {
		return d.packed, nil
	}
	data, err := json.Marshal((*plain)(d))
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if _, err := z.Write(data); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	return buf.Bytes(), nil
}

// UnmarshalJSON reads the packed form and keeps it.
func (d *Document) UnmarshalJSON(data []byte) error {
	var p packed
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	z, err := gzip.NewReader(bytes.NewReader(p.Packed))
	if err != nil {
		return fmt.Errorf("unpack configuration: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(z, maxUnpacked+1))
	if err != nil {
		return fmt.Errorf("unpack configuration: %w", err)
	}
	if len(body) > maxUnpacked {
		return lwfault.New(lwfault.TooLarge, "the configuration unpacks to over %d bytes", maxUnpacked)
	}
	if err := json.Unmarshal(body, (*plain)(d)); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	d.packed = p.Packed
	d.index()
	return nil
}
