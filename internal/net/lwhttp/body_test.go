package lwhttp

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// The server reuses the buffers of a body when its handler returns, so nothing
// may read the body after that.
func TestGuardedBodyIsNotReadAfterClose(t *testing.T) {
	inner := strings.NewReader("request body")
	b := NewGuardedBody(io.NopCloser(inner))
	if n, err := b.Read(make([]byte, 7)); n != 7 || err != nil {
		t.Fatalf("Read before Close: %d bytes, error %v; want 7 bytes", n, err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Read(make([]byte, 7)); !errors.Is(err, io.ErrClosedPipe) || inner.Len() != 5 {
		t.Errorf("Read after Close: error %v, %d bytes left in the body; want io.ErrClosedPipe, 5 bytes", err, inner.Len())
	}
}
