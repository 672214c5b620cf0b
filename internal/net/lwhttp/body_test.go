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
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Read(make([]byte, 7)); !errors.Is(err, io.ErrClosedPipe) || inner.Len() != 5 {
		t.Errorf("read after Close: %v, %d bytes left", err, inner.Len())
	}
}
