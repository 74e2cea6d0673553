// SPDX-License-Identifier: MIT

package stores

import (
	"fmt"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// OverBudgetError reports that a turn exceeds the token budget of its program.
type OverBudgetError struct {
	// Budget is the program's budget, Used the tokens spent or reserved by its
	// other turns, and MaxTokens the tokens that this turn may generate.
	Budget, Used, MaxTokens uint64
	// Settled is the part of Used that is final; the rest may be released.
	Settled uint64
}

// isFinal reports whether the turn exceeds the budget whatever becomes of the
// turns in progress.
func (e *OverBudgetError) isFinal() bool { return e.Settled+e.MaxTokens > e.Budget }

func (e *OverBudgetError) Error() string {
	return fmt.Sprintf("stores: budget exceeded: %d tokens used, %d requested, budget %d", e.Used, e.MaxTokens, e.Budget)
}

// UnknownTurnError reports that a read quorum of the stores does not have a turn, or that it belongs to another customer.
type UnknownTurnError struct {
	Turn string
	// Replies are those of the stores that do not have it. It is empty if another customer has it.
	Replies Replies
}

func (e *UnknownTurnError) Error() string { return "stores: unknown turn " + e.Turn }

// UnavailableError reports that no quorum of the stores answered in time.
type UnavailableError struct {
	// Reason is why the last attempt failed.
	Reason string
	// Epoch is the view of the last attempt.
	Epoch uint64
	// Call is what the stores were asked for, one of the names below, or "" if they were not asked.
	Call string
	// Attempts is how often the stores were asked.
	Attempts int
	// Replies are what the stores replied, and Shortfalls what these replies lack for a quorum.
	Replies    []StoreReply
	Shortfalls []ledger.Shortfall
	// Prior are the instance names of the members before a view change in progress, and Abandoned is the number of earlier
	// attempts at it that were given up.
	Prior     []string
	Abandoned int
}

// What stores are asked for.
const (
	CallReserve = "reserve"
	CallLookup  = "lookup"
	CallSettle  = "settle"
)

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("stores: unavailable under view %d: %s", e.Epoch, e.Reason)
}

// encodingError reports a call that can't be encoded, for instance because a string
// is not valid UTF-8. It is not sent to any store.
type encodingError struct{ reason error }

func (e *encodingError) Error() string { return "stores: encoding the call: " + e.reason.Error() }

func (e *encodingError) Unwrap() error { return e.reason }

func isEncodingError(err error) bool {
	var encoding *encodingError
	return errors.As(err, &encoding)
}

// unexpectedReplyError reports a reply on a stream that is not of the kind of its call.
// A missing reply must not pass for an acknowledgement: its status is that of success.
type unexpectedReplyError struct{ reply *fleetpb.StoreCallReply }

func (e *unexpectedReplyError) Error() string {
	return fmt.Sprintf("stores: unexpected reply of type %T", e.reply.GetReply())
}
