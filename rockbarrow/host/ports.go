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

// PeerClient sends requests to other instances.
type PeerClient interface {
	// Journal sends a message to a replica and returns its reply. After an error
	// the message may or may not have arrived.
	Journal(ctx context.Context, name string, to journal.Member, m journal.Message) (journal.Reply, error)
	// Do forwards a request and passes its events to emit. After an error the
	// request may or may not have arrived.
	Do(ctx context.Context, instance string, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error
}

// Attempt is one attempt to send a call to an endpoint.
type Attempt struct {
	Run      string
	Created  *recordpb.Created
	Intent   *recordpb.Intent
	History  []*recordpb.Message
	Endpoint *configpb.Endpoint
	// PrefixBoundaries identify the prefixes of the prompt to the engine.
	PrefixBoundaries []placement.Boundary
	// Priority is lower for runs that have received less service.
	Priority uint64
	// Deadline is the time after which the attempt must not be sent.
	Deadline time.Time
}

// Result is the result of an attempt.
type Result struct {
	// Answer is the complete answer, or nil on failure.
	Answer *recordpb.Answered
	// NotExecuted is true only if the endpoint certainly did not execute the
	// call.
	NotExecuted bool
	// Permanent is true if other endpoints would reject the call too.
	Permanent bool
	// Reason describes a failure.
	Reason string
	// TimeToFirstToken and Duration are the times to the first and the last
	// token.
	TimeToFirstToken, Duration time.Duration
}

// Backends sends calls to endpoints.
type Backends interface {
	// Call sends an attempt and streams its answer.
	Call(ctx context.Context, a Attempt, emit func(offset uint64, content string)) Result
	// Release asks an engine to free the resources that it holds for a run.
	Release(ctx context.Context, e *configpb.Endpoint, run string) error
}

// Store stores journals on disk.
type Store interface {
	// Enqueue stores a change after those of earlier calls. The returned
	// function waits for the sync and may be called several times.
	Enqueue(name string, c journal.Change) func() error
	// Drop removes a journal.
	Drop(name string) func() error
}
