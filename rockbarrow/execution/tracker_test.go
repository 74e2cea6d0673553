// SPDX-License-Identifier: MIT

package execution

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
)

type request string

func (r request) RequestID() string     { return string(r) }
func (r request) Program() string       { return "" }
func (r request) Route() string         { return "" }
func (r request) Keys() quarantine.Keys { return quarantine.Keys{} }

// TestOnlyThoseInProgressMetTheEnd guards against blaming requests that were over, or at another incarnation.
func TestOnlyThoseInProgressMetTheEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	old, current := incarnation.ID{EndpointID: "e", StartMS: 1}, incarnation.ID{EndpointID: "e", StartMS: 2}
	var tracker Tracker
	running := tracker.Begin(now, request("running"), old)
	lost := tracker.Begin(now, request("lost"), old)
	left := tracker.Begin(now, request("left"), old)
	for _, r := range []struct {
		name   string
		result Result
	}{{"completed", Completed}, {"not executed", NotExecuted}} {
		tracker.Finish(now, tracker.Begin(now, request(r.name), old), r.result)
	}
	earlier := tracker.Begin(now, request("earlier"), old)
	tracker.Finish(now, earlier, Lost)
	now = now.Add(lostFor + time.Second)
	tracker.Begin(now, request("of the next"), current)
	tracker.Finish(now, lost, Lost)
	tracker.Finish(now, left, Abandoned)
	got := map[string]bool{}
	for _, p := range tracker.EndpointEnded(now, "e", &current) {
		got[p.RequestID] = true
	}
	if len(got) != 3 || !got["running"] || !got["lost"] || !got["left"] {
		t.Errorf("%v", got)
	}
	if again := tracker.EndpointEnded(now, "e", &current); len(again) != 0 {
		t.Errorf("reported twice: %v", again)
	}
	tracker.Finish(now, running, Lost)
	if s := tracker.Summarize([]*Execution{running}); !s[0].Ended || s[0].Result != "lost" {
		t.Errorf("%+v", s)
	}
}

// TestLostExecutionsAreBounded guards against memory that grows with an endpoint that loses each response.
func TestLostExecutionsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker Tracker
	for range 3 * maxLost {
		tracker.Finish(now, tracker.Begin(now, request("r"), incarnation.ID{EndpointID: "e"}), Lost)
	}
	if n := len(tracker.byEndpoint["e"]); n > maxLost {
		t.Errorf("%d executions", n)
	}
	now = now.Add(lostFor)
	tracker.Finish(now, tracker.Begin(now, request("r"), incarnation.ID{EndpointID: "e"}), Completed)
	if n := len(tracker.byEndpoint); n != 0 {
		t.Errorf("%d endpoints", n)
	}
}

// TestUnresolvedExecutionsAreRemembered guards against forgetting what was in progress at an endpoint that fell silent before the list
// tells that it has ended: the end was connected with no request.
func TestUnresolvedExecutionsAreRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	at := incarnation.ID{EndpointID: "e"}
	var tracker Tracker
	for i, answers := range []bool{false, true} {
		x := tracker.Begin(now, request("r"), at)
		tracker.Finish(now, x, Lost)
		tracker.SetUnresolved(x)
		now = now.Add(lostFor + time.Second)
		if answers {
			tracker.Resolve(at)
		}
		if n := len(tracker.EndpointEnded(now, "e", nil)); n != 1-i {
			t.Errorf("answers %v: %d requests met the end", answers, n)
		}
	}
	if n := len(tracker.byEndpoint); n != 0 {
		t.Errorf("%d endpoints are remembered", n)
	}
}
