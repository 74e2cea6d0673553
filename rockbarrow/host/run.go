// SPDX-License-Identifier: MIT

package host

import (
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/internal/mailbox"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// run is a run that this instance owns or replicates.
type run struct {
	host *Host
	name string

	// mailbox delivers events to the owner.
	mailbox mailbox.Box[owner.Event]

	// mu guards the fields below. It is not held while actions are performed.
	mu sync.Mutex
	// owner is nil unless this instance owns the run.
	owner *owner.Owner
	// callers receive events of the owner.
	callers map[program.CallID]*stream
	// slot belongs to the most recent placement of the open call.
	slot *attemptSlot
	// nextCampaign is the earliest time of the next campaign.
	nextCampaign time.Time
	// toldOfStop is the owner that knows that the instance stops.
	toldOfStop *owner.Owner
	// handedOver is set once the run was left to another instance in a stop.
	handedOver bool
	// released is set if the last ownership ended because the run was settled.
	released bool

	// replicaMu guards the local replica. It may be acquired while mu is held,
	// but not the other way around.
	replicaMu sync.Mutex
	replica   *journal.Replica
	changedAt time.Time
	// waitForSync waits for the last change to be synced to disk; it is nil if there
	// is none.
	waitForSync func() error
}

// claimOptions describes how to claim a run.
type claimOptions struct {
	view  *roster.View
	keyed bool
	// create is set if the run is to be created.
	create bool
}

func (r *run) owned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner != nil
}

func (r *run) underReplicated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner != nil && r.owner.AtRisk()
}

func (r *run) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner != nil && r.owner.Machine.Busy()
}

func (r *run) tick(v *roster.View) { r.post(owner.Ticked{View: v}) }

// releaseIfSettled gives up the ownership of a run that has ended and has no
// pending work. A later request claims it again.
func (r *run) releaseIfSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != nil && r.owner.Machine.Settled() {
		r.owner = nil
		r.released = true
	}
}

// membership returns the members and the highest promised ballot of the local
// replica.
func (r *run) membership() (journal.Members, journal.Ballot, bool) {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if r.replica == nil || r.replica.Log().LastIndex() == 0 {
		return nil, journal.Ballot{}, false
	}
	return r.replica.Log().Members(), r.replica.Promised(), true
}

// needsOwner reports whether this instance should claim the run: its owner is
// dead and this instance is the successor, or this process owned it last and
// must own it again.
func (r *run) needsOwner(v *roster.View) bool {
	members, ballot, ok := r.membership()
	if !ok {
		return false
	}
	if r.host.isOwnBallot(ballot) {
		return !r.wasHandedOver() && (r.endedUnexpectedly() || owner.NeedsRepair(members, v, r.name, HomeDomain(r.name), r.host.self()))
	}
	if v.IsWriterAlive(ballot) {
		return false
	}
	m, ok := owner.Successor(members, v)
	return ok && m.Is(r.host.self())
}

// isOwnBallot reports whether a ballot was taken by this process.
func (h *Host) isOwnBallot(b journal.Ballot) bool {
	return b.Instance() == h.Instance && b.Incarnation() == h.Incarnation
}

// endedUnexpectedly reports whether the last ownership ended before the run
// was settled, so that the run has to be claimed again.
func (r *run) endedUnexpectedly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.released
}

// expired reports whether the run ended, or a witness's journal last changed,
// longer ago than the retention.
func (r *run) expired(retention time.Duration) bool {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if r.replica == nil || time.Since(r.changedAt) < retention {
		return false
	}
	if r.replica.Witness {
		return true
	}
	log := r.replica.Log()
	const tail = 8
	for _, e := range log.After(log.LastIndex()-min(tail, log.LastIndex()), tail) {
		for _, record := range owner.DecodeRecords(e.Payload()) {
			if _, ok := record.GetBody().(*recordpb.Record_Ended); ok {
				return true
			}
		}
	}
	return false
}

