// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"time"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/owner"
)

// Journal passes a peer's message to the local replica of a journal. It
// replies once the promise in the reply is as durable as this instance can
// make it. The reply is nil if the disk failed or is being closed.
func (h *Host) Journal(name string, to journal.Member, m journal.Message) journal.Reply {
	h.init()
	if !h.isLocalMember(to) {
		return journal.NonVoting{}
	}
	return h.findRun(name, true).handleMessage(to, m)
}

// isLocalMember reports whether a member is the current incarnation of this
// instance. A witness is kept in memory, so its incarnation is that of the
// process.
func (h *Host) isLocalMember(to journal.Member) bool {
	if to.Witness() {
		return to.Instance() == h.Instance && to.Incarnation() == h.Incarnation
	}
	return to.Is(h.self())
}

// handleMessage passes a message to the replica and waits for the disk.
func (r *run) handleMessage(to journal.Member, m journal.Message) journal.Reply {
	r.replicaMu.Lock()
	if r.replica == nil {
		fresh := r.host.StorageIncarnation == 0 && time.Since(r.host.started) < idempotencyWindow
		r.replica = &journal.Replica{Witness: to.Witness(), Fresh: fresh}
	}
	reply, change := r.replica.Handle(m)
	if len(change.Entries) > 0 || change.Base != nil {
		r.changedAt = time.Now()
	}
	if r.host.Store == nil || to.Witness() {
		r.replicaMu.Unlock()
		return reply
	}
	if change.Durable {
		r.waitForSync = r.host.Store.Enqueue(r.name, change)
	}
	waitForSync := r.waitForSync
	r.replicaMu.Unlock()
	if waitForSync == nil {
		return reply
	}
	if err := waitForSync(); err != nil {
		r.replicaMu.Lock()
		r.replica.Fail()
		r.replicaMu.Unlock()
		r.host.DiskFailed(err)
		return nil
	}
	return reply
}

// send sends a journal message to the local replica or to a peer.
func (r *run) send(a owner.Send) {
	d := &delivery{run: r, to: a.To, message: a.Message}
	if r.host.isLocalMember(a.To) && r.host.Store == nil {
		d.deliverLocally()
		return
	}
	go d.loop()
}

// delivery is a journal message being sent.
type delivery struct {
	run     *run
	to      journal.Member
	message journal.Message
}

// deliverLocally passes the message to the local replica.
func (d *delivery) deliverLocally() {
	reply := d.run.handleMessage(d.to, d.message)
	if reply == nil {
		d.run.post(owner.NoReply{To: d.to})
		return
	}
	d.run.post(owner.Replied{From: d.to, Reply: reply})
}

func (d *delivery) loop() {
	if d.run.host.isLocalMember(d.to) {
		d.deliverLocally()
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
