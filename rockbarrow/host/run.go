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

// run is one run that this instance owns or replicates.
type run struct {
	host *Host
	name string

	// box steps the owner.
	box mailbox.Box[owner.Event]

	// mu guards the fields below. It is not held while an action is done.
	mu sync.Mutex
	// owner is nil unless this instance owns the run.
	owner *owner.Owner
	// callers wait for events of the owner.
	callers map[program.CallID]*stream
	// seat belongs to the newest placement of the open call.
	seat *seated
	// next is when a campaign may start again.
	next time.Time
	// rested is true when the last ownership ended because nothing was left to do.
	rested bool

	// replicaMu guards the own copy. It may be taken under mu, never around it.
	replicaMu sync.Mutex
	replica   *journal.Replica
	changed   time.Time
	// synced waits for the newest change on its way to the disk; nil without one.
	synced func() error
}

// claimed is why a run is being taken.
type claimed struct {
	view  *roster.View
	keyed bool
	// create is true when an unknown run is to be made.
	create bool
}

func (r *run) owned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner != nil
}

func (r *run) exposed() bool {
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

// rest gives an owned run up that has ended and owes nothing; a reader brings
// it back.
func (r *run) rest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != nil && r.owner.Machine.Settled() {
		r.owner = nil
		r.rested = true
	}
}

// log returns the members and the newest promised ballot of the own copy.
func (r *run) log() (journal.Members, journal.Ballot, bool) {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if r.replica == nil || r.replica.Log().LastIndex() == 0 {
		return nil, journal.Ballot{}, false
	}
	return r.replica.Log().Members(), r.replica.Promised(), true
}

// orphaned reports whether the owner is dead and this instance is next.
func (r *run) orphaned(v *roster.View) bool {
	members, ballot, ok := r.log()
	if !ok {
		return false
	}
	if r.host.wrote(ballot) {
		return r.unrested() || owner.NeedsRepair(members, v, r.name, HomeDomain(r.name), r.host.self())
	}
	if v.IsWriterAlive(ballot) {
		return false
	}
	m, ok := owner.Successor(members, v)
	return ok && m.Is(r.host.self())
}

// wrote reports whether a ballot is of this life of this instance.
func (h *Host) wrote(b journal.Ballot) bool {
	return b.Instance() == h.Instance && b.Incarnation() == h.Incarnation
}

// unrested reports whether an ownership ended otherwise than by a rest, so that
// it has to be taken up again.
func (r *run) unrested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.rested
}

// over reports whether the run ended, or a witness's journal stood still, for
// longer than the retention.
func (r *run) over(retention time.Duration) bool {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if r.replica == nil || time.Since(r.changed) < retention {
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

// claim starts to own the run, unless a campaign was lost a moment ago.
func (r *run) claim(c claimed) bool {
	h := r.host
	r.mu.Lock()
	if r.owner != nil {
		r.mu.Unlock()
		return true
	}
	if time.Now().Before(r.next) {
		r.mu.Unlock()
		return false
	}
	r.next = time.Now().Add(pause())
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
	r.rested = false
	r.mu.Unlock()
	h.Metrics.Counter("campaigns").Inc(1)
	r.post(owner.Start{Round: h.rounds.Add(1)})
	return true
}

// post hands events to the owner.
func (r *run) post(events ...owner.Event) { r.box.Post(events...) }

// step handles one event and does what follows from it.
func (r *run) step(e owner.Event) {
	r.mu.Lock()
	o := r.owner
	if o == nil {
		r.mu.Unlock()
		r.turnAway(e)
		return
	}
	actions := r.handle(o, e)
	idle := r.unusedSeat()
	r.mu.Unlock()
	if idle != nil {
		idle.release()
	}
	for _, a := range actions {
		r.perform(o, a)
	}
}

// handle steps the owner, which copies the own replica when it starts.
func (r *run) handle(o *owner.Owner, e owner.Event) []owner.Action {
	if _, ok := e.(owner.Start); ok {
		r.replicaMu.Lock()
		defer r.replicaMu.Unlock()
	}
	return o.Handle(time.Now(), e)
}

// turnAway answers a caller whose event met no owner.
func (r *run) turnAway(e owner.Event) {
	a, ok := e.(owner.ProgramEvent)
	if !ok {
		return
	}
	if p, ok := a.Event.(program.Placed); ok {
		r.mu.Lock()
		s := r.seat
		if s != nil && s.attempt == p.Attempt {
			r.seat = nil
		} else {
			s = nil
		}
		r.mu.Unlock()
		if s != nil {
			s.release()
		}
		return
	}
	var gone program.Machine
	for _, act := range gone.Handle(time.Now(), program.OwnershipLost{}) {
		r.do(nil, act)
	}
	for _, act := range gone.Handle(time.Now(), a.Event) {
		r.do(nil, act)
	}
}

// tell hands an event to a waiting caller.
func (r *run) tell(id program.CallID, e *peerpb.DoEvent, done bool) {
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

// perform does one action of the owner.
func (r *run) perform(o *owner.Owner, a owner.Action) {
	switch a := a.(type) {
	case owner.Send:
		r.send(a)
	case owner.ProgramAction:
		r.do(o, a.Action)
	case owner.OwnershipLost:
		r.host.Metrics.Counter("deposed").Inc(1)
		r.host.Log.WithField("run", r.name).WithField("by", a.By.String()).Info("another instance owns the run")
		r.observe(a.By)
		r.disown(o)
	case owner.Abandoned:
		r.host.Metrics.Counter("abandoned").Inc(1)
		r.disown(o)
	}
}

// observe notes a newer ballot, so that requests are sent on to its writer.
func (r *run) observe(b journal.Ballot) {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if r.replica != nil {
		r.replica.Observe(b)
	}
}

// disown ends the ownership; an attempt under way goes on and is dropped.
func (r *run) disown(o *owner.Owner) {
	r.mu.Lock()
	if r.owner == o {
		r.owner = nil
		r.next = time.Now().Add(pause())
	}
	s := r.seat
	if s != nil && !s.sent {
		r.seat = nil
	} else {
		s = nil
	}
	r.mu.Unlock()
	if s != nil {
		s.release()
	}
}