// claim starts to own the run, unless the pause after a failed campaign is not
// over.
func (r *run) claim(c claimOptions) bool {
	h := r.host
	r.mu.Lock()
	if r.owner != nil {
		r.mu.Unlock()
		return true
	}
	if time.Now().Before(r.nextCampaign) {
		r.mu.Unlock()
		return false
	}
	r.nextCampaign = time.Now().Add(randomBackoff())
	o := &owner.Owner{
		Run:              r.name,
		Domain:           HomeDomain(r.name),
		Self:             h.self(),
		Incarnation:      h.Incarnation,
		ConcurrentCreate: c.keyed,
		Machine:          program.Machine{Instance: h.Instance},
	}
	if c.create {
		o.InitialMembers = owner.InitialMembers(c.view, r.name, o.Domain)
	}
	r.replicaMu.Lock()
	o.Replica = r.replica
	r.replicaMu.Unlock()
	r.owner = o
	r.released = false
	r.mu.Unlock()
	h.Metrics.Counter("campaigns").Inc(1)
	r.post(owner.Start{Round: h.round.Add(1)})
	return true
}

// post passes events to the owner.
func (r *run) post(events ...owner.Event) { r.mailbox.Post(events...) }

// step processes one event and performs the resulting actions.
func (r *run) step(e owner.Event) {
	r.mu.Lock()
	o := r.owner
	if o == nil {
		r.mu.Unlock()
		r.rejectEvent(e)
		return
	}
	actions := r.handle(o, e)
	idle := r.takeUnusedSlot()
	r.mu.Unlock()
	if idle != nil {
		idle.release()
	}
	for _, a := range actions {
		r.perform(o, a)
	}
}

// handle steps the owner, which copies the local replica when it starts.
func (r *run) handle(o *owner.Owner, e owner.Event) []owner.Action {
	if _, ok := e.(owner.Start); ok {
		r.replicaMu.Lock()
		defer r.replicaMu.Unlock()
	}
	return o.Handle(time.Now(), e)
}

// rejectEvent replies to the caller of an event that arrived without an owner.
func (r *run) rejectEvent(e owner.Event) {
	a, ok := e.(owner.ProgramEvent)
	if !ok {
		return
	}
	if p, ok := a.Event.(program.Placed); ok {
		r.mu.Lock()
		s := r.slot
		if s != nil && s.attempt == p.Attempt {
			r.slot = nil
		} else {
			s = nil
		}
		r.mu.Unlock()
		if s != nil {
			s.release()
		}
		return
	}
	var deposed program.Machine
	for _, act := range deposed.Handle(time.Now(), program.OwnershipLost{}) {
		r.performProgram(nil, act)
	}
	for _, act := range deposed.Handle(time.Now(), a.Event) {
		r.performProgram(nil, act)
	}
}

// notifyCaller passes an event to a waiting caller.
func (r *run) notifyCaller(id program.CallID, e *peerpb.DoEvent, done bool) {
	r.mu.Lock()
	s := r.callers[id]
	if done {
		delete(r.callers, id)
	}
	r.mu.Unlock()
	if s != nil {
		s.push(e, done)
	}
}

// perform performs an action of the owner.
func (r *run) perform(o *owner.Owner, a owner.Action) {
	switch a := a.(type) {
	case owner.Send:
		r.send(a)
	case owner.ProgramAction:
		r.performProgram(o, a.Action)
	case owner.OwnershipLost:
		r.host.Metrics.Counter("deposed").Inc(1)
		r.host.Log.WithField("run", r.name).WithField("by", a.By.String()).Info("another instance owns the run")
		r.observeBallot(a.By)
		r.dropOwner(o)
	case owner.Abandoned:
		r.host.Metrics.Counter("abandoned").Inc(1)
		r.dropOwner(o)
	}
}

// observeBallot records a higher ballot, so that requests are redirected to
// its writer.
func (r *run) observeBallot(b journal.Ballot) {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if r.replica != nil {
		r.replica.Observe(b)
	}
}

// dropOwner ends the ownership. An attempt in progress continues and its
// result is dropped.
func (r *run) dropOwner(o *owner.Owner) {
	r.mu.Lock()
	if r.owner == o {
		r.owner = nil
		r.nextCampaign = time.Now().Add(randomBackoff())
	}
	s := r.slot
	if s != nil && !s.sent {
		r.slot = nil
	} else {
		s = nil
	}
	r.mu.Unlock()
	if s != nil {
		s.release()
	}
}
