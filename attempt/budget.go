package attempt

import "sync"

// maxTokens lets an entry retry a burst after a calm time, as when a worker with 8 slots dies, without a later flood of retries.
const maxTokens = 20

// RetryBudget limits retries to a share of requests.
type RetryBudget interface {
	// Request counts a request that is sent for the first time.
	Request()
	// Retry takes the right to one retry.
	Retry() (allowed bool)
}

// Tokens is a token bucket that each request fills by a share and each retry empties by one (idea of the paper, section 2); it
// is not safe for concurrent use.
type Tokens struct {
	Share float64
	level float64
}

// Request adds the share of a token.
func (t *Tokens) Request() {
	t.level = min(t.level+t.Share, maxTokens)
}

// Retry takes a token if there is a whole one.
func (t *Tokens) Retry() (allowed bool) {
	if t.level < 1 {
		return false
	}
	t.level--
	return true
}

// Budget is a RetryBudget of one entry for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens Tokens
}

// NewBudget returns a budget that allows a burst of retries at once.
func NewBudget(share float64) *Budget {
	return &Budget{tokens: Tokens{Share: share, level: maxTokens}}
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.Request()
}

// Retry takes the right to one retry.
func (b *Budget) Retry() (allowed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens.Retry()
}
