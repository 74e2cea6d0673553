// SPDX-License-Identifier: MIT

package document

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// newState returns a state whose document has n routes with distinct names.
func newState(version uint64, n int) *fleetpb.State {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%x","host":"h%x.example","prefix":"/%x/","objective_ms":400},`, i*7919, i*104729, i*1299709)
	}
	b.WriteString("{}]}")
	doc := []byte(b.String())
	return &fleetpb.State{
		Number: version, Configuration: &fleetpb.Configuration{Version: version, Document: doc, Digest: Digest(doc)},
		View: &fleetpb.View{Epoch: 3},
	}
}

// roundTrip encodes and decodes a state.
func roundTrip(t *testing.T, st *fleetpb.State) *fleetpb.State {
	t.Helper()
	b, err := proto.Marshal(st)
	if err != nil {
		t.Fatal(err)
	}
	out := &fleetpb.State{}
	if err := proto.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestAChangeTravelsAsItsDifference guards against messages that grow with the
// document instead of the change.
func TestAChangeTravelsAsItsDifference(t *testing.T) {
	const n = 1000
	sender, receiver := &Cache{Capacity: 8}, &Cache{}
	before := newState(1, n)
	sender.AddState(before)
	whole, err := receiver.UnpackState(roundTrip(t, before))
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(whole, before) {
		t.Fatal("a state that was sent whole differs")
	}
	for v := uint64(2); v < 6; v++ {
		next := newState(v, n+int(v))
		sender.AddState(next)
		message := sender.PackState(next, receiver.Held())
		if size := proto.Size(message); size > 1000 {
			t.Errorf("%d bytes were sent for one route of a document of %d bytes", size, len(next.GetConfiguration().GetDocument()))
		}
		got, err := receiver.UnpackState(roundTrip(t, message))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, next) {
			t.Error("another state came out")
		}
	}
}

// TestHeldDocumentIsOmitted guards against sending a document that the receiver holds.
func TestHeldDocumentIsOmitted(t *testing.T) {
	sender, receiver := &Cache{}, &Cache{}
	st := newState(1, 100)
	sender.AddState(st)
	if _, err := receiver.UnpackState(roundTrip(t, st)); err != nil {
		t.Fatal(err)
	}
	moved := proto.Clone(st).(*fleetpb.State)
	moved.Number, moved.View.Epoch = 2, 4
	message := sender.PackState(moved, receiver.Held())
	if len(message.GetConfiguration().GetDocument())+len(message.GetConfiguration().GetDifference()) > 0 {
		t.Error("a held document was sent")
	}
	got, err := receiver.UnpackState(roundTrip(t, message))
	if err != nil || !proto.Equal(got, moved) {
		t.Errorf("%v, %v", got, err)
	}
}

// TestWhoTellsNothingGetsTheWhole covers receivers and senders of version 0.2.0.
func TestWhoTellsNothingGetsTheWhole(t *testing.T) {
	s := &Cache{}
	st := newState(1, 10)
	s.AddState(st)
	if s.PackState(st, nil) != st {
		t.Error("a state was packed for a receiver that does not support it")
	}
	old := newState(2, 10)
	old.Configuration.Digest = nil
	got, err := s.UnpackState(roundTrip(t, old))
	if err != nil || !bytes.Equal(got.GetConfiguration().GetDigest(), Digest(old.GetConfiguration().GetDocument())) {
		t.Errorf("a state without a digest: %v", err)
	}
}

// TestDocumentWithoutBaseIsCompressed covers a receiver that has just started.
func TestDocumentWithoutBaseIsCompressed(t *testing.T) {
	sender, receiver := &Cache{}, &Cache{}
	st := newState(1, 1000)
	sender.AddState(st)
	message := sender.PackState(st, receiver.Held())
	if proto.Size(message) > len(st.GetConfiguration().GetDocument())/3 {
		t.Error("the document was not compressed")
	}
	if got, err := receiver.UnpackState(roundTrip(t, message)); err != nil || !proto.Equal(got, st) {
		t.Errorf("another state came out: %v", err)
	}
}

