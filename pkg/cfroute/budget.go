package cfroute

import "sync/atomic"

// budgetUnit is one retry, in the budget's own unit of a hundredth.
const budgetUnit = 100

// budgetCap is the number of retries that can be saved up, and budgetLoan the
// number that a new budget begins with. The loan is paid back first, so that
// retries stay a share of calls from the beginning.
const (
	budgetCap  = 50 * budgetUnit
	budgetLoan = 10 * budgetUnit
)

// Budget allows retries as a share of recent calls, so that they cannot multiply
// in an overload.
type Budget struct {
	percent int64
	saved   atomic.Int64
	owed    atomic.Int64
}

// NewBudget returns a budget of the given percentage of calls.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: int64(percent)}
	if percent > 0 {
		b.saved.Store(budgetLoan)
		b.owed.Store(budgetLoan)
	}
	return b
}

// Earn counts a call.
func (b *Budget) Earn() {
	if b.owed.Load() > 0 {
		b.owed.Add(-b.percent)
		return
	}
	if b.saved.Load() < budgetCap {
		b.saved.Add(b.percent)
	}
}

// Spend reports whether a retry is allowed, and takes it off.
func (b *Budget) Spend() bool {
	for {
		old := b.saved.Load()
		if old < budgetUnit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}
