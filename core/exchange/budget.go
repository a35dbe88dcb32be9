package exchange

import "sync/atomic"

// Budget bounds retries to a share of recent successes, so that an outage is
// not made worse by retries. It is safe for concurrent use.
type Budget struct {
	// hundredths of a retry
	level atomic.Int64
}

const (
	// retryCost and successGain make retries at most a tenth of successes.
	retryCost   = 100
	successGain = 10
	// budgetMax is the number of retries that may come in one go.
	budgetMax = 100 * retryCost
	// budgetStart lets a router without history retry a little.
	budgetStart = 20 * retryCost
)

// NewBudget returns a budget with a small initial level.
func NewBudget() *Budget {
	b := &Budget{}
	b.level.Store(budgetStart)
	return b
}

// Succeeded adds a success.
func (b *Budget) Succeeded() {
	for {
		level := b.level.Load()
		if level >= budgetMax || b.level.CompareAndSwap(level, min(level+successGain, budgetMax)) {
			return
		}
	}
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	for {
		level := b.level.Load()
		if level < retryCost {
			return false
		}
		if b.level.CompareAndSwap(level, level-retryCost) {
			return true
		}
	}
}

// Level returns the number of retries left.
func (b *Budget) Level() int64 { return b.level.Load() / retryCost }
