// SPDX-License-Identifier: MIT

package journal

import (
	"fmt"
	"testing"
)

// envelope is a message or reply in transit between a writer and a replica.
type envelope struct {
	writer  int
	to      Member
	message Message
	reply   Reply
}

// cluster steps writers and replicas. The test decides on the delivery of every
// message.
type cluster struct {
	t        testing.TB
	replicas map[Member]*Replica
	writers  []*Writer
	pending  []envelope
	round    uint64
	// committedDigests are the digests of all entries that a writer has committed.
	committedDigests []Digest
	// served counts the writers that have started to serve.
	served int
	// violation describes the first conflict between committed entries, or is "".
	violation string
}

func newCluster(t testing.TB, members ...Member) *cluster {
	c := &cluster{t: t, replicas: map[Member]*Replica{}}
	for _, m := range members {
		c.replicas[memberKey(m)] = &Replica{Witness: m.witness}
	}
	return c
}

// memberKey returns the member without its witness and disk flags.
func memberKey(m Member) Member { return NewMember(m.instance, m.incarnation) }

func (c *cluster) writer(self Member, initial Members) int {
	c.round++
	w := &Writer{Self: self, Initial: initial, Incarnation: c.round}
	w.Restore(c.replicas[memberKey(self)])
	c.writers = append(c.writers, w)
	return len(c.writers) - 1
}

func (c *cluster) step(i int, e Event) {
	for _, a := range c.writers[i].Handle(e) {
		switch a := a.(type) {
		case Send:
			c.pending = append(c.pending, envelope{writer: i, to: a.To, message: a.Message})
		case Serving:
			c.served++
		case Committed:
			c.committed(a.Entries)
		}
	}
}

// committed checks that no two writers commit different entries at an index.
func (c *cluster) committed(entries []Entry) {
	for _, e := range entries {
		at := int(e.index) - 1
		if at < len(c.committedDigests) {
			if c.committedDigests[at] != e.digest {
				c.violation = fmt.Sprintf("entry %d committed twice with different content", e.index)
			}
			continue
		}
		if at > len(c.committedDigests) {
			c.violation = fmt.Sprintf("entry %d committed before its predecessor", e.index)
			return
		}
		c.committedDigests = append(c.committedDigests, e.digest)
	}
}

func (c *cluster) takePending(i int) envelope {
	e := c.pending[i]
	c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
	return e
}

func (c *cluster) deliver(e envelope) {
	if e.reply != nil {
		c.step(e.writer, Replied{From: e.to, Reply: e.reply})
		return
	}
	r := c.replicas[memberKey(e.to)]
	if r == nil {
		c.pending = append(c.pending, envelope{writer: e.writer, to: e.to, reply: NonVoting{}})
		return
	}
	reply, _ := r.Handle(e.message)
	c.pending = append(c.pending, envelope{writer: e.writer, to: e.to, reply: reply})
}

func (c *cluster) drop(e envelope) { c.step(e.writer, NoReply{To: e.to}) }

func (c *cluster) deliverAll() {
	for n := 0; len(c.pending) > 0 && n < 10_000; n++ {
		c.deliver(c.takePending(0))
	}
}

func threeMembers() (Member, Member, Member) {
	return NewMember("a", 1), NewMember("b", 1), NewMember("c", 1)
}

func TestWriterServesAndCommits(t *testing.T) {
	m1, m2, m3 := threeMembers()
	c := newCluster(t, m1, m2, m3)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, Propose{Payload: []byte("x")})
	c.deliverAll()
	if !c.writers[w].Serves() || len(c.committedDigests) != 2 {
		t.Fatalf("serves %v with %d committed, want true with 2", c.writers[w].Serves(), len(c.committedDigests))
	}
}

func TestOneCopyIsNotDurable(t *testing.T) {
	m1 := NewMember("a", 1)
	m2 := NewMember("b", 1)
	m3 := NewMember("c", 1).WithWitness()
	c := newCluster(t, m1, m2, m3)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, Propose{Payload: []byte("x")})
	for len(c.pending) > 0 {
		e := c.takePending(0)
		if e.to.Is(m2) {
			continue
		}
		c.deliver(e)
	}
	if got := c.writers[w].Commit(); got != 1 {
		t.Fatalf("commit %d with one copy and a witness's vote, want 1", got)
	}
}

func TestCommitWaitsForDisk(t *testing.T) {
	m1, m2, _ := threeMembers()
	m3 := NewMember("c", 1).WithDisk()
	c := newCluster(t, m1, m2, m3)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, Propose{Payload: []byte("x")})
	var disk envelope
	for len(c.pending) > 0 {
		e := c.takePending(0)
		if e.to.Is(m3) {
			disk = e
			continue
		}
		c.deliver(e)
	}
	if got := c.writers[w].Commit(); got != 1 {
		t.Fatalf("commit %d before the disk answered, want 1", got)
	}
	c.deliver(disk)
	c.deliverAll()
	if got := c.writers[w].Commit(); got != 2 {
		t.Fatalf("commit %d after the disk answered, want 2", got)
	}
}

