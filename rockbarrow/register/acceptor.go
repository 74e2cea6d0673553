// SPDX-License-Identifier: MIT

package register

import (
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// Acceptor is one voter. The caller saves [Acceptor.Record] on the disk before
// it sends a reply for which changed is true.
type Acceptor struct {
	// Storage names the life of the storage that the votes are kept on.
	Storage uint64
	// Founder is true on an instance that may agree to a first set of voters.
	Founder bool

	// record never goes back to an older ballot.
	record *fleetpb.AcceptorRecord
}

// Restore sets the acceptor to what its disk holds.
func (a *Acceptor) Restore(r *fleetpb.AcceptorRecord) { a.record = r }

// Record returns what must be on the disk; it is not changed later.
func (a *Acceptor) Record() *fleetpb.AcceptorRecord { return a.record }

// Prepare answers a proposer that wants older ballots refused.
func (a *Acceptor) Prepare(req *fleetpb.PrepareRequest) (reply *fleetpb.PrepareReply, changed bool) {
	if req.GetAcceptor() != a.Storage || !a.mayFound(req.GetInitial()) {
		return &fleetpb.PrepareReply{Silent: true}, false
	}
	promised := a.record.GetPromised()
	if Compare(req.GetBallot(), promised) <= 0 {
		return &fleetpb.PrepareReply{Promised: promised}, false
	}
	next := a.next()
	next.Promised = req.GetBallot()
	if len(req.GetInitial()) > 0 && next.GetState() == nil {
		next.Initial = req.GetInitial()
	}
	a.record = next
	return &fleetpb.PrepareReply{
		Promised: next.GetPromised(), Granted: true,
		Accepted: next.GetAccepted(), State: next.GetState(),
	}, true
}

// mayFound reports whether a first set of voters may be formed with this vote:
// each founder agrees to one set in its life, so that two never form.
func (a *Acceptor) mayFound(initial []*fleetpb.Member) bool {
	if len(initial) == 0 || a.record.GetState() != nil {
		return true
	}
	if agreed := a.record.GetInitial(); len(agreed) > 0 {
		return Same(agreed, initial)
	}
	return a.Founder && Has(initial, a.Storage)
}

// Accept answers a proposer that wants a value stored.
func (a *Acceptor) Accept(req *fleetpb.AcceptRequest) (reply *fleetpb.AcceptReply, changed bool) {
	if req.GetAcceptor() != a.Storage {
		return &fleetpb.AcceptReply{Silent: true}, false
	}
	promised := a.record.GetPromised()
	if Compare(req.GetBallot(), promised) < 0 {
		return &fleetpb.AcceptReply{Promised: promised}, false
	}
	next := a.next()
	next.Promised, next.Accepted, next.State = req.GetBallot(), req.GetBallot(), req.GetState()
	a.record = next
	return &fleetpb.AcceptReply{Promised: req.GetBallot(), Granted: true}, true
}

// next returns a shallow copy of the record, as the disk may still be writing
// the old one.
func (a *Acceptor) next() *fleetpb.AcceptorRecord {
	return &fleetpb.AcceptorRecord{
		Promised: a.record.GetPromised(), Accepted: a.record.GetAccepted(),
		State: a.record.GetState(), Initial: a.record.GetInitial(),
	}
}

// Clone copies a state for a change. The configuration is shared: a change puts another
// one in its place and never alters it, and its document may be large.
func Clone(s *fleetpb.State) *fleetpb.State {
	shallow := &fleetpb.State{
		Number: s.GetNumber(), Voters: s.GetVoters(), PriorVoters: s.GetPriorVoters(),
		View: s.GetView(), Retired: s.GetRetired(),
	}
	c := proto.Clone(shallow).(*fleetpb.State)
	c.Configuration = s.GetConfiguration()
	return c
}
