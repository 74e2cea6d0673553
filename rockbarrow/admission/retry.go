// SPDX-License-Identifier: MIT

package admission

import "sync/atomic"

const (
	// retryShare is the number of retries allowed per first attempt, in hundredths.
	retryShare = 10
	// retryReserve is the largest number of unspent retries, in hundredths.
	retryReserve = 20 * 100
)

// RetryBudget limits retries to a fraction of first attempts, which prevents
// retry storms. The zero value is a full budget.
type RetryBudget struct {
	// debt is the number of retries in excess of those earned by first attempts,
	// in hundredths; 0 to retryReserve.
	debt atomic.Int64
}

// RecordFirstAttempt adds a first attempt's share to the budget.
func (b *RetryBudget) RecordFirstAttempt() {
	for {
		s := b.debt.Load()
		if s == 0 || b.debt.CompareAndSwap(s, max(0, s-retryShare)) {
			return
		}
	}
}

// TryRetry takes one retry from the budget. It reports false if none is left.
func (b *RetryBudget) TryRetry() bool {
	for {
		s := b.debt.Load()
		if s+100 > retryReserve {
			return false
		}
		if b.debt.CompareAndSwap(s, s+100) {
			return true
		}
	}
}
