package slot

// retryBurst is the number of retries that a pool may make at once after a time without retries. It covers the loss of two workers with
// 8 slots each, without letting a pool save up enough retries to overload its workers.
const retryBurst = 20

// tokenTolerance absorbs the floating-point error of the sum of shares.
const tokenTolerance = 1e-6

// retryBudget is a token bucket that limits the retries of a pool across all entries: each first attempt adds a share of a token, and
// each retry takes one token. It follows the article "Reliability for Multi-Model Systems: Timeouts, Retries, Circuit Breaking, and
// Failover", section 2.
type retryBudget struct {
	share  float64
	tokens float64
}

func newRetryBudget(share float64) retryBudget { return retryBudget{share: share, tokens: retryBurst} }

func (b *retryBudget) addFirstAttempt() { b.tokens = min(b.tokens+b.share, retryBurst) }

func (b *retryBudget) takeRetry() (allowed bool) {
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}
