// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// newTestList returns a list of n endpoints.
func newTestList(n int) *List {
	l := &fleetpb.EndpointList{Number: 1}
	for i := range n {
		l.Endpoints = append(l.Endpoints, testEndpoint(i))
	}
	return New(l)
}

func testEndpoint(i int) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{Id: fmt.Sprintf("e%05d", i), Service: "s", Address: fmt.Sprint("10.0.0.", i), FailureDomain: "a", Slots: 6}
}

// replaceEndpoints returns a list with the given endpoints replaced, removed (nil) or added.
func replaceEndpoints(l *List, number uint64, changed map[string]*fleetpb.Endpoint) *List {
	out := &fleetpb.EndpointList{Number: number}
	for _, e := range l.Proto().GetEndpoints() {
		if _, ok := changed[e.GetId()]; !ok {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	for _, e := range changed {
		if e != nil {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return New(out)
}

// The cost of a change must not depend on the length of the list.
func TestAChangeCostsWhatChanged(t *testing.T) {
	var sizes []int
	for _, n := range []int{1000, 2000} {
		from := newTestList(n)
		to := replaceEndpoints(from, 2, map[string]*fleetpb.Endpoint{
			"e00003": {Id: "e00003", Draining: true}, "e00007": nil, "e99999": {Id: "e99999"},
		})
		c := Diff(from, to)
		sizes = append(sizes, proto.Size(c))
		got, err := Apply(from, c)
		if err != nil || !Equal(got, to) || got.Number() != 2 {
			t.Fatalf("%v", err)
		}
		copied := 0
		ForEachDifference(from, got, func(_, _ *fleetpb.Endpoint) { copied++ })
		shared := 0
		for i, e := range got.Proto().GetEndpoints()[8 : n-1] {
			if e == from.Proto().GetEndpoints()[i+9] {
				shared++
			}
		}
		if copied != 3 || shared != n-9 {
			t.Errorf("%d endpoints differ, and %d of %d are shared", copied, shared, n-9)
		}
	}
	if sizes[0] != sizes[1] {
		t.Errorf("a change takes %d and %d bytes in lists of 1,000 and 2,000 endpoints", sizes[0], sizes[1])
	}
}

// Changes and snapshots between random lists must produce the intended list.
func TestApplyReproducesRandomLists(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() *List {
		l := &fleetpb.EndpointList{Number: r.Uint64()}
		for i := range 40 {
			if r.IntN(3) > 0 {
				e := testEndpoint(i)
				e.Slots, e.BornMs = uint32(r.IntN(2)), uint64(r.IntN(2))
				l.Endpoints = append(l.Endpoints, e)
			}
		}
		r.Shuffle(len(l.Endpoints), func(i, j int) { l.Endpoints[i], l.Endpoints[j] = l.Endpoints[j], l.Endpoints[i] })
		return New(l)
	}
	for range 500 {
		from, to := draw(), draw()
		got, err := Apply(from, Diff(from, to))
		if err != nil || !Equal(got, to) {
			t.Fatalf("%v", err)
		}
		whole, err := Snapshot(to)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Apply(from, whole); err != nil || !Equal(got, to) || got.Number() != to.Number() {
			t.Fatalf("%v", err)
		}
	}
}

// Changes that are damaged, unsorted or based on a different list must be rejected.
func TestApplyRejectsInvalidChanges(t *testing.T) {
	from := newTestList(10)
	change := func(wrong func(*fleetpb.ListChange)) *fleetpb.ListChange {
		c := proto.CloneOf(Diff(from, replaceEndpoints(from, 2, map[string]*fleetpb.Endpoint{
			"e00001": {Id: "e00001"}, "e00002": {Id: "e00002"}, "e00003": nil,
		})))
		wrong(c)
		return c
	}
	// The checksum of this change is correct; only the order is wrong.
	added := Diff(from, replaceEndpoints(from, 2, map[string]*fleetpb.Endpoint{"y": {Id: "y"}, "z": {Id: "z"}}))
	slices.Reverse(added.Changed)
	var base *BaseError
	var sum *ChecksumError
	tests := []struct {
		name   string
		change *fleetpb.ListChange
		as     any
	}{
		{"wrong base", change(func(c *fleetpb.ListChange) { c.BaseSum++ }), &base},
		{"wrong result", change(func(c *fleetpb.ListChange) { c.Sum++ }), &sum},
		{"damaged endpoint", change(func(c *fleetpb.ListChange) { c.Changed[0].Slots++ }), &sum},
		{"removal of an unknown endpoint", change(func(c *fleetpb.ListChange) { c.Removed[0] = "e00003x" }), &sum},
		{"added endpoints out of order", added, nil},
		{"out of order", change(func(c *fleetpb.ListChange) { slices.Reverse(c.Changed) }), nil},
		{"duplicate endpoint", change(func(c *fleetpb.ListChange) { c.Changed = append(c.Changed[:1], c.Changed[0]) }), nil},
		{"invalid snapshot", change(func(c *fleetpb.ListChange) { c.Whole = []byte("x") }), nil},
	}
	for _, test := range tests {
		got, err := Apply(from, test.change)
		if err == nil || got != nil || test.as != nil && !errors.As(err, test.as) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if !Equal(from, newTestList(10)) {
		t.Error("the held list was modified")
	}
}

// A change must be computed once for all receivers that hold the same list.
func TestReceiversShareChange(t *testing.T) {
	var h History
	first := newTestList(100)
	second := replaceEndpoints(first, 2, map[string]*fleetpb.Endpoint{"e00005": nil})
	h.Add(first)
	change, err := h.ChangeFrom(first.Checksum(), second)
	if err != nil || len(change.GetRemoved()) != 1 {
		t.Fatalf("%v, %v", change, err)
	}
	if again, _ := h.ChangeFrom(first.Checksum(), second); again != change {
		t.Error("the change was computed twice")
	}
	for _, held := range []uint64{0, 12345} {
		whole, err := h.ChangeFrom(held, second)
		if err != nil || len(whole.GetWhole()) == 0 {
			t.Errorf("change from an unknown list: %v, %v", whole, err)
		}
	}
	for i := range 3 * maxVersions {
		h.Add(replaceEndpoints(second, uint64(i+3), map[string]*fleetpb.Endpoint{"e00006": {Id: "e00006", Slots: uint32(i)}}))
	}
	if len(h.lists) != maxVersions {
		t.Errorf("%d lists are kept", len(h.lists))
	}
}

func FuzzApply(f *testing.F) {
	from := newTestList(5)
	for _, changed := range []map[string]*fleetpb.Endpoint{{"e00001": nil}, {"e00002": {Id: "e00002", Draining: true}}, {"x": {Id: "x"}}} {
		b, err := proto.Marshal(Diff(from, replaceEndpoints(from, 2, changed)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	whole, err := Snapshot(from)
	if err != nil {
		f.Fatal(err)
	}
	b, err := proto.Marshal(whole)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &fleetpb.ListChange{}
		if proto.Unmarshal(b, c) != nil {
			return
		}
		got, err := Apply(from, c)
		if err != nil {
			return
		}
		endpoints := got.Proto().GetEndpoints()
		if !slices.IsSortedFunc(endpoints, compareIDs) || hasDuplicates(endpoints) || New(got.Proto()).Checksum() != c.GetSum() {
			t.Error("the result does not match its checksum")
		}
	})
}

// BenchmarkApply measures applying a change of 80 endpoints.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		from := newTestList(n)
		changed := map[string]*fleetpb.Endpoint{}
		for i := range 80 {
			id := fmt.Sprintf("e%05d", i*7)
			changed[id] = &fleetpb.Endpoint{Id: id, Draining: true}
		}
		c := Diff(from, replaceEndpoints(from, 2, changed))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(from, c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
