// SPDX-License-Identifier: MIT

package journal

import (
	"fmt"
	"testing"
)

// letter is one message or reply on its way between a writer and a replica.
type letter struct {
	writer  int
	to      Member
	message Message
	reply   Reply
}

// bench steps writers and replicas with every letter in the test's hands.
type bench struct {
	t        testing.TB
	replicas map[Member]*Replica
	writers  []*Writer
	pending  []letter
	round    uint64
	// history is the agreed sequence of digests that any writer called committed.
	history []Digest
	// served counts writers that came to serve.
	served int
	broken string
}

func newBench(t testing.TB, members ...Member) *bench {
	b := &bench{t: t, replicas: map[Member]*Replica{}}
	for _, m := range members {
		b.replicas[key(m)] = &Replica{Witness: m.witness}
	}
	return b
}

// key drops the marks so that a member is found by its life alone.
func key(m Member) Member { return NewMember(m.instance, m.incarnation) }

func (b *bench) writer(self Member, initial Members) int {
	b.round++
	w := &Writer{Self: self, Initial: initial, Incarnation: b.round}
	w.Restore(b.replicas[key(self)])
	b.writers = append(b.writers, w)
	return len(b.writers) - 1
}

func (b *bench) step(i int, e Event) {
	for _, a := range b.writers[i].Handle(e) {
		switch a := a.(type) {
		case Send:
			b.pending = append(b.pending, letter{writer: i, to: a.To, message: a.Message})
		case Serving:
			b.served++
		case Committed:
			b.committed(a.Entries)
		}
	}
}

// committed checks that no two writers ever disagree on an index.
func (b *bench) committed(entries []Entry) {
	for _, e := range entries {
		at := int(e.index) - 1
		if at < len(b.history) {
			if b.history[at] != e.digest {
				b.broken = fmt.Sprintf("entry %d committed twice with different content", e.index)
			}
			continue
		}
		if at > len(b.history) {
			b.broken = fmt.Sprintf("entry %d committed after a hole", e.index)
			return
		}
		b.history = append(b.history, e.digest)
	}
}

func (b *bench) take(i int) letter {
	l := b.pending[i]
	b.pending = append(b.pending[:i:i], b.pending[i+1:]...)
	return l
}

func (b *bench) deliver(l letter) {
	if l.reply != nil {
		b.step(l.writer, Replied{From: l.to, Reply: l.reply})
		return
	}
	r := b.replicas[key(l.to)]
	if r == nil {
		b.pending = append(b.pending, letter{writer: l.writer, to: l.to, reply: NonVoting{}})
		return
	}
	reply, _ := r.Handle(l.message)
	b.pending = append(b.pending, letter{writer: l.writer, to: l.to, reply: reply})
}

func (b *bench) lose(l letter) { b.step(l.writer, NoReply{To: l.to}) }

func (b *bench) drain() {
	for n := 0; len(b.pending) > 0 && n < 10_000; n++ {
		b.deliver(b.take(0))
	}
}

func three() (Member, Member, Member) {
	return NewMember("a", 1), NewMember("b", 1), NewMember("c", 1)
}

func TestWriterServesAndCommits(t *testing.T) {
	m1, m2, m3 := three()
	b := newBench(t, m1, m2, m3)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, Propose{Payload: []byte("x")})
	b.drain()
	if !b.writers[w].Serves() || len(b.history) != 2 {
		t.Fatalf("serves %v with %d committed, want true with 2", b.writers[w].Serves(), len(b.history))
	}
}

func TestOneCopyIsNotDurable(t *testing.T) {
	m1 := NewMember("a", 1)
	m2 := NewMember("b", 1)
	m3 := NewMember("c", 1).WithWitness()
	b := newBench(t, m1, m2, m3)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, Propose{Payload: []byte("x")})
	for len(b.pending) > 0 {
		l := b.take(0)
		if l.to.Is(m2) {
			continue
		}
		b.deliver(l)
	}
	if got := b.writers[w].Commit(); got != 1 {
		t.Fatalf("commit %d with one copy and a witness's vote, want 1", got)
	}
}

func TestDiskMustSync(t *testing.T) {
	m1, m2, _ := three()
	m3 := NewMember("c", 1).WithDisk()
	b := newBench(t, m1, m2, m3)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, Propose{Payload: []byte("x")})
	var disk letter
	for len(b.pending) > 0 {
		l := b.take(0)
		if l.to.Is(m3) {
			disk = l
			continue
		}
		b.deliver(l)
	}
	if got := b.writers[w].Commit(); got != 1 {
		t.Fatalf("commit %d before the disk answered, want 1", got)
	}
	b.deliver(disk)
	b.drain()
	if got := b.writers[w].Commit(); got != 2 {
		t.Fatalf("commit %d after the disk answered, want 2", got)
	}
}

