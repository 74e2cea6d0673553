// SPDX-License-Identifier: MIT

package stores

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// callTimeout limits one call to one store: a round trip between failure
	// domains (3 ms), an fsync (1 ms) and queueing under bursts.
	callTimeout = 800 * time.Millisecond
	// retryDelay is the delay before a quorum call is retried, under a newer view
	// or while stores are still copying.
	retryDelay = 15 * time.Millisecond
	// defaultHedgeDelay is the default of [Client.HedgeDelay], above the usual
	// latency of a call, about 5 ms.
	defaultHedgeDelay = 10 * time.Millisecond
)

// response is the result of a call to one store.
type response[R any] struct {
	member *fleetpb.Member
	reply  R
	status *fleetpb.StoreStatus
	err    error
}

// storeCall is a call to one store.
type storeCall[R any] struct {
	client  *Client
	member  *fleetpb.Member
	request storeRequest[R]
	results chan<- response[R]
}

// start sends the call on the stream to its store, or else as a unary call.
func (c *storeCall[R]) start(ctx context.Context) {
	if c.request.call != nil {
		if s := c.client.stream(c.member.GetAddress()); s != nil {
			done := func(r *fleetpb.StoreCallReply, started time.Time, err error) { c.streamDone(ctx, r, started, err) }
			if c.send(s, &streamedCall{slow: c.slow, done: done}) {
				return
			}
		}
	}
	go c.run(ctx)
}

// send reports whether the call was sent on the stream or has failed.
func (c *storeCall[R]) send(s *callStream, p *streamedCall) bool {
	call := c.request.call(c.member)
	if call == nil {
		return false
	}
	sent, err := s.send(call, p)
	if err != nil {
		c.finish(response[R]{member: c.member}, time.Now(), err)
		return true
	}
	return sent
}

func (c *storeCall[R]) slow(started time.Time) {
	(&responseTimeout{client: c.client, member: c.member, started: started}).run()
}

// streamDone handles the end of a call on a stream.
func (c *storeCall[R]) streamDone(ctx context.Context, r *fleetpb.StoreCallReply, started time.Time, err error) {
	var notHandled *notHandledError
	if errors.As(err, &notHandled) {
		go c.run(ctx)
		return
	}
	result := response[R]{member: c.member}
	if err == nil {
		result.reply, result.status, err = c.request.reply(r)
	}
	c.finish(result, started, err)
}

// finish records the result of the call and passes it on. A call that could not be
// encoded has not reached its store and says nothing about it.
func (c *storeCall[R]) finish(r response[R], started time.Time, err error) {
	if isEncodingError(err) {
		r.err = err
		c.results <- r
		return
	}
	if err == nil || !processStalled(started, callTimeout) {
		c.client.recordResult(c.member, err)
	}
	r.err = err
	c.results <- r
}

// run calls the store. It continues after the quorum was reached without this
// store, so that the store receives the record too.
func (c *storeCall[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	timeout := &responseTimeout{client: c.client, member: c.member, started: time.Now()}
	timer := time.AfterFunc(unresponsiveAfter, timeout.run)
	r := response[R]{member: c.member}
	conn, err := c.client.Pool.Get(c.member.GetAddress())
	if err == nil {
		r.reply, r.status, err = c.request.unary(ctx, fleetpb.NewStoreClient(conn), c.member)
	}
	timer.Stop()
	c.finish(r, timeout.started, err)
}

// callOutcome is the result of one attempt to reach a quorum.
type callOutcome int

const (
	// quorumReached means that enough stores answered.
	quorumReached callOutcome = iota
	// quorumFailed means that too few stores answered; a retry may succeed.
	quorumFailed
	// aborted means that the context ended or the quorum is unreachable; a retry is useless.
	aborted
)

// quorumCall is a call to the members of a quorum tracker.
type quorumCall[R any] struct {
	client  *Client
	request storeRequest[R]
	// responses is buffered for all members, so that late calls never block.
	responses chan response[R]
	// unsent are the members that were not called yet, sent counts the others.
	unsent []*fleetpb.Member
	sent   int
}

// send calls the next n members that were not called yet.
func (q *quorumCall[R]) send(ctx context.Context, n int) {
	for _, m := range q.unsent[:n] {
		(&storeCall[R]{client: q.client, member: m, request: q.request, results: q.responses}).start(ctx)
	}
	q.unsent, q.sent = q.unsent[n:], q.sent+n
}

// callQuorum calls the members of a tracker until done reports true. It calls the
// first ones at once and the others if these do not suffice, if the reachability
// of a store changes or after the hedge delay. onReply receives each reply that
// counts, before done is checked. callQuorum aborts once unreachable reports
// true, which is checked when the reachability of stores changes; a nil
// unreachable never aborts. The evidence is complete unless the quorum is reached.
func callQuorum[R any](
	ctx context.Context, c *Client, t *ledger.QuorumTracker, members []*fleetpb.Member, first int, done, unreachable func() bool,
	request storeRequest[R],
	e *callEvidence,
	onReply func(R),
) (callOutcome, string) {
	q := &quorumCall[R]{client: c, request: request, responses: make(chan response[R], len(members)), unsent: members}
	e.begin()
	q.send(ctx, first)
	hedge := time.NewTimer(cmp.Or(c.HedgeDelay, defaultHedgeDelay))
	defer hedge.Stop()
	reason := "no store answered"
	for received := 0; received < len(members); {
		change := c.health.nextChange()
		if unreachable != nil && unreachable() {
			e.end(t, q.unsent)
			return aborted, "a quorum of the stores is unreachable"
		}
		select {
		case <-change:
			q.send(ctx, len(q.unsent))
			continue
		case <-hedge.C:
			q.send(ctx, len(q.unsent))
			continue
		case got := <-q.responses:
			received++
			if isEncodingError(got.err) {
				return aborted, got.err.Error()
			}
			if refusal := refusalReason(got.status, got.err); refusal != "" {
				t.Refuse(got.member.GetStorage())
				if status.Code(got.err) == codes.DeadlineExceeded {
					t.MarkLate(got.member.GetStorage())
				}
				e.record(got.member.GetStorage(), storeOutcome{status: got.status, err: got.err})
				reason = got.member.GetInstance() + ": " + refusal
				q.send(ctx, len(q.unsent))
				continue
			}
			t.Ack(got.member.GetStorage(), got.status.GetWholeEpoch())
			onReply(got.reply)
			if done() {
				return quorumReached, ""
			}
		case <-ctx.Done():
			e.end(t, q.unsent)
			return aborted, reason
		}
		if t.QuorumLost() {
			e.end(t, q.unsent)
			return quorumFailed, reason
		}
		if received == q.sent {
			q.send(ctx, len(q.unsent))
		}
	}
	e.end(t, nil)
	return quorumFailed, reason
}

func refusalReason(s *fleetpb.StoreStatus, err error) string {
	if err != nil {
		return err.Error()
	}
	if s.GetRefused() != fleetpb.StoreStatus_REFUSED_NONE {
		return fmt.Sprintf("%v, view %d", s.GetRefused(), s.GetEpoch())
	}
	return ""
}

// waitRetry waits before a retry. It reports false if ctx ended.
func waitRetry(ctx context.Context) bool { return wait.For(ctx, retryDelay) }
