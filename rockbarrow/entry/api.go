// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/fleetpb"
)

// Request is a client's request.
type Request struct {
	// ID is the client's name for this try.
	ID string
	// Method, Target, Host and Header are passed on as they are; Header lacks
	// what concerns one connection only and what only the system may set.
	Method, Target, Host string
	Header               http.Header
	// Path is the path of the target, for routing.
	Path string
	Body []byte
	// Arrived is when the request was read; Wait is how long the client waits
	// from then on, zero if it did not say.
	Arrived       time.Time
	ClientTimeout time.Duration
	// Program, Line, Previous and Budget describe a turn: the program, the line of
	// turns in it, the turn before and the tokens of all its turns.
	Program, Session, PreviousTurn string
	BudgetTokens                   uint64
	// Prompt and Most are the tokens of the prompt, and of the longest answer.
	PromptTokens, MaxAnswerTokens uint64
	// LastEvent is the id of the last event that the client has of an earlier answer to
	// the same request, or "".
	LastEventID string
	// Finish is the time left on arrival until the program should be over, where
	// HasFinish says that the client told it.
	TimeToFinish    time.Duration
	HasTimeToFinish bool
	// Affinity names the object that the request is about, or is "".
	AffinityKey string
	// Key is the digest of the customer's key, where HasKey says that there is one.
	Key    routing.KeyDigest
	HasKey bool
}

// EndpointRequest is a request on its way to one endpoint.
type EndpointRequest struct {
	Request *Request
	Body    []byte
	// Endpoint must run it, and no other; Life is what is known of its life.
	Endpoint    *configpb.Endpoint
	Incarnation incarnation.ID
	// Deadline is when the endpoint is to stop.
	Deadline time.Time
	// Priority 0 is the most urgent.
	Priority uint32
	// Connections bounds this instance's connections to the endpoint.
	MaxConnections int
	// Stream is true if the answer comes in events.
	Stream bool
	// After is the id of the event after which the answer is to go on, or "".
	ResumeAfter string
	// Customer is whose request it is, or "".
	Customer string
	// HideKey is true where keys are asked for: then the client's key is not the endpoint's to see.
	StripKey bool
}

// Response is what an endpoint answered.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	ContentLength int64
	// Body ends with io.EOF only if the answer is whole. Closing it early ends
	// the endpoint's work.
	Body io.ReadCloser
	// Reconnected is true if the endpoint had closed a connection at rest that was to be used.
	Reconnected bool
}

// Sender carries offers to endpoints.
type Sender interface {
	// Send returns the beginning of the answer, a [NotExecutedError] or a
	// [OutcomeUnknownError].
	Send(ctx context.Context, o EndpointRequest) (*Response, error)
}

// ResponseWriter takes the answer to a request.
type ResponseWriter interface {
	// Start sends the head. Length is -1 if it is not known.
	Start(status int, h http.Header, length int64)
	// Write sends a part of the body at once.
	Write(b []byte) error
}

// NotExecutedError says that an endpoint certainly did not run a request and never
// will.
type NotExecutedError struct {
	Endpoint, Reason string
	// Busy is true if the endpoint was full and not at fault.
	Busy bool
	// Silent is true if nothing at all came back on the network.
	NoResponse bool
}

// Error describes the refusal.
func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("entry: endpoint %s did not run it: %s", e.Endpoint, e.Reason)
}

// OutcomeUnknownError says that an endpoint may have run a request whose answer is lost.
type OutcomeUnknownError struct {
	Endpoint, Reason string
	// Silent is true if nothing at all came back on the network.
	NoResponse bool
}

// Error describes the loss.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("entry: endpoint %s may have run it: %s", e.Endpoint, e.Reason)
}

// Outcome is how a request ended: [Completed], [Rejected] or [Aborted].
type Outcome interface{ outcome() }

// Completed says that the whole answer was written.
type Completed struct{}

// Rejected says that nothing was written yet and what the client is to be told.
type Rejected struct {
	Status int
	// RetryAfter is when to come back; zero tells nothing.
	RetryAfter time.Duration
	Reason     string
}

// Aborted says that the answer began and can't be ended: the connection must be
// closed so that it does not look whole.
type Aborted struct{ Reason string }

func (Completed) outcome() {}
func (Rejected) outcome()  {}
func (Aborted) outcome()   {}

// Decode reads a configuration as operators wrote it.
type DecodeFunc func(document []byte) (*fleetpb.Document, error)

// FetchTable makes a table of at least a version of the one held. With an error it returns
// how far it came.
type FetchTableFunc func(ctx context.Context, held *routing.Table, version uint64) (*routing.Table, error)
