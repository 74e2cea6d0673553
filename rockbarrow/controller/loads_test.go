// SPDX-License-Identifier: MIT

package controller

import (
	"slices"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/schema/fleetpb"
)

func loadList() *catalog.List {
	return catalog.New(&fleetpb.EndpointList{Number: 7, Endpoints: []*fleetpb.Endpoint{{Id: "x"}, {Id: "y"}}})
}

func use(endpoint string, running, answered, failed uint32) *fleetpb.EndpointUse {
	return &fleetpb.EndpointUse{Endpoint: endpoint, Running: running, Answered: answered, Failed: failed}
}

func TestLoadsAreThoseOfOthers(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	l.receive(now, "1", []*fleetpb.EndpointUse{use("x", 3, 0, 0), use("y", 1, 0, 0)}, false)
	l.receive(now, "2", []*fleetpb.EndpointUse{use("x", 2, 0, 0)}, false)
	// A report replaces the one before.
	l.receive(now, "2", []*fleetpb.EndpointUse{use("x", 4, 0, 0)}, false)
	tests := []struct {
		entry string
		want  []uint32
	}{{"1", []uint32{4, 0}}, {"2", []uint32{3, 1}}, {"new", []uint32{7, 1}}}
	for _, test := range tests {
		got := l.of(now, test.entry, loadList(), false)
		if !slices.Equal(got.GetRunning(), test.want) || got.GetListNumber() != 7 {
			t.Errorf("entry %s: %v, want %v", test.entry, got, test.want)
		}
	}
	// An instance that is lost takes its calls with it.
	l.receive(now.Add(loadsWithin), "2", nil, false)
	l.forget(now.Add(loadsWithin + time.Millisecond))
	if got := l.of(now, "new", loadList(), false).GetRunning(); !slices.Equal(got, []uint32{0, 0}) {
		t.Errorf("%v, want nothing under way", got)
	}
}

func TestFailuresAreForgottenAgain(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	failing := func(after time.Duration) []uint32 { return l.of(now.Add(after), "new", loadList(), false).GetFailing() }
	l.receive(now, "1", []*fleetpb.EndpointUse{use("x", 0, 5, 5), use("y", 0, 0, 1)}, false)
	l.receive(now, "2", []*fleetpb.EndpointUse{use("x", 0, 0, 5)}, false)
	first := failing(0)
	if first[0] < 50 || first[1] > 30 {
		t.Errorf("%v, want x to fail, and y not on account of one failure", first)
	}
	if later := failing(4 * outcomeHalfLife); later[0] >= first[0]/2 {
		t.Errorf("%v, want x to be tried again", later)
	}
	l.forget(now.Add(20 * outcomeHalfLife))
	if len(l.outcomes) > 0 {
		t.Error("outcomes without weight are kept")
	}
}

// TestCallsAtAnOlderLifeDoNotCount: an endpoint that starts again has nothing under way and has failed nothing,
// whatever instances tell that have not heard of it.
func TestCallsAtAnOlderLifeDoNotCount(t *testing.T) {
	var l loads
	now := time.Unix(100, 0)
	at := func(born uint64, running, failed uint32) []*fleetpb.EndpointUse {
		return []*fleetpb.EndpointUse{{Endpoint: "x", BornMs: born, Running: running, Failed: failed}}
	}
	l.receive(now, "1", at(1000, 3, 9), false)
	l.receive(now, "2", at(2000, 1, 0), false)
	list := catalog.New(&fleetpb.EndpointList{Number: 8, Endpoints: []*fleetpb.Endpoint{{Id: "x", BornMs: 2000}}})
	got := l.of(now, "new", list, false)
	if !slices.Equal(got.GetRunning(), []uint32{1}) || got.GetFailing()[0] != 0 {
		t.Errorf("%v, want one call of the present life", got)
	}
	// Who does not know the life tells of the present one.
	l.receive(now, "1", at(0, 5, 0), false)
	if got := l.of(now, "new", list, false); !slices.Equal(got.GetRunning(), []uint32{6}) {
		t.Errorf("%v, want six calls", got)
	}
}
