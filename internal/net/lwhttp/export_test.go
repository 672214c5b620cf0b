package lwhttp

// LingerTimeout is how long a server leaves a caller to close a connection.
const LingerTimeout = lingerTimeout

// LimitConnections sets the number of connections that callers may open, until restore is called.
func LimitConnections(n int) (restore func()) {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	before := callers.maxConns
	callers.maxConns = n
	return func() {
		callers.mu.Lock()
		defer callers.mu.Unlock()
		callers.maxConns = before
	}
}

// CallerBytes returns the memory that the account counts for all connections.
func CallerBytes() int64 {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return callers.bytes
}

// OpenConnections returns the number of connections that have not closed.
func OpenConnections() int {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return callers.connections()
}
