package exchange

import "sync/atomic"

// RetryBudget limits retries to a share of recent successes, so that retries do
// not amplify an outage. It is safe for concurrent use.
type RetryBudget struct {
	// level is in hundredths of a retry.
	level atomic.Int64
}

const (
	// retryCost and successGain limit retries to a tenth of successes.
	retryCost   = 100
	successGain = 10
	// maxLevel bounds a burst of retries.
	maxLevel = 100 * retryCost
	// initialLevel allows some retries before the first successes.
	initialLevel = 20 * retryCost
)

// NewRetryBudget returns a budget at its initial level.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.level.Store(initialLevel)
	return b
}

// RecordSuccess adds the share of a retry that each success earns.
func (b *RetryBudget) RecordSuccess() {
	for {
		level := b.level.Load()
		if level >= maxLevel || b.level.CompareAndSwap(level, min(level+successGain, maxLevel)) {
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
