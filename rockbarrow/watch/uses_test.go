// SPDX-License-Identifier: MIT

package watch

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

func TestEndpointUsesAreReportedOnce(t *testing.T) {
	var told reportedUses
	report := func(uses ...EndpointUse) []*fleetpb.EndpointUse {
		var out []*fleetpb.EndpointUse
		out, told = told.delta(uses)
		return out
	}
	e := incarnation.ID{EndpointID: "e"}
	born := incarnation.ID{EndpointID: "e", StartMS: 1000}
	again := incarnation.ID{EndpointID: "e", StartMS: 900}
	steps := []struct {
		name string
		now  EndpointUse
		want *fleetpb.EndpointUse
	}{
		{"first report", EndpointUse{e, 1, 3, 1, 0, 0, 0}, &fleetpb.EndpointUse{Running: 1, Answered: 3, Failed: 1}},
		{"one more", EndpointUse{e, 0, 4, 1, 0, 0, 0}, &fleetpb.EndpointUse{Answered: 1}},
		{"nothing new", EndpointUse{e, 0, 4, 1, 0, 0, 0}, nil},
		{"counters reset", EndpointUse{e, 0, 2, 0, 0, 0, 0}, &fleetpb.EndpointUse{Answered: 2}},
		{"start time becomes known", EndpointUse{born, 0, 3, 0, 0, 0, 0}, &fleetpb.EndpointUse{Answered: 1}},
		{"connection lost", EndpointUse{born, 0, 3, 0, 2, 0, 0}, &fleetpb.EndpointUse{Lost: 2}},
		{"tokens decoded", EndpointUse{born, 0, 3, 0, 2, 60, 90_000}, &fleetpb.EndpointUse{DecodedTokens: 60, DecodeUs: 90_000}},
		{"more tokens decoded", EndpointUse{born, 0, 4, 0, 2, 100, 150_000}, &fleetpb.EndpointUse{Answered: 1, DecodedTokens: 40, DecodeUs: 60_000}},
		{"endpoint restarted", EndpointUse{again, 0, 3, 0, 0, 0, 0}, &fleetpb.EndpointUse{Answered: 3}},
	}
	for _, s := range steps {
		got := report(s.now)
		if s.want == nil {
			if len(got) > 0 {
				t.Errorf("%s: %v", s.name, got)
			}
			continue
		}
		if len(got) != 1 || got[0].GetRunning() != s.want.GetRunning() || got[0].GetAnswered() != s.want.GetAnswered() || got[0].GetFailed() != s.want.GetFailed() || got[0].GetLost() != s.want.GetLost() ||
			got[0].GetDecodedTokens() != s.want.GetDecodedTokens() || got[0].GetDecodeUs() != s.want.GetDecodeUs() || got[0].GetBornMs() != s.now.Life.StartMS {
			t.Errorf("%s: %v, want %v", s.name, got, s.want)
		}
	}
}

func TestPrimaryIsLocalAndAnswers(t *testing.T) {
	now := time.Now()
	local := &target{address: "9", member: &fleetpb.Member{FailureDomain: "a"}, answered: true, lastAnswer: now}
	remote := &target{address: "1", member: &fleetpb.Member{FailureDomain: "b"}, answered: true, lastAnswer: now}
	c := &Client{Self: &fleetpb.Member{FailureDomain: "a"}, targets: map[string]*target{"9": local, "1": remote}}
	if c.primary(now) != local {
		t.Error("the primary is not in the client's failure domain")
	}
	local.lastAnswer = now.Add(-unreachableAfter)
	if c.primary(now) != remote {
		t.Error("an unresponsive instance is still primary")
	}
}

// TestWhatTheTellerLacksIsAskedOfOthers covers a primary that lags behind.
func TestWhatTheTellerLacksIsAskedOfOthers(t *testing.T) {
	entry, store := &Client{Role: fleetpb.Role_ROLE_ENTRY}, &Client{Role: fleetpb.Role_ROLE_STORE}
	known := &fleetpb.WatchRequest{StateNumber: 5, ListNumber: 7}
	tests := []struct {
		client      *Client
		state, list uint64
		want        bool
	}{{entry, 5, 7, false}, {entry, 6, 7, true}, {entry, 5, 8, true}, {store, 5, 8, false}, {store, 6, 0, true}}
	for _, test := range tests {
		o := &target{client: test.client, stateNumber: test.state, listNumber: test.list}
		if got := o.hasNewer(known); got != test.want {
			t.Errorf("state %d, list %d: %v", test.state, test.list, got)
		}
	}
}
