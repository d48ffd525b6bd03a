package cfroute

import "sync/atomic"

// retryCost is the cost of one retry in tokens. If NewBudget is given p percent, each call
// earns p tokens, so 100 calls pay for p retries.
const retryCost = 100

// A budget that has maxTokens gets no further tokens. A new budget has initialTokens, which
// allow 10 retries at once. These tokens are lent: the first initialTokens that calls earn
// only pay them back, and are not added to the budget. The total number of retries therefore
// never exceeds 10 or the percentage of all calls, whichever is more.
const (
	maxTokens     = 50 * retryCost
	initialTokens = 10 * retryCost
)

// Budget limits retries to a percentage of recent calls. It prevents a retry storm under
// overload.
type Budget struct {
	// percent is the number of tokens that one call earns.
	percent int64
	tokens  atomic.Int64
	// debt is the number of tokens that calls must still earn before the tokens that they earn
	// are added to the budget. It is initialTokens at first, and at most 0 once it is paid.
	debt atomic.Int64
}

// NewBudget returns a budget that allows retries for the given percentage of calls.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: int64(percent)}
	if percent > 0 {
		b.tokens.Store(initialTokens)
		b.debt.Store(initialTokens)
	}
	return b
}

// Earn counts one call. While there is a debt, the tokens that the call earns reduce the debt.
// Afterwards, they are added to the budget unless it already has maxTokens.
func (b *Budget) Earn() {
	if b.debt.Load() > 0 {
		b.debt.Add(-b.percent)
		return
	}
	if b.tokens.Load() < maxTokens {
		b.tokens.Add(b.percent)
	}
}

// Spend reports whether a retry is allowed. If so, it deducts the tokens of one retry.
func (b *Budget) Spend() bool {
	for {
		old := b.tokens.Load()
		if old < retryCost {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}
