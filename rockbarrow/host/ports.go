// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"time"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// PeerClient reaches other instances.
type PeerClient interface {
	// Journal carries one message to a replica and returns its reply. An error
	// says nothing of whether the message arrived.
	Journal(ctx context.Context, name string, to journal.Member, m journal.Message) (journal.Reply, error)
	// Do passes a caller's request on and hands each event back. An error says
	// nothing of whether the request arrived.
	Do(ctx context.Context, instance string, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error
}

// Attempt is one sending of a call.
type Attempt struct {
	Run      string
	Created  *recordpb.Created
	Intent   *recordpb.Intent
	History  []*recordpb.Message
	Endpoint *configpb.Endpoint
	// PrefixBoundaries name the prompt's prefixes to the engine.
	PrefixBoundaries []placement.Boundary
	// Priority is smaller for runs that have had less service.
	Priority uint64
	// Deadline is when an unsent attempt must not be sent any more.
	Deadline time.Time
}

// Result is what an attempt came to.
type Result struct {
	// Answer is the whole answer, or nil.
	Answer *recordpb.Answered
	// NotExecuted is true only when the endpoint certainly did not run it.
	NotExecuted bool
	// Permanent is true when another endpoint would refuse it too.
	Permanent bool
	// Reason describes a failure.
	Reason string
	// TimeToFirstToken and Duration are the times to the first and the last token.
	TimeToFirstToken, Duration time.Duration
}

// Backends sends calls to endpoints.
type Backends interface {
	// Call sends an attempt and streams its answer.
	Call(ctx context.Context, a Attempt, emit func(offset uint64, content string)) Result
	// Release asks an engine to free what it holds for a run.
	Release(ctx context.Context, e *configpb.Endpoint, run string) error
}

// Store keeps journals on a disk.
type Store interface {
	// Enqueue keeps a change, in the order of the calls. The returned function
	// waits for the sync; any number may call it.
	Enqueue(name string, c journal.Change) func() error
	// Drop removes a journal.
	Drop(name string) func() error
}
