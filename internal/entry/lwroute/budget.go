package lwroute

import "sync"

const (
	budgetCap     = 100 // retries that may be saved up
	budgetInitial = 50
)

// Budget bounds retries to a share of first attempts, so that a brown-out is
// not made worse by them. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a few retries saved.
func NewBudget() *Budget { return &Budget{tokens: budgetInitial} }

// Attempt notes a first attempt, which earns ratio retries.
func (b *Budget) Attempt(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetCap, b.tokens+ratio)
}

// Retry takes one retry from the budget, if there is one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
