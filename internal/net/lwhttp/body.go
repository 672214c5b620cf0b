package lwhttp

import (
	"io"
	"sync"
)

// GuardedBody is the body of a request that is forwarded. An http.Transport may
// still read a request body after it has returned the answer, when the server
// already reuses the body's buffers; Close makes such reads fail.
type GuardedBody struct {
	mu   sync.Mutex
	body io.ReadCloser
}

// NewGuardedBody wraps the body of a request. The handler must call Close before
// it returns.
func NewGuardedBody(body io.ReadCloser) *GuardedBody { return &GuardedBody{body: body} }

// Read reads from the body, and fails with io.ErrClosedPipe after Close.
func (b *GuardedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.body == nil {
		return 0, io.ErrClosedPipe
	}
	return b.body.Read(p)
}

// Close waits for a Read in progress and makes later ones fail. It leaves the
// body open, since the server closes it.
func (b *GuardedBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.body = nil
	return nil
}
