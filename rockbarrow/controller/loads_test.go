// SPDX-License-Identifier: MIT

package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/schema/fleetpb"
)

func twoEndpoints() *catalog.List {
	return catalog.New(&fleetpb.EndpointList{Number: 7, Endpoints: []*fleetpb.Endpoint{{Id: "x"}, {Id: "y"}}})
}

func use(endpoint string, running, answered, failed uint32) *fleetpb.EndpointUse {
	return &fleetpb.EndpointUse{Endpoint: endpoint, Running: running, Answered: answered, Failed: failed}
}

func TestLoadsExcludeOwnCalls(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	l.record(now, "1", []*fleetpb.EndpointUse{use("x", 3, 0, 0), use("y", 1, 0, 0)}, false)
	l.record(now, "2", []*fleetpb.EndpointUse{use("x", 2, 0, 0)}, false)
	// A report replaces the previous one.
	l.record(now, "2", []*fleetpb.EndpointUse{use("x", 4, 0, 0)}, false)
	tests := []struct {
		entry string
		want  []uint32
	}{{"1", []uint32{4, 0}}, {"2", []uint32{3, 1}}, {"new", []uint32{7, 1}}}
	for _, test := range tests {
		got := l.forEntry(now, test.entry, twoEndpoints(), false)
		if !slices.Equal(got.GetRunning(), test.want) || got.GetListNumber() != 7 {
			t.Errorf("entry %s: %v, want %v", test.entry, got, test.want)
		}
	}
	// The calls of a lost instance are dropped.
	l.record(now.Add(reportTimeout), "2", nil, false)
	l.expire(now.Add(reportTimeout + time.Millisecond))
	if got := l.forEntry(now, "new", twoEndpoints(), false).GetRunning(); !slices.Equal(got, []uint32{0, 0}) {
		t.Errorf("%v, want no running calls", got)
	}
}

func TestFailuresAreForgottenAgain(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	failing := func(after time.Duration) []uint32 {
		return l.forEntry(now.Add(after), "new", twoEndpoints(), false).GetFailing()
	}
	l.record(now, "1", []*fleetpb.EndpointUse{use("x", 0, 5, 5), use("y", 0, 0, 1)}, false)
	l.record(now, "2", []*fleetpb.EndpointUse{use("x", 0, 0, 5)}, false)
	first := failing(0)
	if first[0] < 50 || first[1] > 30 {
		t.Errorf("%v, want a high share for x and a low one for y", first)
	}
	if later := failing(4 * outcomeHalfLife); later[0] >= first[0]/2 {
		t.Errorf("%v, want a decayed share for x", later)
	}
	l.expire(now.Add(20 * outcomeHalfLife))
	if len(l.outcomes) > 0 {
		t.Error("outcomes of negligible weight are kept")
	}
}

// Calls to an earlier incarnation must not count towards the current one.
func TestCallsAtAnOlderLifeDoNotCount(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	at := func(born uint64, running, failed uint32) []*fleetpb.EndpointUse {
		return []*fleetpb.EndpointUse{{Endpoint: "x", BornMs: born, Running: running, Failed: failed}}
	}
	l.record(now, "1", at(1000, 3, 9), false)
	l.record(now, "2", at(2000, 1, 0), false)
	list := catalog.New(&fleetpb.EndpointList{Number: 8, Endpoints: []*fleetpb.Endpoint{{Id: "x", BornMs: 2000}}})
	got := l.forEntry(now, "new", list, false)
	if !slices.Equal(got.GetRunning(), []uint32{1}) || got.GetFailing()[0] != 0 {
		t.Errorf("%v, want one call of the current incarnation", got)
	}
	// A report without a start time counts for the current incarnation.
	l.record(now, "1", at(0, 5, 0), false)
	if got := l.forEntry(now, "new", list, false); !slices.Equal(got.GetRunning(), []uint32{6}) {
		t.Errorf("%v, want six calls", got)
	}
}

