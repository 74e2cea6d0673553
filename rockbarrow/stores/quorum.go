// SPDX-License-Identifier: MIT

package stores

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// callWithin bounds one call to one store: a round trip between failure
	// domains (3 ms), a sync (1 ms) and queueing under bursts.
	callWithin = 800 * time.Millisecond
	// retryPause lies between two tries with a quorum, under another view or when
	// stores were still copying.
	retryPause = 15 * time.Millisecond
	// hedgeAfter is the default of [Client.HedgeDelay]: a call takes some 5 ms.
	hedgeAfter = 10 * time.Millisecond
)

// answer is one store's reply.
type answer[R any] struct {
	member *fleetpb.Member
	reply  R
	status *fleetpb.StoreStatus
	err    error
}

// caller calls one store.
type caller[R any] struct {
	client *Client
	member *fleetpb.Member
	call   func(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (R, *fleetpb.StoreStatus, error)
	out    chan<- answer[R]
}

// run calls the store and goes on after a majority has answered without it, so
// that it gets the record too.
func (c *caller[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callWithin)
	defer cancel()
	slow := &suspicion{client: c.client, member: c.member, asked: time.Now()}
	timer := time.AfterFunc(suspectAfter, slow.run)
	a := answer[R]{member: c.member}
	conn, err := c.client.Pool.Get(c.member.GetAddress())
	if err == nil {
		a.reply, a.status, err = c.call(ctx, fleetpb.NewStoreClient(conn), c.member)
	}
	timer.Stop()
	if err == nil || !wasStalled(slow.asked, callWithin) {
		c.client.observe(c.member, err)
	}
	a.err = err
	c.out <- a
}

// outcome is how a try with a quorum ended.
type outcome int

const (
	// reached: enough stores answered.
	reached outcome = iota
	// short: too few did; another try may do better.
	short
	// expired: the time is over.
	expired
)

// asking is a question to the members of a tally.
type asking[R any] struct {
	client *Client
	call   func(context.Context, fleetpb.StoreClient, *fleetpb.Member) (R, *fleetpb.StoreStatus, error)
	// answers has room for those of all members.
	answers chan answer[R]
	// rest are the members that were not asked yet, asked counts the others.
	rest  []*fleetpb.Member
	asked int
}

// ask asks so many of the rest.
func (a *asking[R]) ask(ctx context.Context, n int) {
	for _, m := range a.rest[:n] {
		go (&caller[R]{client: a.client, member: m, call: a.call, out: a.answers}).run(ctx)
	}
	a.rest, a.asked = a.rest[n:], a.asked+n
}

// gather calls the members of a tally until enough reports true: the first ones at once, and all others if one of
// these refuses, a store goes out of reach or they take longer than usual. Each reply that counts goes to take first. It
// gives up once unreachable reports true, which it asks when stores go out of reach; without it, it waits for all answers.
func gather[R any](
	ctx context.Context, c *Client, t *ledger.QuorumTracker, members []*fleetpb.Member, first int, enough, unreachable func() bool,
	call func(context.Context, fleetpb.StoreClient, *fleetpb.Member) (R, *fleetpb.StoreStatus, error),
	take func(R),
) (outcome, string) {
	a := &asking[R]{client: c, call: call, answers: make(chan answer[R], len(members)), rest: members}
	a.ask(ctx, first)
	hedge := time.NewTimer(cmp.Or(c.HedgeDelay, hedgeAfter))
	defer hedge.Stop()
	reason := "no store answered"
	for heard := 0; heard < len(members); {
		change := c.health.change()
		if unreachable != nil && unreachable() {
			return expired, "most stores have gone out of reach"
		}
		select {
		case <-change:
			a.ask(ctx, len(a.rest))
			continue
		case <-hedge.C:
			a.ask(ctx, len(a.rest))
			continue
		case got := <-a.answers:
			heard++
			if why := refusedBy(got.status, got.err); why != "" {
				t.Refuse(got.member.GetStorage())
				reason = got.member.GetInstance() + ": " + why
				a.ask(ctx, len(a.rest))
				continue
			}
			t.Ack(got.member.GetStorage(), got.status.GetWholeEpoch())
			take(got.reply)
			if enough() {
				return reached, ""
			}
		case <-ctx.Done():
			return expired, reason
		}
		if t.QuorumLost() {
			return short, reason
		}
		if heard == a.asked {
			a.ask(ctx, len(a.rest))
		}
	}
	return short, reason
}

func refusedBy(s *fleetpb.StoreStatus, err error) string {
	if err != nil {
		return err.Error()
	}
	if s.GetRefused() != fleetpb.StoreStatus_REFUSED_NONE {
		return fmt.Sprintf("%v, view %d", s.GetRefused(), s.GetEpoch())
	}
	return ""
}

// again waits before another try. It reports false once the time is over.
func again(ctx context.Context) bool { return wait.For(ctx, retryPause) }
