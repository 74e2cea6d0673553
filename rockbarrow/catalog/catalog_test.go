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

// listOf is a list of n endpoints.
func listOf(n int) *List {
	l := &fleetpb.EndpointList{Number: 1}
	for i := range n {
		l.Endpoints = append(l.Endpoints, endpoint(i))
	}
	return New(l)
}

func endpoint(i int) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{Id: fmt.Sprintf("e%05d", i), Service: "s", Address: fmt.Sprint("10.0.0.", i), FailureDomain: "a", Slots: 6}
}

// with returns a list with some of its endpoints replaced, removed (nil) or added.
func with(l *List, number uint64, changed map[string]*fleetpb.Endpoint) *List {
	out := &fleetpb.EndpointList{Number: number}
	for _, e := range l.List().GetEndpoints() {
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

// TestAChangeCostsWhatChanged: each new list was sent, unpacked and indexed as a whole, at every instance.
func TestAChangeCostsWhatChanged(t *testing.T) {
	var sizes []int
	for _, n := range []int{1000, 2000} {
		from := listOf(n)
		to := with(from, 2, map[string]*fleetpb.Endpoint{
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
		for i, e := range got.List().GetEndpoints()[8 : n-1] {
			if e == from.List().GetEndpoints()[i+9] {
				shared++
			}
		}
		if copied != 3 || shared != n-9 {
			t.Errorf("%d endpoints differ, and %d of %d are shared", copied, shared, n-9)
		}
	}
	if sizes[0] != sizes[1] {
		t.Errorf("a change takes %d and %d bytes in lists of 1,000 and 2,000", sizes[0], sizes[1])
	}
}

// TestAnyChangeLeadsToItsList draws pairs of lists.
func TestAnyChangeLeadsToItsList(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() *List {
		l := &fleetpb.EndpointList{Number: r.Uint64()}
		for i := range 40 {
			if r.IntN(3) > 0 {
				e := endpoint(i)
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

// TestAWrongChangeChangesNothing: of another list, damaged, not ordered, or of endpoints that are not there.
func TestAWrongChangeChangesNothing(t *testing.T) {
	from := listOf(10)
	change := func(wrong func(*fleetpb.ListChange)) *fleetpb.ListChange {
		c := proto.CloneOf(Diff(from, with(from, 2, map[string]*fleetpb.Endpoint{
			"e00001": {Id: "e00001"}, "e00002": {Id: "e00002"}, "e00003": nil,
		})))
		wrong(c)
		return c
	}
	// Its sum is right: only the order tells it.
	added := Diff(from, with(from, 2, map[string]*fleetpb.Endpoint{"y": {Id: "y"}, "z": {Id: "z"}}))
	slices.Reverse(added.Changed)
	var base *BaseError
	var sum *ChecksumError
	tests := []struct {
		name   string
		change *fleetpb.ListChange
		as     any
	}{
		{"another base", change(func(c *fleetpb.ListChange) { c.BaseSum++ }), &base},
		{"another result", change(func(c *fleetpb.ListChange) { c.Sum++ }), &sum},
		{"a damaged endpoint", change(func(c *fleetpb.ListChange) { c.Changed[0].Slots++ }), &sum},
		{"nothing to remove", change(func(c *fleetpb.ListChange) { c.Removed[0] = "e00003x" }), &sum},
		{"new ones out of order", added, nil},
		{"out of order", change(func(c *fleetpb.ListChange) { slices.Reverse(c.Changed) }), nil},
		{"twice the same", change(func(c *fleetpb.ListChange) { c.Changed = append(c.Changed[:1], c.Changed[0]) }), nil},
		{"no frame", change(func(c *fleetpb.ListChange) { c.Whole = []byte("x") }), nil},
	}
	for _, test := range tests {
		got, err := Apply(from, test.change)
		if err == nil || got != nil || test.as != nil && !errors.As(err, test.as) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if !Equal(from, listOf(10)) {
		t.Error("the list that was held has changed")
	}
}

// TestManyReceiversShareOneChange: hundreds hold the same list when a new one comes.
func TestManyReceiversShareOneChange(t *testing.T) {
	var h History
	first := listOf(100)
	second := with(first, 2, map[string]*fleetpb.Endpoint{"e00005": nil})
	h.Add(first)
	change, err := h.ChangeFrom(first.Checksum(), second)
	if err != nil || len(change.GetRemoved()) != 1 {
		t.Fatalf("%v, %v", change, err)
	}
	if again, _ := h.ChangeFrom(first.Checksum(), second); again != change {
		t.Error("the change was made twice")
	}
	for _, held := range []uint64{0, 12345} {
		whole, err := h.ChangeFrom(held, second)
		if err != nil || len(whole.GetWhole()) == 0 {
			t.Errorf("a receiver of an unknown list gets %v, %v", whole, err)
		}
	}
	for i := range 3 * remembered {
		h.Add(with(second, uint64(i+3), map[string]*fleetpb.Endpoint{"e00006": {Id: "e00006", Slots: uint32(i)}}))
	}
	if len(h.lists) != remembered {
		t.Errorf("%d lists are kept", len(h.lists))
	}
}

func FuzzApply(f *testing.F) {
	from := listOf(5)
	for _, changed := range []map[string]*fleetpb.Endpoint{{"e00001": nil}, {"e00002": {Id: "e00002", Draining: true}}, {"x": {Id: "x"}}} {
		b, err := proto.Marshal(Diff(from, with(from, 2, changed)))
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
		endpoints := got.List().GetEndpoints()
		if !slices.IsSortedFunc(endpoints, byID) || hasDuplicates(endpoints) || New(got.List()).Checksum() != c.GetSum() {
			t.Error("a list was made that is not the one that was named")
		}
	})
}

// BenchmarkApply is the work for a list in which 80 endpoints have changed.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		from := listOf(n)
		changed := map[string]*fleetpb.Endpoint{}
		for i := range 80 {
			id := fmt.Sprintf("e%05d", i*7)
			changed[id] = &fleetpb.Endpoint{Id: id, Draining: true}
		}
		c := Diff(from, with(from, 2, changed))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(from, c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
