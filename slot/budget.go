package slot

// budgetBurst is the number of retries that a pool may make at once after a calm time: as when a worker with 8 slots dies, with
// room for a second one, but without a later flood of retries.
const budgetBurst = 20

// rounding absorbs the error of adding up shares.
const rounding = 1e-6

// budget is the retry budget of a pool across entries: each first attempt adds a share of a token and each retry takes one (idea of
// the paper, section 2).
type budget struct {
	share  float64
	tokens float64
}

func newBudget(share float64) budget { return budget{share: share, tokens: budgetBurst} }

func (b *budget) first() { b.tokens = min(b.tokens+b.share, budgetBurst) }

func (b *budget) retry() (allowed bool) {
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}
