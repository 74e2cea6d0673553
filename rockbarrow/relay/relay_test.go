// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

var start = time.Unix(1000, 0)

func call(name string, role fleetpb.Role) *fleetpb.WatchRequest {
	return &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: name, FailureDomain: "a"}, Role: role, Serves: true, Compact: true}
}

func ended(endpoint string, answered uint32) *fleetpb.WatchRequest {
	r := call("entry-1", fleetpb.Role_ROLE_ENTRY)
	r.Uses = []*fleetpb.EndpointUse{{Endpoint: endpoint, Answered: answered}}
	return r
}

// names returns the instances of a role that were heard within a time.
func names(f *Fleet, now time.Time, role fleetpb.Role, within time.Duration) string {
	out := ""
	for _, i := range f.Instances(now, role, within) {
		out += i.Member.GetInstance() + " "
	}
	return out
}

// TestFollowersAreKnownEverywhere: an instance calls one control instance, and another one knows it.
func TestFollowersAreKnownEverywhere(t *testing.T) {
	var r Reports
	var f Fleet
	for _, name := range []string{"entry-1", "entry-2"} {
		r.RecordCall(start, call(name, fleetpb.Role_ROLE_ENTRY))
	}
	store := call("store-1", fleetpb.Role_ROLE_STORE)
	store.CopiedEpoch = 7
	r.RecordCall(start, store)
	acknowledged, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	if got := names(&f, start, fleetpb.Role_ROLE_ENTRY, time.Second); got != "entry-1 entry-2 " || acknowledged == 0 {
		t.Fatalf("%q, acknowledged %d", got, acknowledged)
	}
	if i := f.Instances(start, fleetpb.Role_ROLE_STORE, time.Second); len(i) != 1 || i[0].CopiedEpoch != 7 {
		t.Errorf("%v", i)
	}
	// One that was heard here too counts as heard by whoever heard it last.
	f.RecordCall(start.Add(-time.Minute), call("entry-1", fleetpb.Role_ROLE_ENTRY))
	if got := names(&f, start, fleetpb.Role_ROLE_ENTRY, time.Second); got != "entry-1 entry-2 " {
		t.Errorf("%q", got)
	}
}

// TestACalmFollowerIsToldOnce: messages between control instances do not grow with the followers that are there.
func TestACalmFollowerIsToldOnce(t *testing.T) {
	for _, n := range []int{100, 200} {
		var r Reports
		now, acknowledged := start, uint64(0)
		var f Fleet
		for round := range 10 {
			for i := range n {
				r.RecordCall(now, call(fmt.Sprint("entry-", i), fleetpb.Role_ROLE_ENTRY))
			}
			m := r.Since(now, acknowledged, nil)
			if round > 0 && proto.Size(m) > 64 {
				t.Fatalf("%d bytes of %d calm followers", proto.Size(m), n)
			}
			acknowledged, _ = f.ApplyRelayed(now, "control-1", m)
			now = now.Add(300 * time.Millisecond)
		}
		if got := len(f.Instances(now, fleetpb.Role_ROLE_ENTRY, time.Second)); got != n {
			t.Errorf("%d of %d followers are known", got, n)
		}
	}
}

// TestSilenceIsRelayedAsItIs: a relay must not make anybody believed for longer.
func TestSilenceIsRelayedAsItIs(t *testing.T) {
	var r Reports
	var f Fleet
	r.RecordCall(start, call("entry-1", fleetpb.Role_ROLE_ENTRY))
	acknowledged := uint64(0)
	now := start
	for ; now.Before(start.Add(3 * time.Second)); now = now.Add(300 * time.Millisecond) {
		acknowledged, _ = f.ApplyRelayed(now, "control-1", r.Since(now, acknowledged, nil))
		heard := f.Instances(now, fleetpb.Role_ROLE_ENTRY, time.Hour)[0].LastHeard
		late := heard.Sub(start)
		if late > calmWithin || now.Sub(start) > 2*calmWithin && late != 0 {
			t.Errorf("after %v of silence it counts as heard %v too late", now.Sub(start), late)
		}
	}
	// It calls again.
	r.RecordCall(now, call("entry-1", fleetpb.Role_ROLE_ENTRY))
	f.ApplyRelayed(now, "control-1", r.Since(now, acknowledged, nil))
	if heard := f.Instances(now, fleetpb.Role_ROLE_ENTRY, time.Hour)[0].LastHeard; heard != now {
		t.Errorf("heard %v ago, want now", now.Sub(heard))
	}
}

