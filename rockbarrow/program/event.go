// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// CallID identifies a caller that waits for a reply. The host assigns it.
type CallID uint64

// Event is an input of a [Machine].
type Event interface{ event() }

// Loaded reports that the journal serves and that all its records were
// delivered.
type Loaded struct{}

// Recorded delivers committed records, each once and in order.
type Recorded struct{ Records []*recordpb.Record }

// CreateRequested asks to create the run. It succeeds if the run already exists
// with the same values.
type CreateRequested struct {
	ID      CallID
	Created *recordpb.Created
}

// CallReceived delivers a call of the run.
type CallReceived struct {
	ID       CallID
	Customer string
	Turn     *peerpb.Turn
}

// ViewRequested asks for a view of the run with at most Limit turns after the
// sequence After.
type ViewRequested struct {
	ID       CallID
	Customer string
	After    uint64
	Limit    uint32
}

// CallerLeft reports that a caller has disconnected. Its call continues.
type CallerLeft struct{ ID CallID }

// Placed answers a [Place] with the chosen endpoint.
type Placed struct {
	Sequence      uint64
	Attempt       uint32
	Endpoint      string
	Domain        string
	Reason        string
	ConfigVersion uint64
	// Hold asks the engine to keep the cached prefix until the run ends.
	Hold bool
}

// PlacementFailed answers a [Place] for which there is no endpoint.
type PlacementFailed struct {
	Sequence uint64
	Attempt  uint32
	Problem  *peerpb.Problem
}

// ChunkReceived delivers a part of an answer. Offset counts bytes.
type ChunkReceived struct {
	Sequence uint64
	Attempt  uint32
	Offset   uint64
	Content  string
}

// AttemptFinished delivers the complete answer of an attempt.
type AttemptFinished struct {
	Sequence uint64
	Attempt  uint32
	Answered *recordpb.Answered
}

// AttemptFailed reports that an attempt failed. NotRun is true only if the
// endpoint certainly did not run it and never will.
type AttemptFailed struct {
	Sequence uint64
	Attempt  uint32
	NotRun   bool
	Reason   string
	// Final is true if every other endpoint would refuse the call too.
	Final bool
}

// AllocationRequested asks to allocate a part of the budget to a child run.
type AllocationRequested struct {
	ID       CallID
	Customer string
	Child    string
	Tokens   uint64
}

// CreditRequested returns the tokens that an ended child did not spend.
type CreditRequested struct {
	ID       CallID
	Customer string
	Child    string
	Tokens   uint64
}

// EndRequested asks to end the run.
type EndRequested struct {
	ID       CallID
	Customer string
	Reason   string
}

// MemoryReleased reports that an endpoint no longer holds memory for the run.
type MemoryReleased struct{ Endpoint string }

// ParentCredited reports that the parent has credited this run's unspent tokens.
type ParentCredited struct{}

// Ticked is delivered periodically and triggers timeouts.
type Ticked struct{}

// OwnershipLost reports that another owner, named if known, writes the journal.
type OwnershipLost struct{ By string }

func (Loaded) event()              {}
func (Recorded) event()            {}
func (CreateRequested) event()     {}
func (CallReceived) event()        {}
func (CallerLeft) event()          {}
func (ViewRequested) event()       {}
func (Placed) event()              {}
func (PlacementFailed) event()     {}
func (ChunkReceived) event()       {}
func (AttemptFinished) event()     {}
func (AttemptFailed) event()       {}
func (AllocationRequested) event() {}
func (CreditRequested) event()     {}
func (EndRequested) event()        {}
func (MemoryReleased) event()      {}
func (ParentCredited) event()      {}
func (Ticked) event()              {}
func (OwnershipLost) event()       {}

// Action is an output of a [Machine] for the host to perform.
type Action interface{ action() }

// Commit proposes records to the journal as one entry.
type Commit struct{ Records []*recordpb.Record }

// Place asks for an endpoint for an attempt.
type Place struct {
	Sequence     uint64
	Attempt      uint32
	PromptTokens uint64
	AnswerTokens uint32
	Repeatable   bool
	// Avoid names endpoints on which this call has failed.
	Avoid []string
	// SpentTokens is what the run has spent so far.
	SpentTokens uint64
	// History is the prompt for the engine.
	History []*recordpb.Message
	// LastEndpoint is the endpoint of the run's last answer, or "".
	LastEndpoint string
	// EntryDomain is the failure domain that received the caller's request.
	EntryDomain string
}

// Dispatch sends an attempt whose intent has committed.
type Dispatch struct {
	Intent  *recordpb.Intent
	History []*recordpb.Message
	// ProposedAt is when the intent was proposed. Host, engine and service do
	// not send an attempt whose intent is older than the lease.
	ProposedAt time.Time
}

// Abort stops an attempt that may be in progress.
type Abort struct {
	Sequence uint64
	Attempt  uint32
}

// Reply sends an event to a waiting caller. Done is true for the last event.
type Reply struct {
	ID    CallID
	Event *peerpb.DoEvent
	Done  bool
}

// ReleaseMemory asks an endpoint to free the run's memory. It is repeated until
// [MemoryReleased].
type ReleaseMemory struct{ Endpoint string }

// ReturnBudget returns this run's unspent tokens to its parent. It is repeated
// until [ParentCredited].
type ReturnBudget struct {
	Parent, Child string
	Tokens        uint64
}

func (Commit) action()        {}
func (Place) action()         {}
func (Dispatch) action()      {}
func (Abort) action()         {}
func (Reply) action()         {}
func (ReleaseMemory) action() {}
func (ReturnBudget) action()  {}
