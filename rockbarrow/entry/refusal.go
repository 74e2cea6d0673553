// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/stores"
)

// Step is the step of a request that refused it. It is logged as refused_by and tags the counter requests_refused.
type Step string

const (
	// StepRequest refuses a malformed or too large request, and one without a route.
	StepRequest Step = "request"
	// StepKey refuses a key that is unknown or was not confirmed lately.
	StepKey Step = "key"
	// StepNotReady refuses while the configuration or the list is not loaded.
	StepNotReady  Step = "not_ready"
	StepStop      Step = "stop"
	StepSuspects  Step = "suspects"
	StepAdmission Step = "admission"
	StepSlots     Step = "slots"
	StepQuota     Step = "quota"
	StepMemory    Step = "memory"
	StepBudget    Step = "budget"
	StepStores    Step = "stores"
	// StepEndpoints is a failure of the endpoints, also of one that may have executed the request.
	StepEndpoints Step = "endpoints"
	// StepDeadline means that the request's time ended, or that its client left.
	StepDeadline Step = "deadline"
)

// maxLoggedStores bounds the stores that one field of a log line names.
const maxLoggedStores = 24

// refusalDetails is what the step that refused a request knows. It is filled in on refusals only.
type refusalDetails struct {
	// unavailable is the failure of the stores, also of storing a turn that was executed.
	unavailable *stores.UnavailableError
	overBudget  *stores.OverBudgetError
	// key and known are what is known of a suspect that is held or refused.
	key   quarantine.Key
	known quarantine.Knowledge
	// memoryBytes is what the memory budget had no room for.
	memoryBytes int64
	// notLoaded names what the instance has not learned yet.
	notLoaded []string
}

// recordStoreError notes why the stores failed.
func (x *exchange) recordStoreError(err error) {
	var unavailable *stores.UnavailableError
	if errors.As(err, &unavailable) {
		x.details.unavailable = unavailable
	}
}

// recordSuspicion notes what is known of a suspect.
func (x *exchange) recordSuspicion(now time.Time, k quarantine.Keys) {
	x.details.key, x.details.known = k.Request, x.entry.suspects.Knowledge(now, k)
}

// recordMemoryError notes what the memory budget refused, and returns the step that refused the request.
func (x *exchange) recordMemoryError(err error) Step {
	var usedUp *membudget.UsedUpError
	if !errors.As(err, &usedUp) {
		return x.endedBy()
	}
	x.details.memoryBytes = usedUp.Bytes
	return StepMemory
}

// endedBy returns what ended the request's context.
func (x *exchange) endedBy() Step {
	if x.entry.requestsEnded.Err() != nil {
		return StepStop
	}
	return StepDeadline
}

// step returns the step that did not execute the request.
func (e *NotExecutedError) step() Step { return cmp.Or(e.By, StepEndpoints) }

// refusedBy returns the step that refused a request, or "".
func refusedBy(o Outcome) Step {
	r, ok := o.(Rejected)
	if !ok {
		return ""
	}
	return r.RefusedBy()
}

// RefusedBy returns the step that refused the request.
func (r Rejected) RefusedBy() Step { return cmp.Or(r.By, StepRequest) }

// logRefusal adds to the log fields of a request why it was refused, or not stored.
func (x *exchange) logRefusal(fields logrus.Fields, o Outcome) {
	if r, ok := o.(Rejected); ok {
		fields["refused_by"] = string(refusedBy(o))
		if r.RetryAfter > 0 {
			fields["retry_after_ms"] = r.RetryAfter.Milliseconds()
		}
	}
	d := &x.details
	if d.unavailable != nil {
		logUnavailable(fields, d.unavailable)
	}
	if over := d.overBudget; over != nil {
		fields["budget_tokens"], fields["requested_tokens"] = over.Budget, over.MaxTokens
		fields["settled_tokens"], fields["reserved_tokens"] = over.Settled, over.Used-min(over.Used, over.Settled)
	}
	switch refusedBy(o) {
	case StepSuspects:
		fields["key"] = d.key.String()
		fields["suspect_ends"], fields["suspect_trials"], fields["suspect_lost"] = d.known.Ends, d.known.Trials, d.known.Lost
	case StepAdmission:
		if level, ok := x.admissionLevel(); ok {
			fields["admission_level"] = math.Round(100*level) / 100
		}
	case StepMemory:
		fields["needed_bytes"] = d.memoryBytes
	case StepNotReady:
		fields["not_loaded"] = d.notLoaded
	}
}

// logUnavailable adds what the stores replied and what they lack for a quorum.
func logUnavailable(fields logrus.Fields, e *stores.UnavailableError) {
	replies := slices.Clone(e.Replies)
	// Those that explain the failure come first, as the field is bounded.
	slices.SortStableFunc(replies, func(a, b stores.StoreReply) int { return cmp.Compare(replyRank(a), replyRank(b)) })
	fields["store_replies"], fields["lacking"] = bounded(replies), bounded(e.Shortfalls)
	fields["view"] = e.Epoch
	if e.Call != "" {
		fields["store_call"], fields["store_attempts"] = e.Call, e.Attempts
	}
	if len(e.Prior) > 0 {
		fields["view_change"], fields["prior"] = true, bounded(e.Prior)
	}
	if e.Abandoned > 0 {
		fields["abandoned"] = e.Abandoned
	}
}

// replyRank is higher for replies that count toward a quorum.
func replyRank(r stores.StoreReply) int {
	switch r.Kind {
	case stores.ReplyAcknowledged, stores.ReplyNotFound, stores.ReplyReachable:
		return 1
	}
	return 0
}

// bounded returns the texts of up to maxLoggedStores elements, and then how many more there are.
func bounded[T any](list []T) []string {
	out := make([]string, 0, len(list))
	for i, e := range list {
		if i == maxLoggedStores {
			return append(out, fmt.Sprintf("%d more", len(list)-i))
		}
		out = append(out, fmt.Sprint(e))
	}
	return out
}

// admissionLevel returns the level of the request's service, if one applies.
func (x *exchange) admissionLevel() (float64, bool) {
	l := x.entry.limiters.get(x.service.GetName())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Level()
}

// notLoaded returns the refusal of a request that came before the configuration or the list.
func (x *exchange) notLoaded(hasTable, hasList bool) Rejected {
	if !hasTable {
		x.details.notLoaded = append(x.details.notLoaded, "configuration")
	}
	if !hasList {
		x.details.notLoaded = append(x.details.notLoaded, "endpoint_list")
	}
	return notInitialized
}
