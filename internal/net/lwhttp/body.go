package lwhttp

import (
	"io"
	"sync"
)

// Body guards the body of a request that is passed on. A transport may go on
// reading a body after it has returned an answer, while the server takes its
// buffers back.
type Body struct {
	mu   sync.Mutex
	body io.ReadCloser
}

// GuardBody returns a guard; Close must be called before the handler returns.
func GuardBody(body io.ReadCloser) *Body { return &Body{body: body} }

// Read reads until the guard is closed.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.body == nil {
		return 0, io.ErrClosedPipe
	}
	return b.body.Read(p)
}

// Close ends all reading; the server closes the body itself.
func (b *Body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.body = nil
	return nil
}
