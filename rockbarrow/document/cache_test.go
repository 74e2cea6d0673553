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

// routes is a document of so many routes, as operators write them: each has names and
// numbers of its own.
func routes(version uint64, n int) *fleetpb.State {
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

// received is a state as it comes out of a message.
func received(t *testing.T, st *fleetpb.State) *fleetpb.State {
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

// TestAChangeTravelsAsItsDifference: an operator adds routes one after another to a
// thousand others; what is sent grows with the change and not with the document.
func TestAChangeTravelsAsItsDifference(t *testing.T) {
	const n = 1000
	sender, receiver := &Cache{Capacity: 8}, &Cache{}
	before := routes(1, n)
	sender.AddState(before)
	whole, err := receiver.UnpackState(received(t, before))
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(whole, before) {
		t.Fatal("a state that was sent whole has changed")
	}
	for v := uint64(2); v < 6; v++ {
		next := routes(v, n+int(v))
		sender.AddState(next)
		message := sender.PackState(next, receiver.Held())
		if size := proto.Size(message); size > 1000 {
			t.Errorf("%d bytes were sent for one route of a document of %d", size, len(next.GetConfiguration().GetDocument()))
		}
		got, err := receiver.UnpackState(received(t, message))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, next) {
			t.Error("another state came out")
		}
	}
}

// TestADocumentThatIsHeldIsLeftOut: a change of the view sends no routes.
func TestADocumentThatIsHeldIsLeftOut(t *testing.T) {
	sender, receiver := &Cache{}, &Cache{}
	st := routes(1, 100)
	sender.AddState(st)
	if _, err := receiver.UnpackState(received(t, st)); err != nil {
		t.Fatal(err)
	}
	moved := proto.Clone(st).(*fleetpb.State)
	moved.Number, moved.View.Epoch = 2, 4
	message := sender.PackState(moved, receiver.Held())
	if len(message.GetConfiguration().GetDocument())+len(message.GetConfiguration().GetDifference()) > 0 {
		t.Error("a document was sent that the receiver holds")
	}
	got, err := receiver.UnpackState(received(t, message))
	if err != nil || !proto.Equal(got, moved) {
		t.Errorf("%v, %v", got, err)
	}
}

// TestWhoTellsNothingGetsTheWhole: a process of version 0.2.0 tells nothing.
func TestWhoTellsNothingGetsTheWhole(t *testing.T) {
	s := &Cache{}
	st := routes(1, 10)
	s.AddState(st)
	if s.PackState(st, nil) != st {
		t.Error("a state was packed for a receiver that can't read it")
	}
	old := routes(2, 10)
	old.Configuration.Digest = nil
	got, err := s.UnpackState(received(t, old))
	if err != nil || !bytes.Equal(got.GetConfiguration().GetDigest(), Digest(old.GetConfiguration().GetDocument())) {
		t.Errorf("a state without a digest: %v", err)
	}
}

// TestWhoHoldsNothingGetsItCompressed: a process that has just started.
func TestWhoHoldsNothingGetsItCompressed(t *testing.T) {
	sender, receiver := &Cache{}, &Cache{}
	st := routes(1, 1000)
	sender.AddState(st)
	message := sender.PackState(st, receiver.Held())
	if proto.Size(message) > len(st.GetConfiguration().GetDocument())/3 {
		t.Error("the document was not compressed")
	}
	if got, err := receiver.UnpackState(received(t, message)); err != nil || !proto.Equal(got, st) {
		t.Errorf("another state came out: %v", err)
	}
}

func TestAnUnreadableDocumentIsNoticed(t *testing.T) {
	sender := &Cache{Capacity: 8}
	one, two, three := routes(1, 50), routes(2, 51), routes(3, 52)
	for _, st := range []*fleetpb.State{one, two, three} {
		sender.AddState(st)
	}
	at := func(held *fleetpb.State) *fleetpb.State {
		return received(t, sender.PackState(three, &fleetpb.Held{Digests: [][]byte{held.GetConfiguration().GetDigest()}}))
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
	t.Run("it was left out and is not held", func(t *testing.T) {
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
	t.Run("the difference is cut short", func(t *testing.T) {
		m := at(one)
		d := m.GetConfiguration().GetDifference()
		m.Configuration.Difference = d[:len(d)-1]
		if got, err := receiver.UnpackState(m); err == nil {
			t.Errorf("taken: %v", got)
		}
	})
	t.Run("the whole is another document", func(t *testing.T) {
		m := received(t, three)
		m.Configuration.Document = m.Configuration.Document[1:]
		_, err := receiver.UnpackState(m)
		var digest *DigestError
		if !errors.As(err, &digest) {
			t.Errorf("%v, want a DigestError", err)
		}
	})
	if got := receiver.Held().GetDigests(); len(got) != 1 || !bytes.Equal(got[0], one.GetConfiguration().GetDigest()) {
		t.Error("something of an unreadable state was kept")
	}
}

// TestTwoSendersTellTheSame: two control instances answer with differences against a
// base that the first answer has replaced.
func TestTwoSendersTellTheSame(t *testing.T) {
	sender, receiver := &Cache{Capacity: 8}, &Cache{Capacity: 1}
	one, two := routes(1, 50), routes(2, 51)
	sender.AddState(one)
	sender.AddState(two)
	receiver.AddState(one)
	m := sender.PackState(two, receiver.Held())
	for range 2 {
		if got, err := receiver.UnpackState(received(t, m)); err != nil || !proto.Equal(got, two) {
			t.Errorf("another state came out: %v", err)
		}
	}
}

// TestAListTravelsAsItsDifference: of three thousand endpoints one begins to drain.
func TestAListTravelsAsItsDifference(t *testing.T) {
	l := &fleetpb.EndpointList{Number: 1}
	for i := range 3000 {
		l.Endpoints = append(l.Endpoints, &fleetpb.Endpoint{Id: fmt.Sprintf("i-%x", i*1299709), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Slots: 6})
	}
	sender, receiver := &Cache{Capacity: 8}, &Cache{}
	tell := func(l *fleetpb.EndpointList) int {
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
	first := tell(l)
	next := proto.Clone(l).(*fleetpb.EndpointList)
	next.Number, next.Endpoints[1500].Draining = 2, true
	if second := tell(next); second > 1000 || second*20 > first {
		t.Errorf("%d bytes for one endpoint, %d for the first list", second, first)
	}
	if _, err := receiver.UnpackList(&fleetpb.Packed{Difference: []byte("x")}); err == nil {
		t.Error("a list without a digest was taken")
	}
}

func FuzzUnpack(f *testing.F) {
	base, next := routes(1, 20), routes(2, 21)
	frame, err := difference(base.GetConfiguration().GetDocument(), next.GetConfiguration().GetDocument())
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
			t.Error("a document was taken that has another digest")
		}
	})
}

// BenchmarkPack is a sender's work for each new version of a thousand routes, whatever
// the number of receivers.
func BenchmarkPack(b *testing.B) {
	before, next := routes(1, 1000), routes(2, 1001)
	b.ReportAllocs()
	for b.Loop() {
		s := &Cache{}
		s.AddState(before)
		s.PackState(next, s.Held())
	}
}

// BenchmarkUnpack is a receiver's.
func BenchmarkUnpack(b *testing.B) {
	before, next := routes(1, 1000), routes(2, 1001)
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
