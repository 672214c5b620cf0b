package lwhttp

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// The server takes a body back when its handler returns: nothing may read it
// after that.
func TestGuardedBodyIsNotReadAfterItsHandler(t *testing.T) {
	inner := strings.NewReader("request body")
	b := GuardBody(io.NopCloser(inner))
	if n, err := b.Read(make([]byte, 7)); n != 7 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Read(make([]byte, 7)); !errors.Is(err, io.ErrClosedPipe) || inner.Len() != 5 {
		t.Errorf("after the end: %v, %d bytes left", err, inner.Len())
	}
}