func TestWitnessHoldsNoPayload(t *testing.T) {
	m1, m2, _ := three()
	m3 := NewMember("c", 1).WithWitness()
	b := newBench(t, m1, m2, m3)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, Propose{Payload: []byte("secret")})
	for _, l := range b.pending {
		if a, ok := l.message.(Append); ok && l.to.Is(m3) && a.Entries[0].payload != nil {
			t.Fatal("a payload was sent to a witness")
		}
	}
	b.drain()
	e, ok := b.replicas[key(m3)].log.Entry(2)
	if !ok || !e.stripped() {
		t.Fatalf("witness entry %+v, want one without payload", e)
	}
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	m1, m2, m3 := three()
	m4 := NewMember("d", 1)
	b := newBench(t, m1, m2, m3, m4)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, Propose{Payload: []byte("x")})
	b.drain()
	delete(b.replicas, m3)
	b.step(w, AddMember{Member: m4})
	b.drain()
	b.step(w, RemoveMember{Member: m3})
	b.drain()
	if got := b.writers[w].Members(); len(got) != 3 || !got.Contains(m4) {
		t.Fatalf("members %v, want a, b and d", got)
	}
	delete(b.replicas, m1)
	next := b.writer(m4, nil)
	b.step(next, Campaign{})
	b.drain()
	if !b.writers[next].Serves() {
		t.Fatal("the repaired journal does not serve after the second loss")
	}
	if e, ok := b.writers[next].log.Entry(2); !ok || string(e.payload) != "x" {
		t.Fatal("the entry before the repair is gone")
	}
}

func TestSingleCopyAdmitsAnotherBeforeItHandsOver(t *testing.T) {
	m1, m2, _ := three()
	m3 := NewMember("c", 1).WithWitness()
	m4 := NewMember("b", 2)
	b := newBench(t, m1, m2, m3, m4)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, Propose{Payload: []byte("x")})
	b.drain()
	// The first writer and the only other copy's next life are gone one after the
	// other, as in a rolling restart of a domain of two.
	delete(b.replicas, m1)
	next := b.writer(m2, nil)
	told := len(b.history)
	b.step(next, Campaign{})
	b.drain()
	if !b.writers[next].Serves() || b.writers[next].handed != 0 || len(b.history) != told {
		t.Fatalf("serves %v and handed %d with a single copy, want true and 0", b.writers[next].Serves(), b.writers[next].handed)
	}
	b.step(next, AddMember{Member: m4})
	b.drain()
	if b.writers[next].handed < 2 {
		t.Fatalf("handed %d with two copies, want the payload", b.writers[next].handed)
	}
}

func TestMemberThatLacksNothingIsAdmittedAgain(t *testing.T) {
	m1, m2, m3 := three()
	m4 := NewMember("d", 1)
	b := newBench(t, m1, m2, m3, m4)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	b.drain()
	b.step(w, AddMember{Member: m4})
	b.drain()
	b.step(w, RemoveMember{Member: m3})
	b.drain()
	b.step(w, AddMember{Member: m3})
	b.drain()
	if got := b.writers[w].Members(); !got.Contains(m3) || b.writers[w].ChangingMembers() {
		t.Fatalf("members %v, changing %v, want c among them again", got, b.writers[w].ChangingMembers())
	}
}

func TestFreshReplicaCannotHideAKeyedJournal(t *testing.T) {
	m1, m2, m3 := three()
	b := newBench(t, m1, m2, m3)
	w := b.writer(m1, Members{m1, m2, m3})
	b.writers[w].ConcurrentCreate = true
	b.step(w, Campaign{})
	for len(b.pending) > 0 {
		l := b.take(0)
		if !l.to.Is(m3) {
			b.deliver(l)
		}
	}
	reborn := NewMember("b", 2)
	delete(b.replicas, m2)
	b.replicas[reborn] = &Replica{Fresh: true}
	second := b.writer(m3, Members{m1, reborn, m3})
	b.writers[second].ConcurrentCreate = true
	b.step(second, Campaign{})
	for len(b.pending) > 0 {
		l := b.take(0)
		if !l.to.Is(m1) {
			b.deliver(l)
		}
	}
	if b.writers[second].Serves() {
		t.Fatal("a second creation served beside the first")
	}
}

func TestSnapshotReachesALateMember(t *testing.T) {
	m1, m2, m3 := three()
	b := newBench(t, m1, m2, m3)
	w := b.writer(m1, Members{m1, m2, m3})
	b.step(w, Campaign{})
	for len(b.pending) > 0 {
		l := b.take(0)
		if !l.to.Is(m3) {
			b.deliver(l)
			continue
		}
		b.lose(l)
	}
	for i := range 5 {
		b.step(w, Propose{Payload: []byte{byte(i)}})
		for len(b.pending) > 0 {
			l := b.take(0)
			if l.to.Is(m3) {
				b.lose(l)
				continue
			}
			b.deliver(l)
		}
	}
	if !b.writers[w].Compact(4, []byte("state")) {
		t.Fatal("compaction refused")
	}
	b.step(w, Resend{})
	b.drain()
	b.step(w, Resend{})
	b.drain()
	if got := b.replicas[m3].log.Base(); string(got.State()) != "state" || b.replicas[m3].log.LastIndex() != 6 {
		t.Fatalf("late member has base %d and last %d, want 4 and 6", got.Index(), b.replicas[m3].log.LastIndex())
	}
}