func TestAnUnreadableDocumentIsNoticed(t *testing.T) {
	sender := &Cache{Capacity: 8}
	one, two, three := newState(1, 50), newState(2, 51), newState(3, 52)
	for _, st := range []*fleetpb.State{one, two, three} {
		sender.AddState(st)
	}
	at := func(held *fleetpb.State) *fleetpb.State {
		return roundTrip(t, sender.PackState(three, &fleetpb.Held{Digests: [][]byte{held.GetConfiguration().GetDigest()}}))
	}
	receiver := &Cache{}
	receiver.AddState(one)

	t.Run("the base is not held", func(t *testing.T) {
		_, err := receiver.UnpackState(at(two))
		var base *BaseError
		if !errors.As(err, &base) {
			t.Errorf("%v, want a BaseError", err)
		}
	})
	t.Run("it was omitted and is not held", func(t *testing.T) {
		_, err := receiver.UnpackState(at(three))
		var base *BaseError
		if !errors.As(err, &base) {
			t.Errorf("%v, want a BaseError", err)
		}
	})
	t.Run("the base is another document", func(t *testing.T) {
		m := at(two)
		m.Configuration.Base = one.GetConfiguration().GetDigest()
		if got, err := receiver.UnpackState(m); err == nil {
			t.Errorf("taken: %v", got)
		}
	})
	t.Run("the difference is truncated", func(t *testing.T) {
		m := at(one)
		d := m.GetConfiguration().GetDifference()
		m.Configuration.Difference = d[:len(d)-1]
		if got, err := receiver.UnpackState(m); err == nil {
			t.Errorf("taken: %v", got)
		}
	})
	t.Run("the whole is another document", func(t *testing.T) {
		m := roundTrip(t, three)
		m.Configuration.Document = m.Configuration.Document[1:]
		_, err := receiver.UnpackState(m)
		var digest *DigestError
		if !errors.As(err, &digest) {
			t.Errorf("%v, want a DigestError", err)
		}
	})
	if got := receiver.Held().GetDigests(); len(got) != 1 || !bytes.Equal(got[0], one.GetConfiguration().GetDigest()) {
		t.Error("part of an invalid state was kept")
	}
}

// TestDuplicateDifferenceIsAccepted guards against a failure when a second sender
// uses a base that the first answer has evicted.
func TestDuplicateDifferenceIsAccepted(t *testing.T) {
	sender, receiver := &Cache{Capacity: 8}, &Cache{Capacity: 1}
	one, two := newState(1, 50), newState(2, 51)
	sender.AddState(one)
	sender.AddState(two)
	receiver.AddState(one)
	m := sender.PackState(two, receiver.Held())
	for range 2 {
		if got, err := receiver.UnpackState(roundTrip(t, m)); err != nil || !proto.Equal(got, two) {
			t.Errorf("another state came out: %v", err)
		}
	}
}

// TestAListTravelsAsItsDifference guards against messages that grow with the list.
func TestAListTravelsAsItsDifference(t *testing.T) {
	l := &fleetpb.EndpointList{Number: 1}
	for i := range 3000 {
		l.Endpoints = append(l.Endpoints, &fleetpb.Endpoint{Id: fmt.Sprintf("i-%x", i*1299709), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Slots: 6})
	}
	sender, receiver := &Cache{Capacity: 8}, &Cache{}
	send := func(l *fleetpb.EndpointList) int {
		t.Helper()
		made, err := NewList(l)
		if err != nil {
			t.Fatal(err)
		}
		packed := sender.PackList(made, receiver.Held())
		got, err := receiver.UnpackList(packed)
		if err != nil || !proto.Equal(got, l) {
			t.Fatalf("another list came out: %v", err)
		}
		return proto.Size(packed)
	}
	first := send(l)
	next := proto.Clone(l).(*fleetpb.EndpointList)
	next.Number, next.Endpoints[1500].Draining = 2, true
	if second := send(next); second > 1000 || second*20 > first {
		t.Errorf("%d bytes for one endpoint, %d for the whole list", second, first)
	}
	if _, err := receiver.UnpackList(&fleetpb.Packed{Difference: []byte("x")}); err == nil {
		t.Error("a list without a digest was accepted")
	}
}

func FuzzUnpack(f *testing.F) {
	base, next := newState(1, 20), newState(2, 21)
	frame, err := compressWithBase(base.GetConfiguration().GetDocument(), next.GetConfiguration().GetDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame, base.GetConfiguration().GetDigest(), next.GetConfiguration().GetDigest(), []byte(nil))
	f.Add(frame[:9], []byte(nil), next.GetConfiguration().GetDigest(), []byte("x"))
	f.Fuzz(func(t *testing.T, frame, baseDigest, digest, doc []byte) {
		s := &Cache{}
		s.AddState(base)
		st := &fleetpb.State{Configuration: &fleetpb.Configuration{Digest: digest, Base: baseDigest, Difference: frame, Document: doc}}
		got, err := s.UnpackState(st)
		if err != nil {
			return
		}
		c := got.GetConfiguration()
		if len(c.GetDigest()) > 0 && !bytes.Equal(Digest(c.GetDocument()), c.GetDigest()) {
			t.Error("a document with another digest was accepted")
		}
	})
}

