package lwroute

import "sync"

const (
	maxSavedRetries = 100
	initialRetries  = 50
)

// RetryBudget bounds retries to a share of the requests, so that retries do not
// amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	retries float64 // saved and not spent yet
}

// NewRetryBudget returns a budget of initialRetries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{retries: initialRetries} }

// AddRequest counts the first attempt of a request, which adds ratio retries to
// the budget.
func (b *RetryBudget) AddRequest(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(maxSavedRetries, b.retries+ratio)
}

// TakeRetry takes one retry from the budget. It returns false if less than one is
// left.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
