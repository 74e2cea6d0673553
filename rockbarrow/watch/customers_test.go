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

// recordingControl is a control instance that records the last request and when it arrived.
type recordingControl struct {
	fleetpb.UnimplementedControlServer
	reply       *fleetpb.WatchReply
	lastRequest *fleetpb.WatchRequest
	receivedAt  time.Time
	// admits counts Admit calls; refuseAdmit makes them fail.
	admits      int
	refuseAdmit bool
}

func (c *recordingControl) Watch(_ context.Context, req *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	c.lastRequest, c.receivedAt = req, time.Now()
	return c.reply, nil
}

func (c *recordingControl) Admit(context.Context, *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	c.admits++
	if c.refuseAdmit {
		return nil, status.Error(codes.Unavailable, "unavailable")
	}
	return &fleetpb.AdmitReply{Granted: true}, nil
}

// customerUsesOf formats the customer uses of a request.
func customerUsesOf(req *fleetpb.WatchRequest) []string {
	var out []string
	for _, u := range req.GetCustomerUses() {
		out = append(out, fmt.Sprint(u.GetCustomer(), " ", u.GetRequests(), " ", u.GetEarlier()))
	}
	return out
}

// TestCustomerUsesAreReportedOnce guards against double counting: only a new
// process is told of the whole window again.
func TestCustomerUsesAreReportedOnce(t *testing.T) {
	c, control := newTestClient(t), &recordingControl{}
	admitted, recent := map[string]uint64{"a": 5}, map[string]uint64{"a": 3}
	c.CustomerUses = func(string, bool) []CustomerUse { return nil }
	target := c.serve(t, control)
	c.CustomerUses = func(address string, whole bool) []CustomerUse {
		if address != target.address {
			t.Errorf("uses were requested for %s", address)
		}
		counts := admitted
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
		{"new process receives the whole window", 1, 5, "[a 3 true]"},
		{"only later requests", 1, 7, "[a 2 false]"},
		{"no new requests", 1, 7, "[]"},
		{"another process answers the call", 2, 8, "[a 1 false]"},
		{"it receives the whole window", 2, 8, "[a 3 true]"},
		{"it receives only later requests", 2, 9, "[a 1 false]"},
		{"the sender's counters were reset", 2, 4, "[]"},
	} {
		admitted["a"], control.reply = step.a, &fleetpb.WatchReply{Process: step.process}
		if err := target.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(customerUsesOf(control.lastRequest)); got != step.want {
			t.Errorf("%s: %s, want %s", step.name, got, step.want)
		}
	}
}

// TestConfirmationCountsFromRequestTime guards against confirmations that a slow reply makes look newer.
func TestConfirmationCountsFromRequestTime(t *testing.T) {
	const age = 250 * time.Millisecond
	c, control := newTestClient(t), &recordingControl{reply: &fleetpb.WatchReply{Confirmed: &fleetpb.Confirmed{Version: 7, AgeUs: uint64(age.Microseconds())}}}
	var version uint64
	var at time.Time
	c.OnConfirmed = func(v uint64, moment time.Time) { version, at = v, moment }
	c.AwaitsConfirmation = func() bool { return true }
	if err := c.serve(t, control).poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if version != 7 || at.After(control.receivedAt.Add(-age)) {
		t.Errorf("version %d is confirmed up to %v after the request's arrival less the age", version, at.Sub(control.receivedAt.Add(-age)))
	}
	if !control.lastRequest.GetUnconfirmed() {
		t.Error("the request does not say that no confirmation was received")
	}
}

// TestVoteCountsFromRequestTime guards against leases that rest on stale votes,
// and against control instances that hold each other's first call.
func TestVoteCountsFromRequestTime(t *testing.T) {
	c, control := newTestClient(t), &recordingControl{reply: &fleetpb.WatchReply{AcceptedNumber: 4, Responder: &fleetpb.Member{Instance: "c", Storage: 5}}}
	c.Role, c.Self.Storage = fleetpb.Role_ROLE_CONTROL, 1
	target := c.serve(t, control)
	target.answered = false
	if err := target.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if control.lastRequest.GetWaitMs() != 0 {
		t.Errorf("the first call may wait for %d ms", control.lastRequest.GetWaitMs())
	}
	now := time.Now()
	at, ok := c.Confirm(&fleetpb.State{Number: 4, Voters: []*fleetpb.Member{{Storage: 5}}}, 9, now)
	if !ok || at.After(control.receivedAt) {
		t.Errorf("confirmed %v after the request's arrival, %v", at.Sub(control.receivedAt), ok)
	}
	if _, ok := c.Confirm(&fleetpb.State{Number: 3, Voters: []*fleetpb.Member{{Storage: 5}}}, 0, now); ok {
		t.Error("a voter with a newer state confirmed an older one")
	}
	if err := target.poll(t.Context()); err != nil || control.lastRequest.GetWaitMs() == 0 {
		t.Errorf("later calls do not wait: %v", err)
	}
}

// TestAdmitOrderIsTheSameForAllSenders checks that senders agree on an instance, and fall back to the next one.
func TestAdmitOrderIsTheSameForAllSenders(t *testing.T) {
	c := newTestClient(t)
	controls := map[string]*recordingControl{}
	for range 3 {
		control := &recordingControl{}
		controls[c.serve(t, control).address] = control
	}
	chosen := map[string]bool{}
	for i := range 30 {
		customer := fmt.Sprint("c", i)
		c.Self = &fleetpb.Member{Instance: "one"}
		order := c.admitOrder(customer, time.Now())
		c.Self = &fleetpb.Member{Instance: "another"}
		if again := c.admitOrder(customer, time.Now()); !slices.Equal(order, again) {
			t.Fatalf("customer %s: %v and %v", customer, order, again)
		}
		chosen[order[0]] = true
	}
	if len(chosen) < 2 {
		t.Error("one instance is asked about all customers")
	}
	order := c.admitOrder("a", time.Now())
	controls[order[0]].refuseAdmit = true
	control, reply, err := c.Admit(t.Context(), &fleetpb.AdmitRequest{Customer: "a", Requests: 1})
	if err != nil || !reply.GetGranted() || control != order[1] || controls[order[0]].admits != 1 {
		t.Errorf("Admit was answered by %s, error %v", control, err)
	}
	controls[order[1]].refuseAdmit = true
	if _, _, err := c.Admit(t.Context(), &fleetpb.AdmitRequest{Customer: "a"}); err == nil {
		t.Error("Admit succeeded without an answer")
	}
}
