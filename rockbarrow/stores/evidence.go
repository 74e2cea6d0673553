// SPDX-License-Identifier: MIT

package stores

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// maxErrorDetail bounds the text of an error in a [StoreReply] in bytes. The end of the text is kept, as it has the cause.
const maxErrorDetail = 60

// ReplyKind is what a store replied to a call that reached no quorum.
type ReplyKind string

const (
	// ReplyAcknowledged means that the store has synced the record, and ReplyNotFound that it does not have the turn.
	ReplyAcknowledged ReplyKind = "acknowledged"
	ReplyNotFound     ReplyKind = "not_found"
	// ReplyAcknowledgedIncomplete and ReplyNotFoundIncomplete are the same of a store that does not hold all records from before
	// the view, which doesn't count toward a read quorum.
	ReplyAcknowledgedIncomplete ReplyKind = "acknowledged_incomplete"
	ReplyNotFoundIncomplete     ReplyKind = "not_found_incomplete"
	// ReplyRefused has the reason and the store's view as its detail, ReplyError the code and the text of the error.
	ReplyRefused ReplyKind = "refused"
	ReplyError   ReplyKind = "error"
	ReplyTimeout ReplyKind = "timeout"
	// ReplyNone means that the store has not answered yet, and ReplyNotAsked that it was not called.
	ReplyNone     ReplyKind = "no_answer"
	ReplyNotAsked ReplyKind = "not_asked"
	// ReplyUnreachable and ReplyReachable are known from earlier calls; the store was not called for this request.
	ReplyUnreachable ReplyKind = "unreachable"
	ReplyReachable   ReplyKind = "reachable"
)

// StoreReply is what one store replied.
type StoreReply struct {
	// Store is the instance name.
	Store  string
	Kind   ReplyKind
	Detail string
	// Earlier is true if the reply is to an earlier attempt of the request, and the last one has none.
	Earlier bool
}

func (r StoreReply) String() string {
	out := r.Store + " " + string(r.Kind)
	if r.Detail != "" {
		out += " " + r.Detail
	}
	if r.Earlier {
		out += " (earlier)"
	}
	return out
}

// callEvidence collects over the attempts of a call what stores replied. It costs nothing while the first attempt reaches its quorum and
// no store refuses. The zero value is ready to use.
type callEvidence struct {
	attempts int
	// replies holds the last reply of each storage: refusals, and answers of attempts that have failed.
	replies map[uint64]storeOutcome
	// unsent are the members that the last attempt did not call.
	unsent []*fleetpb.Member
}

// storeOutcome is a store's reply to one attempt.
type storeOutcome struct {
	attempt int
	// answered is true if the reply counts toward a quorum, and complete if the store holds all records from before the view.
	answered, complete bool
	// status and err tell why it does not count.
	status *fleetpb.StoreStatus
	err    error
}

// begin begins an attempt.
func (e *callEvidence) begin() {
	e.attempts++
	e.unsent = nil
}

func (e *callEvidence) record(storage uint64, o storeOutcome) {
	if e.replies == nil {
		e.replies = map[uint64]storeOutcome{}
	}
	o.attempt = e.attempts
	e.replies[storage] = o
}

// end ends an attempt that reached no quorum.
func (e *callEvidence) end(t *ledger.QuorumTracker, unsent []*fleetpb.Member) {
	e.unsent = unsent
	for _, m := range t.Members() {
		if answered, complete := t.HasAnswered(m.GetStorage()); answered {
			e.record(m.GetStorage(), storeOutcome{answered: true, complete: complete})
		}
	}
}

// unavailable returns the error of a call that reached no quorum.
func (e *callEvidence) unavailable(call, reason string, v *fleetpb.View, t *ledger.QuorumTracker) *UnavailableError {
	out := newUnavailableError(reason, v)
	out.Call, out.Attempts = call, e.attempts
	for _, m := range t.Members() {
		out.Replies = append(out.Replies, e.replyOf(call, m))
	}
	out.Shortfalls = t.Shortfalls(purposeOf(call))
	return out
}

func (e *callEvidence) replyOf(call string, m *fleetpb.Member) StoreReply {
	o, ok := e.replies[m.GetStorage()]
	switch {
	case ok:
		r := o.reply(call, m.GetInstance())
		r.Earlier = o.attempt < e.attempts
		return r
	case slices.Contains(e.unsent, m):
		return StoreReply{Store: m.GetInstance(), Kind: ReplyNotAsked}
	}
	return StoreReply{Store: m.GetInstance(), Kind: ReplyNone}
}

// reply describes the outcome.
func (o storeOutcome) reply(call, store string) StoreReply {
	switch {
	case o.answered:
		return StoreReply{Store: store, Kind: answerKind(call, o.complete)}
	case o.err == nil:
		name := strings.TrimPrefix(strings.ToLower(o.status.GetRefused().String()), "refused_")
		return StoreReply{Store: store, Kind: ReplyRefused, Detail: fmt.Sprintf("%s view %d", name, o.status.GetEpoch())}
	case status.Code(o.err) == codes.DeadlineExceeded:
		return StoreReply{Store: store, Kind: ReplyTimeout}
	}
	text := status.Convert(o.err).Message()
	text = strings.ToValidUTF8(text[max(0, len(text)-maxErrorDetail):], "")
	return StoreReply{Store: store, Kind: ReplyError, Detail: strings.ToLower(status.Code(o.err).String()) + " " + text}
}

// answerKind returns the kind of an answer that counts. A lookup that found the turn has reached its goal.
func answerKind(call string, complete bool) ReplyKind {
	switch {
	case call == CallLookup && complete:
		return ReplyNotFound
	case call == CallLookup:
		return ReplyNotFoundIncomplete
	case complete:
		return ReplyAcknowledged
	}
	return ReplyAcknowledgedIncomplete
}

func purposeOf(call string) ledger.Purpose {
	switch call {
	case CallSettle:
		return ledger.ForWrite
	case CallLookup:
		return ledger.ForRead
	}
	return ledger.ForBoth
}

func newUnavailableError(reason string, v *fleetpb.View) *UnavailableError {
	e := &UnavailableError{Reason: reason, Epoch: v.GetEpoch(), Abandoned: len(v.GetAbandoned())}
	for _, m := range v.GetPrior() {
		e.Prior = append(e.Prior, m.GetInstance())
	}
	return e
}

// deniedBy returns the replies of stores that do not have a turn.
func deniedBy(r Replies) []StoreReply {
	var out []StoreReply
	for _, name := range r.Stores() {
		out = append(out, StoreReply{Store: name, Kind: answerKind(CallLookup, !slices.Contains(r.Incomplete(), name))})
	}
	return out
}

// UnreachableError returns what earlier calls tell about a program's stores, for a program that [Client.ProgramReachable] denies.
func (c *Client) UnreachableError(program string) *UnavailableError {
	v := c.Watch.State().GetView()
	if v == nil {
		return &UnavailableError{Reason: "no store view is known"}
	}
	t := ledger.NewQuorumTracker(v, program)
	out := newUnavailableError("a quorum of the stores is unreachable", v)
	for _, m := range t.Members() {
		r := StoreReply{Store: m.GetInstance(), Kind: ReplyReachable}
		if c.health.isUnreachable(m.GetStorage()) {
			r.Kind = ReplyUnreachable
		} else {
			// Whether the store is complete is not known and counts as true, as it does in ProgramReachable.
			t.Ack(m.GetStorage(), v.GetEpoch())
		}
		out.Replies = append(out.Replies, r)
	}
	out.Shortfalls = t.Shortfalls(ledger.ForBoth)
	return out
}