func TestWitnessHoldsNoPayload(t *testing.T) {
	m1, m2, _ := threeMembers()
	m3 := NewMember("c", 1).WithWitness()
	c := newCluster(t, m1, m2, m3)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, Propose{Payload: []byte("secret")})
	for _, e := range c.pending {
		if a, ok := e.message.(Append); ok && e.to.Is(m3) && a.Entries[0].payload != nil {
			t.Fatal("a payload was sent to a witness")
		}
	}
	c.deliverAll()
	e, ok := c.replicas[memberKey(m3)].log.Entry(2)
	if !ok || !e.payloadMissing() {
		t.Fatalf("witness entry %+v, want one without payload", e)
	}
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	m1, m2, m3 := threeMembers()
	m4 := NewMember("d", 1)
	c := newCluster(t, m1, m2, m3, m4)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, Propose{Payload: []byte("x")})
	c.deliverAll()
	delete(c.replicas, m3)
	c.step(w, AddMember{Member: m4})
	c.deliverAll()
	c.step(w, RemoveMember{Member: m3})
	c.deliverAll()
	if got := c.writers[w].Members(); len(got) != 3 || !got.Contains(m4) {
		t.Fatalf("members %v, want a, b and d", got)
	}
	delete(c.replicas, m1)
	next := c.writer(m4, nil)
	c.step(next, Campaign{})
	c.deliverAll()
	if !c.writers[next].Serves() {
		t.Fatal("the repaired journal does not serve after the second loss")
	}
	if e, ok := c.writers[next].log.Entry(2); !ok || string(e.payload) != "x" {
		t.Fatal("the entry before the repair is lost")
	}
}

func TestSingleCopyAddsMemberBeforeDelivery(t *testing.T) {
	m1, m2, _ := threeMembers()
	m3 := NewMember("c", 1).WithWitness()
	m4 := NewMember("b", 2)
	c := newCluster(t, m1, m2, m3, m4)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, Propose{Payload: []byte("x")})
	c.deliverAll()
	// A rolling restart of a failure domain of two leaves a single copy.
	delete(c.replicas, m1)
	next := c.writer(m2, nil)
	committedBefore := len(c.committedDigests)
	c.step(next, Campaign{})
	c.deliverAll()
	if !c.writers[next].Serves() || c.writers[next].delivered != 0 || len(c.committedDigests) != committedBefore {
		t.Fatalf("serves %v and delivered %d with a single copy, want true and 0", c.writers[next].Serves(), c.writers[next].delivered)
	}
	c.step(next, AddMember{Member: m4})
	c.deliverAll()
	if c.writers[next].delivered < 2 {
		t.Fatalf("delivered %d with two copies, want at least 2", c.writers[next].delivered)
	}
}

func TestRemovedMemberIsAddedAgain(t *testing.T) {
	m1, m2, m3 := threeMembers()
	m4 := NewMember("d", 1)
	c := newCluster(t, m1, m2, m3, m4)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	c.deliverAll()
	c.step(w, AddMember{Member: m4})
	c.deliverAll()
	c.step(w, RemoveMember{Member: m3})
	c.deliverAll()
	c.step(w, AddMember{Member: m3})
	c.deliverAll()
	if got := c.writers[w].Members(); !got.Contains(m3) || c.writers[w].ChangingMembers() {
		t.Fatalf("members %v, changing %v, want c among them again", got, c.writers[w].ChangingMembers())
	}
}

func TestFreshReplicaCannotHideExistingJournal(t *testing.T) {
	m1, m2, m3 := threeMembers()
	c := newCluster(t, m1, m2, m3)
	w := c.writer(m1, Members{m1, m2, m3})
	c.writers[w].ConcurrentCreate = true
	c.step(w, Campaign{})
	for len(c.pending) > 0 {
		e := c.takePending(0)
		if !e.to.Is(m3) {
			c.deliver(e)
		}
	}
	restarted := NewMember("b", 2)
	delete(c.replicas, m2)
	c.replicas[restarted] = &Replica{Fresh: true}
	second := c.writer(m3, Members{m1, restarted, m3})
	c.writers[second].ConcurrentCreate = true
	c.step(second, Campaign{})
	for len(c.pending) > 0 {
		e := c.takePending(0)
		if !e.to.Is(m1) {
			c.deliver(e)
		}
	}
	if c.writers[second].Serves() {
		t.Fatal("a second writer created the journal again")
	}
}

func TestSnapshotReachesLaggingMember(t *testing.T) {
	m1, m2, m3 := threeMembers()
	c := newCluster(t, m1, m2, m3)
	w := c.writer(m1, Members{m1, m2, m3})
	c.step(w, Campaign{})
	for len(c.pending) > 0 {
		e := c.takePending(0)
		if !e.to.Is(m3) {
			c.deliver(e)
			continue
		}
		c.drop(e)
	}
	for i := range 5 {
		c.step(w, Propose{Payload: []byte{byte(i)}})
		for len(c.pending) > 0 {
			e := c.takePending(0)
			if e.to.Is(m3) {
				c.drop(e)
				continue
			}
			c.deliver(e)
		}
	}
	if !c.writers[w].Compact(4, []byte("state")) {
		t.Fatal("compaction was rejected")
	}
	c.step(w, Resend{})
	c.deliverAll()
	c.step(w, Resend{})
	c.deliverAll()
	if got := c.replicas[m3].log.Base(); string(got.State()) != "state" || c.replicas[m3].log.LastIndex() != 6 {
		t.Fatalf("lagging member has base %d and last index %d, want 4 and 6", got.Index(), c.replicas[m3].log.LastIndex())
	}
}
