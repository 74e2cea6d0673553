// SPDX-License-Identifier: MIT

package stores

import "fmt"

// OverBudgetError says that a turn does not fit into its program's budget.
type OverBudgetError struct {
	// Budget is the program's, Used what its other turns have spent or reserved,
	// and MaxTokens what this one may generate, in tokens.
	Budget, Used, MaxTokens uint64
}

// Error describes the sum.
func (e *OverBudgetError) Error() string {
	return fmt.Sprintf("stores: %d tokens used and %d wanted of a budget of %d", e.Used, e.MaxTokens, e.Budget)
}

// UnknownTurnError says that no store holds a turn, and that they would.
type UnknownTurnError struct{ Turn string }

// Error names the turn.
func (e *UnknownTurnError) Error() string { return "stores: no turn " + e.Turn }

// UnavailableError says that no majority of the stores answered in time.
type UnavailableError struct {
	// Reason tells what was missing.
	Reason string
	// Epoch is the view that was tried.
	Epoch uint64
}

// Error describes what was missing.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("stores: unavailable under view %d: %s", e.Epoch, e.Reason)
}
