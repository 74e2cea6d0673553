// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/peer/wire"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// testRun is an owner with three replicas in memory that reply immediately.
type testRun struct {
	o        Owner
	replicas map[journal.Member]*journal.Replica
	messages int
	bytes    int
	count    bool
	answered int
}

func newTestRun(count bool) *testRun {
	m := journal.Members{journal.NewMember("a", 1), journal.NewMember("b", 1), journal.NewMember("c", 1)}
	t := &testRun{replicas: map[journal.Member]*journal.Replica{}, count: count}
	for _, one := range m {
		t.replicas[one] = &journal.Replica{}
	}
	t.o = Owner{Run: "d.r", Domain: "d", Self: m[0], Incarnation: 1, InitialMembers: m}
	t.handle(Start{Round: 1})
	t.handle(ProgramEvent{Event: program.CreateRequested{ID: 1, Created: &recordpb.Created{Run: "d.r", Customer: "c", BudgetTokens: 1 << 40, MaxCalls: 1 << 30, MaxAnswerTokens: 1000}}})
	return t
}

func (t *testRun) handle(e Event) {
	queue := []Event{e}
	now := time.Unix(1000, 0)
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		for _, a := range t.o.Handle(now, e) {
			switch a := a.(type) {
			case Send:
				reply, _ := t.replicas[a.To].Handle(a.Message)
				t.countTraffic(a, reply)
				queue = append(queue, Replied{From: a.To, Reply: reply})
			case ProgramAction:
				queue = append(queue, t.performAction(a.Action)...)
			}
		}
	}
}

// countTraffic counts the messages and bytes that would cross the network.
func (t *testRun) countTraffic(a Send, reply journal.Reply) {
	if !t.count || a.To.Is(t.o.Self) {
		return
	}
	t.messages += 2
	t.bytes += proto.Size(wire.Request("d.0123456789abcdef01234567", a.To, a.Message)) + proto.Size(wire.Reply(a.To, reply))
}

func (t *testRun) performAction(a program.Action) []Event {
	switch a := a.(type) {
	case program.Place:
		return []Event{ProgramEvent{Event: program.Placed{Sequence: a.Sequence, Attempt: a.Attempt, Endpoint: "engine-1", Domain: "d", ConfigVersion: 7, Reason: "expected 12.0 ms, 900 prompt tokens held there, 40 to compute"}}}
	case program.Dispatch:
		in := a.Intent
		return []Event{ProgramEvent{Event: program.AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: &recordpb.Answered{
			Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: words(300), PromptTokens: 100, AnswerTokens: 300, Endpoint: "engine-1",
		}}}}
	case program.Reply:
		if a.Event.GetFinal() != nil {
			t.answered++
		}
	}
	return nil
}

// makeCall makes one call of about 100 new prompt tokens and 300 answer tokens.
func (t *testRun) makeCall(n int) {
	t.handle(ProgramEvent{Event: program.CallReceived{ID: program.CallID(n + 10), Customer: "c", Turn: &peerpb.Turn{
		Sequence: uint64(n), RequestId: fmt.Sprintf("d.0123456789abcdef01234567/%d", n), Repeatable: true,
		Messages: []*recordpb.Message{{Role: "user", Content: words(100)}}, MaxAnswerTokens: 400,
	}}})
}

// words returns text of about n tokens of four bytes.
func words(n int) string { return strings.Repeat("abc ", n) }

// BenchmarkTurn measures one call with three copies. Its cost must not grow with
// the number of earlier calls. It reports the messages and bytes sent per call.
func BenchmarkTurn(b *testing.B) {
	for _, before := range []int{0, 10, 57} {
		b.Run(fmt.Sprintf("after=%d", before), func(b *testing.B) {
			b.ReportAllocs()
			var messages, bytes int
			for b.Loop() {
				b.StopTimer()
				t := newTestRun(true)
				for n := 1; n <= before; n++ {
					t.makeCall(n)
				}
				t.messages, t.bytes = 0, 0
				b.StartTimer()
				t.makeCall(before + 1)
				messages, bytes = t.messages, t.bytes
			}
			b.ReportMetric(float64(messages), "messages/op")
			b.ReportMetric(float64(bytes), "netbytes/op")
		})
	}
}

// BenchmarkRunMemory measures the memory of an owner and its replicas by the
// tokens of the run's history.
func BenchmarkRunMemory(b *testing.B) {
	for _, turns := range []int{3, 25, 250} {
		b.Run(fmt.Sprintf("tokens=%d", turns*400), func(b *testing.B) {
			for b.Loop() {
				before := heapSize()
				const runs = 8
				var kept []*testRun
				for range runs {
					t := newTestRun(false)
					for n := 1; n <= turns; n++ {
						t.makeCall(n)
					}
					if t.answered != turns {
						b.Fatalf("%d of %d calls answered", t.answered, turns)
					}
					kept = append(kept, t)
				}
				b.ReportMetric(float64(heapSize()-before)/runs, "bytes/run")
				runtime.KeepAlive(kept)
			}
		})
	}
}

func heapSize() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkReplicaMemory measures the memory of a replica at an instance that
// does not own the run.
func BenchmarkReplicaMemory(b *testing.B) {
	for _, turns := range []int{3, 25, 250} {
		b.Run(fmt.Sprintf("tokens=%d", turns*400), func(b *testing.B) {
			t := newTestRun(false)
			for n := 1; n <= turns; n++ {
				t.makeCall(n)
			}
			to := journal.NewMember("b", 1)
			log := t.replicas[to].Log()
			for b.Loop() {
				before := heapSize()
				const runs = 8
				var kept []*journal.Replica
				for range runs {
					r := &journal.Replica{}
					for _, e := range log.After(0, 1<<20) {
						prev, _, digest := r.Log().Last()
						raw, err := proto.Marshal(wire.Request("d.r", to, journal.Append{Ballot: e.Ballot(), PrevIndex: prev, PrevDigest: digest, Entries: []journal.Entry{e}}))
						if err != nil {
							b.Fatal(err)
						}
						var req peerpb.JournalRequest
						if err := proto.Unmarshal(raw, &req); err != nil {
							b.Fatal(err)
						}
						r.Handle(wire.ToMessage(&req))
					}
					if r.Log().LastIndex() != log.LastIndex() {
						b.Fatal("the replica is incomplete")
					}
					kept = append(kept, r)
				}
				b.ReportMetric(float64(heapSize()-before)/runs, "bytes/run")
				runtime.KeepAlive(kept)
			}
		})
	}
}
