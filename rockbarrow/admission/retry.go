// SPDX-License-Identifier: MIT

package admission

import "sync/atomic"

const (
	// retryShare is how many retries a first try pays for, in hundredths.
	retryShare = 10
	// retryReserve is how many retries are free, and bounds what is saved up.
	retryReserve = 20 * 100
)

// RetryBudget bounds retries to a share of first tries, so that retries never
// multiply an overload. The zero value is a full budget.
type RetryBudget struct {
	// spent is retries not yet paid for, in hundredths; 0 to retryReserve.
	spent atomic.Int64
}

// First records a first try.
func (b *RetryBudget) RecordFirstAttempt() {
	for {
		s := b.spent.Load()
		if s == 0 || b.spent.CompareAndSwap(s, max(0, s-retryShare)) {
			return
		}
	}
}

// Retry takes one retry from the budget, or reports that none is left.
func (b *RetryBudget) TryRetry() bool {
	for {
		s := b.spent.Load()
		if s+100 > retryReserve {
			return false
		}
		if b.spent.CompareAndSwap(s, s+100) {
			return true
		}
	}
}
