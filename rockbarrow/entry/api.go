// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/fleetpb"
)

// Request is a client's request.
type Request struct {
	// ID is the request id that the client chose.
	ID string
	// Method, Target, Host and Header are forwarded unchanged. Header has no hop-by-hop
	// fields and none that only the system may set.
	Method, Target, Host string
	Header               http.Header
	// Path is the path component of Target. Routing uses it.
	Path string
	Body []byte
	// HeaderBytes is the size of the request line and the headers as they were read.
	HeaderBytes int
	// Arrived is when the request was read, less the wait for a configuration. ClientTimeout is how long the client waits
	// from then on, zero if unknown.
	Arrived       time.Time
	ClientTimeout time.Duration
	// Program, Session and PreviousTurn identify a turn's program, its session within
	// the program and the turn that it continues. BudgetTokens limits all turns of the
	// program, zero if unlimited.
	Program, Session, PreviousTurn string
	BudgetTokens                   uint64
	// PromptTokens is the size of the prompt, MaxAnswerTokens the limit of the answer.
	PromptTokens, MaxAnswerTokens uint64
	// LastEventID is the id of the last event that the client received in an earlier
	// response to the same request, or "".
	LastEventID string
	// TimeToFinish is the time on arrival until the program should finish. It is valid
	// only if HasTimeToFinish is true.
	TimeToFinish    time.Duration
	HasTimeToFinish bool
	// AffinityKey identifies the object that the request concerns, or is "".
	AffinityKey string
	// Key is the digest of the customer's key. It is valid only if HasKey is true.
	Key    routing.KeyDigest
	HasKey bool
	// Memory is charged for what the request holds; nil means no limit.
	Memory *membudget.Account
}

// EndpointRequest is a client's request as it is sent to one endpoint.
type EndpointRequest struct {
	Request *Request
	Body    []byte
	// Endpoint is the only endpoint that may execute the request. Incarnation is its
	// known incarnation.
	Endpoint    *configpb.Endpoint
	Incarnation incarnation.ID
	// Deadline is when the endpoint must stop working on the request.
	Deadline time.Time
	// Priority is lower for more urgent requests; 0 is the most urgent.
	Priority uint32
	// MaxConnections bounds this instance's connections to the endpoint.
	MaxConnections int
	// Stream is true if the response is a stream of server-sent events.
	Stream bool
	// ResumeAfter is the id of the event after which the stream must continue, or "".
	ResumeAfter string
	// Customer is the name of the authenticated customer, or "".
	Customer string
	// StripKey is true if the client's key must not be forwarded, because it
	// authenticates the client here.
	StripKey bool
}

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if unknown.
	ContentLength int64
	// Body ends with io.EOF only if the response is complete. Closing it early cancels
	// the endpoint's work.
	Body io.ReadCloser
	// Reconnected is true if the endpoint had closed the idle connection chosen first.
	Reconnected bool
}

// Sender sends requests to endpoints.
type Sender interface {
	// Send returns once the response header is received. Its error is a
	// [NotExecutedError] or an [OutcomeUnknownError].
	Send(ctx context.Context, r EndpointRequest) (*Response, error)
}

// ResponseWriter sends the response to a client.
type ResponseWriter interface {
	// Start sends the status and header. Length is -1 if unknown.
	Start(status int, h http.Header, length int64)
	// Write sends a part of the body and flushes it.
	Write(b []byte) error
	// WriteLast sends the last part of the body, which may be flushed together with
	// the end of the response.
	WriteLast(b []byte) error
}

// NotExecutedError reports that an endpoint did not execute a request and never will,
// so that it can be sent to another endpoint.
type NotExecutedError struct {
	Endpoint, Reason string
	// Busy is true if the endpoint was at capacity rather than faulty.
	Busy bool
	// NoResponse is true if the network gave no response at all.
	NoResponse bool
	// Cause is an [OversizedError] or an [http1.MalformedError] if the refusal was too long or malformed behind its head, or nil.
	Cause error
	// By is the step that did not let the request reach the endpoint, "" for the endpoint itself.
	By Step
}

func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("entry: endpoint %s did not run it: %s", e.Endpoint, e.Reason)
}

// Unwrap returns the cause.
func (e *NotExecutedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that an endpoint may have executed a request whose response
// was lost.
type OutcomeUnknownError struct {
	Endpoint, Reason string
	// NoResponse is true if the network gave no response at all.
	NoResponse bool
	// Answered is true if the endpoint gave a whole response, which was not forwarded.
	Answered bool
	// Cause is the error that ended the response, or nil.
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("entry: endpoint %s may have run it: %s", e.Endpoint, e.Reason)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Outcome is how a request ended: [Completed], [Rejected] or [Aborted].
type Outcome interface{ outcome() }

// Completed is the outcome of a request whose whole response was written.
type Completed struct{}

// Rejected is the outcome of a request of which nothing was written. The client gets an
// error response.
type Rejected struct {
	Status int
	// RetryAfter is when the client should retry, zero to leave it out.
	RetryAfter time.Duration
	Reason     string
	// By is the step that refused the request, "" for StepRequest.
	By Step
}

// Aborted is the outcome of a request whose response was written in part. The connection
// must be closed so that the response does not look complete.
type Aborted struct{ Reason string }

func (Completed) outcome() {}
func (Rejected) outcome()  {}
func (Aborted) outcome()   {}

// DecodeFunc parses a configuration document as operators wrote it.
type DecodeFunc func(document []byte) (*fleetpb.Document, error)

// FetchTableFunc updates a routing table to at least the given version. With an error, it
// returns the newest table that it could make.
type FetchTableFunc func(ctx context.Context, held *routing.Table, version uint64) (*routing.Table, error)
