// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// CallID is the host's number for one waiting caller.
type CallID uint64

// Event is what a [Machine] handles.
type Event interface{ event() }

// Loaded says that the journal serves and all its records were handed in.
type Loaded struct{}

// Recorded hands in committed records, each once and in order.
type Recorded struct{ Records []*recordpb.Record }

// Creating asks to create the run, or to find it created.
type Creating struct {
	ID      CallID
	Created *recordpb.Created
}

// Called is a call that has arrived.
type Called struct {
	ID       CallID
	Customer string
	Turn     *peerpb.Turn
}

// Reading asks for a view: the turns after a sequence, at most Limit of them.
type Reading struct {
	ID       CallID
	Customer string
	After    uint64
	Limit    uint32
}

// Left says that a caller no longer listens; its call goes on.
type Left struct{ ID CallID }

// Placed answers a [Place].
type Placed struct {
	Sequence      uint64
	Attempt       uint32
	Endpoint      string
	Domain        string
	Reason        string
	ConfigVersion uint64
	// Hold asks the engine to keep the prefix until the run ends.
	Hold bool
}

// Unplaced answers a [Place] that cannot be met.
type Unplaced struct {
	Sequence uint64
	Attempt  uint32
	Problem  *peerpb.Problem
}

// Streamed is a part of an answer; Offset counts bytes.
type Streamed struct {
	Sequence uint64
	Attempt  uint32
	Offset   uint64
	Content  string
}

// Finished is the whole answer of an attempt.
type Finished struct {
	Sequence uint64
	Attempt  uint32
	Answered *recordpb.Answered
}

// Failed says that an attempt came to nothing. NotRun is true only when the
// endpoint certainly did not run it and never will.
type Failed struct {
	Sequence uint64
	Attempt  uint32
	NotRun   bool
	Reason   string
	// Final is true when another endpoint would refuse it too.
	Final bool
}

// Carving asks for a slice of the budget for a child run.
type Carving struct {
	ID       CallID
	Customer string
	Child    string
	Tokens   uint64
}

// Crediting brings back what an ended child left.
type Crediting struct {
	ID       CallID
	Customer string
	Child    string
	Tokens   uint64
}

// Ending asks to end the run.
type Ending struct {
	ID       CallID
	Customer string
	Reason   string
}

// Freed says that an endpoint holds no memory for the run any more.
type Freed struct{ Endpoint string }

// Credited says that the parent has credited this run's rest.
type Credited struct{}

// Ticked lets time pass.
type Ticked struct{}

// Deposed says that another owner, named if known, writes the journal.
type Deposed struct{ By string }

func (Loaded) event()    {}
func (Recorded) event()  {}
func (Creating) event()  {}
func (Called) event()    {}
func (Left) event()      {}
func (Reading) event()   {}
func (Placed) event()    {}
func (Unplaced) event()  {}
func (Streamed) event()  {}
func (Finished) event()  {}
func (Failed) event()    {}
func (Carving) event()   {}
func (Crediting) event() {}
func (Ending) event()    {}
func (Freed) event()     {}
func (Credited) event()  {}
func (Ticked) event()    {}
func (Deposed) event()   {}

// Action is what a [Machine] wants done.
type Action interface{ action() }

// Commit proposes records to the journal as one entry.
type Commit struct{ Records []*recordpb.Record }

// Place asks for an endpoint.
type Place struct {
	Sequence     uint64
	Attempt      uint32
	PromptTokens uint64
	AnswerTokens uint32
	Repeatable   bool
	// Avoid names endpoints that failed this call.
	Avoid []string
	// Attained is what the run has spent so far, in tokens.
	Attained uint64
	// History is what the engine will be given.
	History []*recordpb.Message
	// Last is the endpoint of the run's last answer, or "".
	Last string
	// EntryDomain is the failure domain that the caller's request came to.
	EntryDomain string
}

// Dispatch sends an attempt whose intent has committed.
type Dispatch struct {
	Intent  *recordpb.Intent
	History []*recordpb.Message
	// ProposedAt is when the intent was proposed; an adapter sends nothing when
	// that is longer ago than the lease.
	ProposedAt time.Time
}

// Abort stops an attempt that may be under way.
type Abort struct {
	Sequence uint64
	Attempt  uint32
}

// Tell hands an event to a waiting caller; Done is true for the last one.
type Tell struct {
	ID    CallID
	Event *peerpb.DoEvent
	Done  bool
}

// Release asks an endpoint to free the run's memory, until [Freed].
type Release struct{ Endpoint string }

// Return brings this run's rest to its parent, until [Credited].
type Return struct {
	Parent, Child string
	Tokens        uint64
}

func (Commit) action()   {}
func (Place) action()    {}
func (Dispatch) action() {}
func (Abort) action()    {}
func (Tell) action()     {}
func (Release) action()  {}
func (Return) action()   {}
