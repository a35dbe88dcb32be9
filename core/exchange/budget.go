package exchange

import "sync/atomic"

// RetryBudget bounds retries to a share of recent successes, so that an outage is
// not made worse by retries. It is safe for concurrent use.
type RetryBudget struct {
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

// NewRetryBudget returns a budget with a small initial level.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.level.Store(budgetStart)
	return b
}

// RecordSuccess adds a success.
func (b *RetryBudget) RecordSuccess() {
	for {
		level := b.level.Load()
		if level >= budgetMax || b.level.CompareAndSwap(level, min(level+successGain, budgetMax)) {
			return
		}
	}
}

// Take spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take() bool {
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

// Remaining returns the number of retries left.
func (b *RetryBudget) Remaining() int64 { return b.level.Load() / retryCost }
