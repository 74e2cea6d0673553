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

func watchRequest(name string, role fleetpb.Role) *fleetpb.WatchRequest {
	return &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: name, FailureDomain: "a"}, Role: role, Serves: true, Compact: true}
}

func endedRequest(endpoint string, answered uint32) *fleetpb.WatchRequest {
	r := watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY)
	r.Uses = []*fleetpb.EndpointUse{{Endpoint: endpoint, Answered: answered, DecodedTokens: 50 * answered, DecodeUs: 90_000 * uint64(answered)}}
	return r
}

// instanceNames returns the names of the instances of a role that were heard within the given time.
func instanceNames(f *Fleet, now time.Time, role fleetpb.Role, within time.Duration) string {
	out := ""
	for _, i := range f.Instances(now, role, within) {
		out += i.Member.GetInstance() + " "
	}
	return out
}

// An instance that calls one control instance must be known to another.
func TestApplyRelayedAddsFollowers(t *testing.T) {
	var r Reports
	var f Fleet
	for _, name := range []string{"entry-1", "entry-2"} {
		r.RecordCall(start, watchRequest(name, fleetpb.Role_ROLE_ENTRY))
	}
	store := watchRequest("store-1", fleetpb.Role_ROLE_STORE)
	store.CopiedEpoch = 7
	r.RecordCall(start, store)
	acknowledged, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	if got := instanceNames(&f, start, fleetpb.Role_ROLE_ENTRY, time.Second); got != "entry-1 entry-2 " || acknowledged == 0 {
		t.Fatalf("%q, acknowledged %d", got, acknowledged)
	}
	if i := f.Instances(start, fleetpb.Role_ROLE_STORE, time.Second); len(i) != 1 || i[0].CopiedEpoch != 7 {
		t.Errorf("%v", i)
	}
	// The latest time counts if an instance was also heard directly.
	f.RecordCall(start.Add(-time.Minute), watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	if got := instanceNames(&f, start, fleetpb.Role_ROLE_ENTRY, time.Second); got != "entry-1 entry-2 " {
		t.Errorf("%q", got)
	}
}

// The size of messages must not depend on the number of followers that call regularly.
func TestACalmFollowerIsToldOnce(t *testing.T) {
	for _, n := range []int{100, 200} {
		var r Reports
		now, acknowledged := start, uint64(0)
		var f Fleet
		for round := range 10 {
			for i := range n {
				r.RecordCall(now, watchRequest(fmt.Sprint("entry-", i), fleetpb.Role_ROLE_ENTRY))
			}
			m := r.Since(now, acknowledged, nil)
			if round > 0 && proto.Size(m) > 64 {
				t.Fatalf("%d bytes for %d followers that call regularly", proto.Size(m), n)
			}
			acknowledged, _ = f.ApplyRelayed(now, "control-1", m)
			now = now.Add(300 * time.Millisecond)
		}
		if got := len(f.Instances(now, fleetpb.Role_ROLE_ENTRY, time.Second)); got != n {
			t.Errorf("%d of %d followers are known", got, n)
		}
	}
}

// Relaying must not make a silent instance appear present for longer.
func TestSilenceIsRelayed(t *testing.T) {
	var r Reports
	var f Fleet
	r.RecordCall(start, watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	acknowledged := uint64(0)
	now := start
	for ; now.Before(start.Add(3 * time.Second)); now = now.Add(300 * time.Millisecond) {
		acknowledged, _ = f.ApplyRelayed(now, "control-1", r.Since(now, acknowledged, nil))
		heard := f.Instances(now, fleetpb.Role_ROLE_ENTRY, time.Hour)[0].LastHeard
		late := heard.Sub(start)
		if late > silenceThreshold || now.Sub(start) > 2*silenceThreshold && late != 0 {
			t.Errorf("after %v of silence, the time heard is off by %v", now.Sub(start), late)
		}
	}
	// The instance calls again.
	r.RecordCall(now, watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	f.ApplyRelayed(now, "control-1", r.Since(now, acknowledged, nil))
	if heard := f.Instances(now, fleetpb.Role_ROLE_ENTRY, time.Hour)[0].LastHeard; heard != now {
		t.Errorf("heard %v ago, want now", now.Sub(heard))
	}
}

// The followers of a lost control instance must not count as heard after its last message.
func TestFollowersOfLostControlInstanceExpire(t *testing.T) {
	var lost, other Reports
	var f Fleet
	for _, name := range []string{"entry-1", "entry-2"} {
		lost.RecordCall(start, watchRequest(name, fleetpb.Role_ROLE_ENTRY))
	}
	f.ApplyRelayed(start, "control-1", lost.Since(start, 0, nil))
	later := start.Add(2 * time.Second)
	other.RecordCall(later, watchRequest("entry-2", fleetpb.Role_ROLE_ENTRY))
	f.ApplyRelayed(later, "control-2", other.Since(later, 0, nil))
	if got := instanceNames(&f, later, fleetpb.Role_ROLE_ENTRY, time.Second); got != "entry-2 " {
		t.Errorf("instances heard within a second: %q", got)
	}
	f.Expire(start.Add(expireAfter + time.Second))
	if len(f.relays) != 1 {
		t.Error("a lost control instance is kept")
	}
}

// Ended calls must be counted once if a reply is lost or a message arrives repeatedly or late.
func TestEndedCallsAreCountedOnce(t *testing.T) {
	var r Reports
	var f Fleet
	r.RecordCall(start, watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	first, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	r.RecordCall(start, endedRequest("x", 3))
	lost := r.Since(start, first, nil)
	if _, uses := f.ApplyRelayed(start, "control-1", lost); len(uses) != 1 || uses[0].GetAnswered() != 3 {
		t.Fatalf("%v", uses)
	}
	// The sender has not received the reply.
	r.RecordCall(start, endedRequest("x", 4))
	second, uses := f.ApplyRelayed(start, "control-1", r.Since(start, first, nil))
	if len(uses) != 1 || uses[0].GetAnswered() != 4 || uses[0].GetDecodedTokens() != 200 || uses[0].GetDecodeUs() != 360_000 {
		t.Errorf("%v, want only the new calls", uses)
	}
	if again, uses := f.ApplyRelayed(start, "control-1", lost); len(uses) != 0 || again != second {
		t.Errorf("an old message yielded %v and %d", uses, again)
	}
	// Old ended calls are dropped.
	if m := r.Since(start.Add(2*endedRetention), first, nil); len(m.GetEnded()) != 0 {
		t.Errorf("%v", m.GetEnded())
	}
}

// A message must be ignored if the sender or the receiver is a different process.
func TestMessageWithoutBaseIsIgnored(t *testing.T) {
	var r, restarted Reports
	var f, receiver Fleet
	r.RecordCall(start, watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	acknowledged, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	r.RecordCall(start, watchRequest("entry-2", fleetpb.Role_ROLE_ENTRY))
	change := r.Since(start, acknowledged, nil)
	if got, _ := receiver.ApplyRelayed(start, "control-1", change); got != 0 || len(receiver.Instances(start, fleetpb.Role_ROLE_ENTRY, time.Hour)) > 0 {
		t.Errorf("acknowledged %d without a base", got)
	}
	restarted.RecordCall(start, watchRequest("entry-3", fleetpb.Role_ROLE_ENTRY))
	if got, _ := f.ApplyRelayed(start, "control-1", restarted.Since(start, acknowledged, nil)); got != 0 || instanceNames(&f, start, fleetpb.Role_ROLE_ENTRY, time.Hour) != "entry-1 " {
		t.Errorf("acknowledged %d of another process", got)
	}
	f.ApplyRelayed(start, "control-1", restarted.Since(start, 0, nil))
	if got := instanceNames(&f, start, fleetpb.Role_ROLE_ENTRY, time.Hour); got != "entry-3 " {
		t.Errorf("%q after a snapshot of the new process", got)
	}
}

// The removal of expired followers must be relayed.
func TestExpiredFollowersAreRemoved(t *testing.T) {
	var r Reports
	var f Fleet
	r.RecordCall(start, watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	acknowledged, _ := f.ApplyRelayed(start, "control-1", r.Since(start, 0, nil))
	later := start.Add(expireAfter + time.Second)
	if m := r.Since(later, acknowledged, nil); len(m.GetLeft()) != 1 {
		t.Fatalf("%v", m)
	} else if f.ApplyRelayed(later, "control-1", m); len(f.Instances(later, fleetpb.Role_ROLE_ENTRY, time.Hour)) != 0 {
		t.Error("a removed instance is still known")
	}
}

func FuzzTake(f *testing.F) {
	var r Reports
	r.RecordCall(start, watchRequest("entry-1", fleetpb.Role_ROLE_ENTRY))
	r.RecordCall(start, endedRequest("x", 1))
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

// TestAStallRevivesNoEarlierIncarnation guards against a lost disk that becomes a member again: after a stall all instances count as
// heard, also the incarnation of a store that another one has followed, whichever of them called this control instance itself.
func TestAStallRevivesNoEarlierIncarnation(t *testing.T) {
	call := func(storage uint64) *fleetpb.WatchRequest {
		req := watchRequest("store-1", fleetpb.Role_ROLE_STORE)
		req.Sender.Storage = storage
		return req
	}
	relayed := func(f *Fleet, at time.Time, from string, storage uint64) {
		var r Reports
		r.RecordCall(at, call(storage))
		f.ApplyRelayed(at, from, r.Since(at, 0, nil))
	}
	later, stalled := start.Add(10*time.Second), start.Add(20*time.Second)
	for _, test := range []struct {
		name string
		hear func(f *Fleet)
	}{
		{"the earlier one called this instance", func(f *Fleet) {
			f.RecordCall(start, call(1))
			relayed(f, later, "control-1", 2)
		}},
		{"the later one called this instance", func(f *Fleet) {
			relayed(f, start, "control-1", 1)
			f.RecordCall(later, call(2))
		}},
		{"each called another one", func(f *Fleet) {
			for n := range 8 {
				relayed(f, start, fmt.Sprint("control-", n), 1)
			}
			relayed(f, later, "control-8", 2)
		}},
	} {
		var f Fleet
		test.hear(&f)
		f.MarkAllHeard(stalled)
		got := f.Instances(stalled, fleetpb.Role_ROLE_STORE, time.Second)
		if len(got) != 1 || got[0].Member.GetStorage() != 2 {
			t.Errorf("%s: %v, want storage 2", test.name, got)
		}
	}
}
