// SPDX-License-Identifier: MIT

// Package problem names every refusal and failure that a caller can meet.
//
// Each [Type] is stable and stands in the "type" member of a problem details
// object (RFC 9457). A problem says not_run only when the request certainly did
// not run and never will under the same request id:
//
//	return problem.New(problem.BudgetExhausted, "12 tokens are left, 40 are needed")
package problem

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/peerpb"
)

// Type is the stable name of a problem.
type Type string

// The problems. The second word of each comment is the HTTP status.
const (
	// BadRequest 400: the request cannot be understood.
	BadRequest Type = "bad_request"
	// Unauthorized 401: the key is missing or unknown.
	Unauthorized Type = "unauthorized"
	// NotFound 404: no such run, program or service for this customer.
	NotFound Type = "not_found"
	// AlreadySettled 409: the sequence is settled under another request id.
	AlreadySettled Type = "already_settled"
	// SequenceConflict 409: another request id waits or runs at this sequence.
	SequenceConflict Type = "sequence_conflict"
	// HistoryMismatch 409: the sent history is not the stored one.
	HistoryMismatch Type = "history_mismatch"
	// RunEnded 409: the run has ended.
	RunEnded Type = "run_ended"
	// TooLarge 413: the body or the prompt is too large.
	TooLarge Type = "too_large"
	// PlaceForbidden 421: this instance may not take the call.
	PlaceForbidden Type = "place_forbidden"
	// RequestReused 422: the request id came before with another body.
	RequestReused Type = "request_reused"
	// BudgetExhausted 402: the budget does not cover the most it may cost.
	BudgetExhausted Type = "budget_exhausted"
	// CallsExhausted 402: the run has made all the calls that it may.
	CallsExhausted Type = "calls_exhausted"
	// Overloaded 429: a limit or queue is full.
	Overloaded Type = "overloaded"
	// PredecessorMissing 409: the call before it did not come in time.
	PredecessorMissing Type = "predecessor_missing"
	// EndpointFailed 502: the endpoint failed; the call may have run.
	EndpointFailed Type = "endpoint_failed"
	// NoEndpoint 503: no allowed endpoint can take the call now.
	NoEndpoint Type = "no_endpoint"
	// NotServing 503: the instance or the run's home cannot serve now.
	NotServing Type = "not_serving"
	// Undetermined 503: resend under the same request id to learn the outcome.
	Undetermined Type = "undetermined"
	// OutcomeUnknown 504: the call was sent, may have run, and is never resent.
	OutcomeUnknown Type = "outcome_unknown"
	// Stale 503: the configuration here is older than the binding allows.
	Stale Type = "configuration_stale"
)

// StopRetryAfter is the retry delay of what a stopping instance refuses: others
// take it at once.
const StopRetryAfter = time.Millisecond

// entry is what goes with each type.
type entry struct {
	kind   Type
	status int
	title  string
	// notRun is true where the type by itself proves that nothing ran. Types that
	// an instance may give without the run's journal prove nothing: an earlier
	// sending under the same request id may have run.
	notRun bool
}

var entries = [...]entry{
	{BadRequest, http.StatusBadRequest, "the request cannot be understood", true},
	{Unauthorized, http.StatusUnauthorized, "the key is missing or unknown", true},
	{NotFound, http.StatusNotFound, "there is no such object", true},
	{AlreadySettled, http.StatusConflict, "the sequence is already settled", true},
	{SequenceConflict, http.StatusConflict, "another request holds the sequence", true},
	{HistoryMismatch, http.StatusConflict, "the history differs from the stored one", true},
	{RunEnded, http.StatusConflict, "the run has ended", true},
	{TooLarge, http.StatusRequestEntityTooLarge, "the request is too large", true},
	{PlaceForbidden, http.StatusMisdirectedRequest, "this instance may not take the call", true},
	{RequestReused, http.StatusUnprocessableEntity, "the request id was used with another body", true},
	{BudgetExhausted, http.StatusPaymentRequired, "the budget does not cover the call", true},
	{CallsExhausted, http.StatusPaymentRequired, "the run has made all its calls", true},
	{Overloaded, http.StatusTooManyRequests, "too many calls", false},
	{PredecessorMissing, http.StatusConflict, "the call before it did not come", true},
	{EndpointFailed, http.StatusBadGateway, "the endpoint failed", false},
	{NoEndpoint, http.StatusServiceUnavailable, "no allowed endpoint can take the call", false},
	{NotServing, http.StatusServiceUnavailable, "the run cannot be served now", false},
	{Undetermined, http.StatusServiceUnavailable, "the outcome is undetermined", false},
	{OutcomeUnknown, http.StatusGatewayTimeout, "the call may have run", false},
	{Stale, http.StatusServiceUnavailable, "the configuration may be too old", false},
}

// Types returns all types in the order of the table.
func Types() []Type {
	out := make([]Type, len(entries))
	for i, e := range entries {
		out[i] = e.kind
	}
	return out
}

// New returns a problem of a type with a detail for this occurrence.
func New(t Type, detail string) *peerpb.Problem {
	for _, e := range entries {
		if e.kind == t {
			return &peerpb.Problem{
				Type:   string(t),
				Title:  e.title,
				Detail: detail,
				Status: uint32(e.status),
				NotRun: e.notRun,
			}
		}
	}
	return &peerpb.Problem{Type: string(t), Title: "internal error", Detail: detail, Status: http.StatusInternalServerError}
}

// Certain returns the problem as one whose request certainly did not run. Only
// the run's owner, which has its whole journal, may say so.
func Certain(p *peerpb.Problem) *peerpb.Problem {
	out := proto.CloneOf(p)
	out.NotRun = true
	return out
}

// Retry returns a problem that tells when to come back.
func Retry(t Type, detail string, after time.Duration) *peerpb.Problem {
	p := New(t, detail)
	p.RetryAfterMs = uint32(after.Milliseconds())
	return p
}

// Event returns the problem as the last event of a request.
func Event(p *peerpb.Problem) *peerpb.DoEvent {
	return &peerpb.DoEvent{Body: &peerpb.DoEvent_Problem{Problem: p}}
}