func timedUse(endpoint string, tokens uint32, us uint64) []*fleetpb.EndpointUse {
	return []*fleetpb.EndpointUse{{Endpoint: endpoint, Answered: 1, DecodedTokens: tokens, DecodeUs: us}}
}

// The decoding time must be that over all instances, follow a change within about a second, and be left
// out while it rests on too little.
func TestDecodingTimeIsAggregated(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	tokenUS := func(after time.Duration, sparse bool) []uint32 {
		return l.forEntry(now.Add(after), "new", twoEndpoints(), sparse).GetTokenUs()
	}
	l.record(now, "1", timedUse("x", 30, 60_000), false)
	l.record(now, "1", timedUse("y", 60, 60_000), false)
	if got := tokenUS(0, false); !slices.Equal(got, []uint32{0, 1000}) {
		t.Errorf("%v, want a time for y only, which has enough tokens", got)
	}
	// The next report has the time of tokens in this one.
	l.recordRelayed(now, "control-2", nil, timedUse("x", 30, 0))
	l.recordRelayed(now, "control-2", nil, []*fleetpb.EndpointUse{{Endpoint: "x", DecodeUs: 30_000}})
	if got := tokenUS(0, true); !slices.Equal(got, []uint32{1500, 1000}) {
		t.Errorf("%v, want 1500 and 1000", got)
	}
	for i := range 5 {
		l.record(now.Add(time.Duration(i)*200*time.Millisecond), "1", timedUse("x", 60, 300_000), false)
	}
	if got := tokenUS(time.Second, true); len(got) == 0 || got[0] < 4000 {
		t.Errorf("%v a second after x became slow, want at least 4000", got)
	}
	if got := tokenUS(time.Second+tokenSampleTTL, true); len(got) != 0 {
		t.Errorf("%v without recent samples, want none", got)
	}
}

// BenchmarkLoadsForEntry measures one sparse report about 1,000 endpoints with calls, as each entry instance
// gets it every 0.3 s.
func BenchmarkLoadsForEntry(b *testing.B) {
	for _, timed := range []uint32{0, 75} {
		b.Run(fmt.Sprintf("tokens=%d", timed), func(b *testing.B) {
			var l loads
			var listed fleetpb.EndpointList
			now := time.Unix(100, 0)
			var uses []*fleetpb.EndpointUse
			for i := range 1000 {
				id := fmt.Sprintf("e%04d", i)
				listed.Endpoints = append(listed.Endpoints, &fleetpb.Endpoint{Id: id})
				uses = append(uses, &fleetpb.EndpointUse{Endpoint: id, Running: 2, Answered: 1, DecodedTokens: timed, DecodeUs: 1000 * uint64(timed)})
			}
			l.record(now, "1", uses, false)
			list := catalog.New(&listed)
			for b.Loop() {
				l.forEntry(now, "2", list, true)
			}
		})
	}
}

// Operators must see an endpoint that has calls but no known decoding time, and none without calls.
func TestSpeedsForOperators(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	l.record(now, "1", timedUse("x", 100, 250_000), false)
	l.record(now, "2", []*fleetpb.EndpointUse{use("x", 3, 0, 0), use("y", 1, 0, 3), use("z", 1, 0, 0)}, false)
	got := l.speeds(now, twoEndpoints())
	want := &fleetpb.SpeedsReply{ListNumber: 7, Endpoints: []*fleetpb.EndpointSpeed{
		{Endpoint: "x", TokenUs: 2500, Tokens: 100, Running: 3}, {Endpoint: "y", Running: 1, Failing: 50},
	}}
	if !proto.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	l.record(now, "2", nil, false)
	later := now.Add(20 * outcomeHalfLife)
	if got := l.speeds(later, twoEndpoints()).GetEndpoints(); len(got) != 0 {
		t.Errorf("%v long after the last call, want none", got)
	}
}
