// SPDX-License-Identifier: MIT

package wire

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/schema/peerpb"
)

// exchange is one journal with every kind of message in it.
func exchange(t testing.TB) (messages []journal.Message, replies []journal.Reply) {
	m := journal.Members{journal.NewMember("a", 1).WithDisk(), journal.NewMember("b", 2), journal.NewMember("c", 3).WithWitness()}
	replicas := map[string]*journal.Replica{"a": {}, "b": {}, "c": {Witness: true}}
	w := journal.Writer{Self: m[0], Incarnation: 1, Initial: m}
	pending := w.Handle(journal.Campaign{})
	pending = append(pending, w.Handle(journal.Confirm{})...)
	for n := 0; len(pending) > 0 && n < 100; n++ {
		a := pending[0]
		pending = pending[1:]
		if _, ok := a.(journal.Serving); ok {
			pending = append(pending, w.Handle(journal.Propose{Payload: []byte("x")})...)
		}
		s, ok := a.(journal.Send)
		if !ok {
			continue
		}
		reply, _ := replicas[s.To.Instance()].Handle(s.Message)
		messages = append(messages, s.Message)
		replies = append(replies, reply)
		pending = append(pending, w.Handle(journal.Replied{From: s.To, Reply: reply})...)
	}
	b := journal.NewBallot(9, m[1])
	messages = append(messages, journal.Fetch{Ballot: b, After: 1, Limit: 5}, journal.Install{Ballot: b, Base: journal.RestoreBase(3, b, journal.Digest{1}, m, []byte("s"))})
	fetched, _ := replicas["b"].Handle(journal.Fetch{Ballot: b, Limit: 9})
	refused, _ := replicas["b"].Handle(journal.Prepare{})
	replies = append(replies, fetched, refused, journal.Mismatch{Ballot: b, Index: 4}, journal.NonVoting{})
	if len(messages) < 8 {
		t.Fatalf("only %d messages were made", len(messages))
	}
	return messages, replies
}

func TestMessagesSurviveTheWire(t *testing.T) {
	messages, replies := exchange(t)
	to := journal.NewMember("b", 2)
	for _, m := range messages {
		raw, err := proto.Marshal(Request("j", to, m))
		if err != nil {
			t.Fatal(err)
		}
		var p peerpb.JournalRequest
		if err := proto.Unmarshal(raw, &p); err != nil {
			t.Fatal(err)
		}
		if got := ToMessage(&p); !reflect.DeepEqual(normal(got), normal(m)) {
			t.Errorf("sent %+v, came as %+v", m, got)
		}
	}
	for _, r := range replies {
		if got := ToReply(Reply(to, r)); !reflect.DeepEqual(got, r) {
			t.Errorf("replied %+v, came as %+v", r, got)
		}
	}
}

// normal makes a nil list of entries an empty one.
func normal(m journal.Message) journal.Message {
	if a, ok := m.(journal.Append); ok && len(a.Entries) == 0 {
		a.Entries = []journal.Entry{}
		return a
	}
	return m
}

// FuzzReplica lets a replica take any bytes that a peer could send.
func FuzzReplica(f *testing.F) {
	messages, _ := exchange(f)
	for _, m := range messages {
		raw, err := proto.Marshal(Request("j", journal.NewMember("b", 2), m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p peerpb.JournalRequest
		if proto.Unmarshal(raw, &p) != nil {
			return
		}
		m := ToMessage(&p)
		if m == nil {
			return
		}
		r := &journal.Replica{}
		for range 2 {
			before := r.Promised()
			reply, _ := r.Handle(m)
			if r.Promised().Compare(before) < 0 {
				t.Fatal("a promise got older")
			}
			if r.Commit() > r.Log().LastIndex() {
				t.Fatalf("commit %d is beyond the log's end %d", r.Commit(), r.Log().LastIndex())
			}
			ToReply(Reply(ToMember(p.GetTo()), reply))
		}
	})
}

// FuzzReply lets a writer take any bytes that a replica could send back.
func FuzzReply(f *testing.F) {
	_, replies := exchange(f)
	from := journal.NewMember("b", 2)
	for _, r := range replies {
		raw, err := proto.Marshal(Reply(from, r))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p peerpb.JournalReply
		if proto.Unmarshal(raw, &p) != nil {
			return
		}
		reply := ToReply(&p)
		if reply == nil {
			return
		}
		w := journal.Writer{Self: journal.NewMember("a", 1), Incarnation: 1, Initial: journal.Members{journal.NewMember("a", 1), from, journal.NewMember("c", 3)}}
		w.Handle(journal.Campaign{})
		w.Handle(journal.Replied{From: from, Reply: reply})
		w.Handle(journal.Replied{From: journal.NewMember("c", 3), Reply: reply})
		w.Handle(journal.Resend{})
		if w.Commit() > w.LastIndex() {
			t.Fatalf("commit %d is beyond the log's end %d", w.Commit(), w.LastIndex())
		}
	})
}
