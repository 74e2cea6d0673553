// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/schema/fleetpb"
)

// teller answers as a control instance, and keeps what it was asked last and when.
type teller struct {
	fleetpb.UnimplementedControlServer
	reply    *fleetpb.WatchReply
	asked    *fleetpb.WatchRequest
	received time.Time
	// admits counts questions about quotas; refuses makes them fail.
	admits  int
	refuses bool
}

func (c *teller) Watch(_ context.Context, req *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	c.asked, c.received = req, time.Now()
	return c.reply, nil
}

func (c *teller) Admit(context.Context, *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	c.admits++
	if c.refuses {
		return nil, status.Error(codes.Unavailable, "not now")
	}
	return &fleetpb.AdmitReply{Granted: true}, nil
}

// told returns what a request tells of customers.
func told(req *fleetpb.WatchRequest) []string {
	var out []string
	for _, u := range req.GetCustomerUses() {
		out = append(out, fmt.Sprint(u.GetCustomer(), " ", u.GetRequests(), " ", u.GetEarlier()))
	}
	return out
}

// TestRequestsOfCustomersAreToldOnce: and all within the window again to another process, which knows of none.
func TestRequestsOfCustomersAreToldOnce(t *testing.T) {
	c, control := newTableClient(t), &teller{}
	let, recent := map[string]uint64{"a": 5}, map[string]uint64{"a": 3}
	c.CustomerUses = func(string, bool) []CustomerUse { return nil }
	target := c.serve(t, control)
	c.CustomerUses = func(address string, whole bool) []CustomerUse {
		if address != target.address {
			t.Errorf("uses are made for %s", address)
		}
		counts := let
		if whole {
			counts = recent
		}
		var out []CustomerUse
		for customer, n := range counts {
			out = append(out, CustomerUse{Customer: customer, Requests: n})
		}
		slices.SortFunc(out, func(a, b CustomerUse) int { return len(a.Customer) - len(b.Customer) })
		return out
	}
	for _, step := range []struct {
		name    string
		process uint64
		a       uint64
		want    string
	}{
		{"a process that knows nothing is told of the window", 1, 5, "[a 3 true]"},
		{"what came since", 1, 7, "[a 2 false]"},
		{"nothing new", 1, 7, "[]"},
		{"another process answers", 2, 8, "[a 1 false]"},
		{"it is told of the window", 2, 8, "[a 3 true]"},
		{"and of what came since", 2, 9, "[a 1 false]"},
		{"the sender's counts began anew", 2, 4, "[]"},
	} {
		let["a"], control.reply = step.a, &fleetpb.WatchReply{Process: step.process}
		if err := target.watch(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(told(control.asked)); got != step.want {
			t.Errorf("%s: %s, want %s", step.name, got, step.want)
		}
	}
}

// TestAConfirmationCountsFromTheQuestion: the answer may lag for as long as it likes.
func TestAConfirmationCountsFromTheQuestion(t *testing.T) {
	const age = 250 * time.Millisecond
	c, control := newTableClient(t), &teller{reply: &fleetpb.WatchReply{Confirmed: &fleetpb.Confirmed{Version: 7, AgeUs: uint64(age.Microseconds())}}}
	var version uint64
	var at time.Time
	c.OnConfirmed = func(v uint64, moment time.Time) { version, at = v, moment }
	c.AwaitsConfirmation = func() bool { return true }
	if err := c.serve(t, control).watch(t.Context()); err != nil {
		t.Fatal(err)
	}
	if version != 7 || at.After(control.received.Add(-age)) {
		t.Errorf("version %d is confirmed up to %v after the question came less the age", version, at.Sub(control.received.Add(-age)))
	}
	if !control.asked.GetUnconfirmed() {
		t.Error("the control instance is not told that nothing was confirmed yet")
	}
}

// TestAVoteCountsFromTheQuestion, and control instances do not hold each other's first calls: leases rest on what these
// answers tell.
func TestAVoteCountsFromTheQuestion(t *testing.T) {
	c, control := newTableClient(t), &teller{reply: &fleetpb.WatchReply{AcceptedNumber: 4, Responder: &fleetpb.Member{Instance: "c", Storage: 5}}}
	c.Role, c.Self.Storage = fleetpb.Role_ROLE_CONTROL, 1
	target := c.serve(t, control)
	target.answered = false
	if err := target.watch(t.Context()); err != nil {
		t.Fatal(err)
	}
	if control.asked.GetWaitMs() != 0 {
		t.Errorf("the first call may be held for %d ms", control.asked.GetWaitMs())
	}
	now := time.Now()
	at, ok := c.Confirm(&fleetpb.State{Number: 4, Voters: []*fleetpb.Member{{Storage: 5}}}, 9, now)
	if !ok || at.After(control.received) {
		t.Errorf("confirmed %v after the question came, %v", at.Sub(control.received), ok)
	}
	if _, ok := c.Confirm(&fleetpb.State{Number: 3, Voters: []*fleetpb.Member{{Storage: 5}}}, 0, now); ok {
		t.Error("a voter with a newer state has confirmed an older one")
	}
	if err := target.watch(t.Context()); err != nil || control.asked.GetWaitMs() == 0 {
		t.Errorf("later calls are not held: %v", err)
	}
}

// TestAllAskTheSameInstanceAboutACustomer: whoever asks, and the next one if it does not answer.
func TestAllAskTheSameInstanceAboutACustomer(t *testing.T) {
	c := newTableClient(t)
	controls := map[string]*teller{}
	for range 3 {
		control := &teller{}
		controls[c.serve(t, control).address] = control
	}
	chosen := map[string]bool{}
	for i := range 30 {
		customer := fmt.Sprint("c", i)
		c.Self = &fleetpb.Member{Instance: "one"}
		order := c.counters(customer, time.Now())
		c.Self = &fleetpb.Member{Instance: "another"}
		if again := c.counters(customer, time.Now()); !slices.Equal(order, again) {
			t.Fatalf("customer %s: %v and %v", customer, order, again)
		}
		chosen[order[0]] = true
	}
	if len(chosen) < 2 {
		t.Error("one instance counts for all customers")
	}
	order := c.counters("a", time.Now())
	controls[order[0]].refuses = true
	control, reply, err := c.Admit(t.Context(), &fleetpb.AdmitRequest{Customer: "a", Requests: 1})
	if err != nil || !reply.GetGranted() || control != order[1] || controls[order[0]].admits != 1 {
		t.Errorf("%s granted, %v", control, err)
	}
	controls[order[1]].refuses = true
	if _, _, err := c.Admit(t.Context(), &fleetpb.AdmitRequest{Customer: "a"}); err == nil {
		t.Error("a question that nobody answered was granted")
	}
}