// TestALostRelayRefreshesNobody: its followers are as old as its last message, but for those that call others too.
func TestALostRelayRefreshesNobody(t *testing.T) {
	var lost, other Reports
	var f Fleet
	for _, name := range []string{"entry-1", "entry-2"} {
		lost.RecordCall(start, call(name, fleetpb.Role_ROLE_ENTRY))
	}
	f.ApplyRelayed(start, "control-1", lost.Since(start, 0, nil))
	later := start.Add(2 * time.Second)
	other.RecordCall(later, call("entry-2", fleetpb.Role_ROLE_ENTRY))
	f.ApplyRelayed(later, "control-2", other.Since(later, 0, nil))
	if got := names(&f, later, fleetpb.Role_ROLE_ENTRY, time.Second); got != "entry-2 " {
		t.Errorf("%q were heard within a second", got)
	}
	f.Expire(start.Add(forgetAfter + time.Second))
	if len(f.relays) != 1 {
		t.Error("a relay that is gone is kept")
	}
}

// TestEndedCallsCountOnce: an answer is lost, and the same message comes again, or late.
func TestEndedCallsCountOnce(t *testing.T) {
	var r Reports
	var f Fleet
	r.RecordCall(start, call("entry-1", fleetpb.Role_ROLE_ENTRY))
	first, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	r.RecordCall(start, ended("x", 3))
	lost := r.Since(start, first, nil)
	if _, uses := f.ApplyRelayed(start, "control-1", lost); len(uses) != 1 || uses[0].GetAnswered() != 3 {
		t.Fatalf("%v", uses)
	}
	// The sender has not heard the answer.
	r.RecordCall(start, ended("x", 4))
	second, uses := f.ApplyRelayed(start, "control-1", r.Since(start, first, nil))
	if len(uses) != 1 || uses[0].GetAnswered() != 4 {
		t.Errorf("%v, want what is new", uses)
	}
	if again, uses := f.ApplyRelayed(start, "control-1", lost); len(uses) != 0 || again != second {
		t.Errorf("an old message brought %v and %d", uses, again)
	}
	// Old ones have lost their weight.
	if m := r.Since(start.Add(2*endedFor), first, nil); len(m.GetEnded()) != 0 {
		t.Errorf("%v", m.GetEnded())
	}
}

// TestAMessageWithoutItsBaseChangesNothing: the receiver, or the sender, is another process than before.
func TestAMessageWithoutItsBaseChangesNothing(t *testing.T) {
	var r, restarted Reports
	var f, receiver Fleet
	r.RecordCall(start, call("entry-1", fleetpb.Role_ROLE_ENTRY))
	acknowledged, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	r.RecordCall(start, call("entry-2", fleetpb.Role_ROLE_ENTRY))
	change := r.Since(start, acknowledged, nil)
	if got, _ := receiver.ApplyRelayed(start, "control-1", change); got != 0 || len(receiver.Instances(start, fleetpb.Role_ROLE_ENTRY, time.Hour)) > 0 {
		t.Errorf("acknowledged %d without a base", got)
	}
	restarted.RecordCall(start, call("entry-3", fleetpb.Role_ROLE_ENTRY))
	if got, _ := f.ApplyRelayed(start, "control-1", restarted.Since(start, acknowledged, nil)); got != 0 || names(&f, start, fleetpb.Role_ROLE_ENTRY, time.Hour) != "entry-1 " {
		t.Errorf("acknowledged %d of another process", got)
	}
	f.ApplyRelayed(start, "control-1", restarted.Since(start, 0, nil))
	if got := names(&f, start, fleetpb.Role_ROLE_ENTRY, time.Hour); got != "entry-3 " {
		t.Errorf("%q after a snapshot of the new process", got)
	}
}

// TestForgottenFollowersLeave: instances that were taken away are not known for ever.
func TestForgottenFollowersLeave(t *testing.T) {
	var r Reports
	var f Fleet
	r.RecordCall(start, call("entry-1", fleetpb.Role_ROLE_ENTRY))
	acknowledged, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	later := start.Add(forgetAfter + time.Second)
	if m := r.Since(later, acknowledged, nil); len(m.GetLeft()) != 1 {
		t.Fatalf("%v", m)
	} else if f.ApplyRelayed(later, "control-1", m); len(f.Instances(later, fleetpb.Role_ROLE_ENTRY, time.Hour)) != 0 {
		t.Error("an instance that is gone is still known")
	}
}

func FuzzTake(f *testing.F) {
	var r Reports
	r.RecordCall(start, call("entry-1", fleetpb.Role_ROLE_ENTRY))
	r.RecordCall(start, ended("x", 1))
	for _, acknowledged := range []uint64{0, 1} {
		b, err := proto.Marshal(r.Since(start, acknowledged, nil))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &fleetpb.Relayed{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		var fleet Fleet
		for range 2 {
			fleet.ApplyRelayed(start, "control-1", m)
		}
		fleet.Instances(start, fleetpb.Role_ROLE_ENTRY, time.Hour)
	})
}
