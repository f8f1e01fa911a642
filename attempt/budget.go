package attempt

import "sync"

// maxTokens allows an entry a burst of retries after a period without failures, as when a worker with 8 slots stops, but limits how
// many retries the tokens saved in that period allow.
const maxTokens = 20

// RetryBudget limits retries to a share of the requests.
type RetryBudget interface {
	// Request counts a request that is sent for the first time.
	Request()
	// Retry consumes one retry and reports whether it is allowed.
	Retry() (allowed bool)
}

// TokenBucket is a token bucket to which each request adds a share of a token and from which each retry takes a whole one (see the
// article "Reliability for Multi-Model Systems: Timeouts, Retries, Circuit Breaking, and Failover", section 2). It is not safe for
// concurrent use.
type TokenBucket struct {
	Share  float64
	tokens float64
}

// Request adds the share of a token, up to maxTokens.
func (t *TokenBucket) Request() {
	t.tokens = min(t.tokens+t.Share, maxTokens)
}

// Retry takes a token and reports whether a whole one was available.
func (t *TokenBucket) Retry() (allowed bool) {
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Budget is the RetryBudget of one entry; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	bucket TokenBucket
}

// NewBudget returns a budget that starts with maxTokens and gains the share of a token per request.
func NewBudget(share float64) *Budget {
	return &Budget{bucket: TokenBucket{Share: share, tokens: maxTokens}}
}

// Request counts a request that is sent for the first time.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.Request()
}

// Retry consumes one retry and reports whether it is allowed.
func (b *Budget) Retry() (allowed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Retry()
}