// BenchmarkPack measures encoding a new version of a thousand routes.
func BenchmarkPack(b *testing.B) {
	before, next := newState(1, 1000), newState(2, 1001)
	b.ReportAllocs()
	for b.Loop() {
		s := &Cache{}
		s.AddState(before)
		s.PackState(next, s.Held())
	}
}

// BenchmarkUnpack measures decoding it.
func BenchmarkUnpack(b *testing.B) {
	before, next := newState(1, 1000), newState(2, 1001)
	sender := &Cache{}
	sender.AddState(before)
	packed := sender.PackState(next, sender.Held())
	b.ReportAllocs()
	for b.Loop() {
		s := &Cache{}
		s.AddState(before)
		if _, err := s.UnpackState(proto.Clone(packed).(*fleetpb.State)); err != nil {
			b.Fatal(err)
		}
	}
}

// newDecodedState is newState with a decoded form, of which the text tells nothing.
func newDecodedState(t *testing.T, version uint64, n int) *fleetpb.State {
	t.Helper()
	st, d := newState(version, n), &fleetpb.Document{Version: version}
	for i := range n {
		d.Routes = append(d.Routes, &fleetpb.Route{Name: fmt.Sprintf("route-%x", i*7919), Host: fmt.Sprintf("h%x.example", i*104729), TimeoutMs: 400})
	}
	cfg, err := NewConfiguration(d, st.GetConfiguration().GetDocument())
	if err != nil {
		t.Fatal(err)
	}
	st.Configuration = cfg
	return st
}

// TestTheDecodedFormTravelsWithItsDocument guards against an instance that gets a configuration without what it was validated as, and
// against messages that grow with it.
func TestTheDecodedFormTravelsWithItsDocument(t *testing.T) {
	sender, receiver := &Cache{Capacity: 8}, &Cache{}
	for v := uint64(1); v < 6; v++ {
		next := newDecodedState(t, v, 1000+int(v))
		sender.AddState(next)
		message := sender.PackState(next, receiver.Held())
		if size := proto.Size(message); v > 1 && size > 1000 {
			t.Errorf("%d bytes were sent for one route", size)
		}
		got, err := receiver.UnpackState(roundTrip(t, message))
		if err != nil || !proto.Equal(got, next) {
			t.Fatalf("version %d: another state came out, %v", v, err)
		}
		d, err := Decoded(got.GetConfiguration(), nil)
		if err != nil || d.GetVersion() != v || len(d.GetRoutes()) != 1000+int(v) {
			t.Errorf("version %d with %d routes, %v", d.GetVersion(), len(d.GetRoutes()), err)
		}
	}
	t.Run("the receiver lost the base of the form", func(t *testing.T) {
		last := newDecodedState(t, 6, 1006)
		sender.AddState(last)
		message := roundTrip(t, sender.PackState(last, receiver.Held()))
		other := &Cache{}
		other.Put(newDecodedState(t, 5, 1005).GetConfiguration().GetDocument(), message.GetConfiguration().GetBase())
		var base *BaseError
		if _, err := other.UnpackState(message); !errors.As(err, &base) {
			t.Errorf("%v, want a BaseError", err)
		}
	})
	t.Run("a whole state that others use", func(t *testing.T) {
		st := newDecodedState(t, 8, 10)
		form := st.GetConfiguration().GetDecoded()
		if got, err := receiver.UnpackState(st); err != nil || got.GetConfiguration().GetDecoded() != form {
			t.Errorf("the form was replaced while others may read it, %v", err)
		}
	})
	t.Run("the receiver is of an earlier version", func(t *testing.T) {
		st := newDecodedState(t, 7, 10)
		sender.AddState(st)
		held := receiver.Held()
		held.Decoded = false
		if d := sender.PackState(st, held).GetConfiguration().GetDecoded(); d != nil {
			t.Errorf("it got %v, which it would keep as it is", d)
		}
	})
}

// TestAConfigurationOfAnEarlierVersionIsRead: it has no decoded form, and may have been given its version by another reading.
func TestAConfigurationOfAnEarlierVersionIsRead(t *testing.T) {
	read := func([]byte) (*fleetpb.Document, error) { return &fleetpb.Document{Version: 5}, nil }
	d, err := Decoded(&fleetpb.Configuration{Version: 3, Document: []byte("text")}, read)
	if err != nil || d.GetVersion() != 3 {
		t.Errorf("version %d, %v, want 3", d.GetVersion(), err)
	}
}
