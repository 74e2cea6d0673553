// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"time"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/owner"
)

// Journal hands a peer's message to the own copy of a journal. The reply comes
// once what it promises is as durable as this instance can make it; it is nil
// when the disk failed or is being closed, which says nothing of a later life.
func (h *Host) Journal(name string, to journal.Member, m journal.Message) journal.Reply {
	h.begin()
	if !h.addressed(to) {
		return journal.NonVoting{}
	}
	return h.run(name, true).message(to, m)
}

// addressed reports whether a member is this life of this instance. A witness
// lives in memory, so its life is the process's.
func (h *Host) addressed(to journal.Member) bool {
	if to.Witness() {
		return to.Instance() == h.Instance && to.Incarnation() == h.Incarnation
	}
	return to.Is(h.self())
}

// message steps the replica and waits for the disk.
func (r *run) message(to journal.Member, m journal.Message) journal.Reply {
	r.replicaMu.Lock()
	if r.replica == nil {
		fresh := r.host.StorageIncarnation == 0 && time.Since(r.host.started) < keyWindow
		r.replica = &journal.Replica{Witness: to.Witness(), Fresh: fresh}
	}
	reply, change := r.replica.Handle(m)
	if len(change.Entries) > 0 || change.Base != nil {
		r.changed = time.Now()
	}
	if r.host.Store == nil || to.Witness() {
		r.replicaMu.Unlock()
		return reply
	}
	if change.Durable {
		r.synced = r.host.Store.Enqueue(r.name, change)
	}
	synced := r.synced
	r.replicaMu.Unlock()
	if synced == nil {
		return reply
	}
	if err := synced(); err != nil {
		r.replicaMu.Lock()
		r.replica.Fail()
		r.replicaMu.Unlock()
		r.host.DiskFailed(err)
		return nil
	}
	return reply
}

// send carries a journal message, to the own copy or to a peer.
func (r *run) send(a owner.Send) {
	d := &delivery{run: r, to: a.To, message: a.Message}
	if r.host.addressed(a.To) && r.host.Store == nil {
		d.toOwn()
		return
	}
	go d.loop()
}

// delivery is one message on its way.
type delivery struct {
	run     *run
	to      journal.Member
	message journal.Message
}

// toOwn delivers to the own copy in memory, without another goroutine.
func (d *delivery) toOwn() {
	reply := d.run.message(d.to, d.message)
	if reply == nil {
		d.run.post(owner.NoReply{To: d.to})
		return
	}
	d.run.post(owner.Replied{From: d.to, Reply: reply})
}

func (d *delivery) loop() {
	if d.run.host.addressed(d.to) {
		d.toOwn()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply, err := d.run.host.Peers.Journal(ctx, d.run.name, d.to, d.message)
	if err != nil || reply == nil {
		d.run.post(owner.NoReply{To: d.to})
		return
	}
	d.run.post(owner.Replied{From: d.to, Reply: reply})
}
