// SPDX-License-Identifier: MIT

package stores

import (
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// Replies says which stores replied until a call had its quorum, and under which view. It is evidence for logs: without it a turn
// that was acknowledged and lost looks like one that never was.
type Replies struct {
	epoch      uint64
	isChanging bool
	stores     []string
	incomplete []string
}

// newReplies returns the replies to a call. Only the proof that a turn is absent needs complete stores.
func newReplies(v *fleetpb.View, t *ledger.QuorumTracker) Replies {
	return Replies{epoch: v.GetEpoch(), isChanging: len(v.GetPrior()) > 0, stores: t.Answered()}
}

// Epoch returns the epoch of the view, zero if no stores were called.
func (r Replies) Epoch() uint64 { return r.epoch }

// IsChanging reports whether the view was changing.
func (r Replies) IsChanging() bool { return r.isChanging }

// Stores returns the instance names of the stores that replied.
func (r Replies) Stores() []string { return r.stores }

// Incomplete returns those of Stores that did not hold all records from before the view, for a lookup that found nothing.
func (r Replies) Incomplete() []string { return r.incomplete }
