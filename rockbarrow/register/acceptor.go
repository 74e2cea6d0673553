// SPDX-License-Identifier: MIT

package register

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// Acceptor is one voter. The caller saves [Acceptor.Record] on the disk before
// it sends a reply for which changed is true.
type Acceptor struct {
	// Storage names the life of the storage that the votes are kept on.
	Storage uint64
	// Founder is true if the storage is that of the very first start: no life of it has voted before.
	Founder bool
	// Seeds are the addresses where the first value is voted on, as they were told at the first
	// start of this storage. They never change.
	Seeds []string
	// Losses is how many storages may be lost at once.
	FaultTolerance int

	// record never goes back to an older ballot.
	record *fleetpb.AcceptorRecord
}

// Restore sets the acceptor to what its disk holds.
func (a *Acceptor) Restore(r *fleetpb.AcceptorRecord) { a.record = r }

// Record returns what must be on the disk; it is not changed later.
func (a *Acceptor) Record() *fleetpb.AcceptorRecord { return a.record }

// Prepare answers a proposer that wants older ballots refused.
func (a *Acceptor) Prepare(req *fleetpb.PrepareRequest) (reply *fleetpb.PrepareReply, changed bool) {
	if req.GetAcceptor() != a.Storage || !a.mayFound(req.GetSeeds()) {
		return &fleetpb.PrepareReply{Silent: true}, false
	}
	promised := a.record.GetPromised()
	if CompareBallots(req.GetBallot(), promised) <= 0 {
		return &fleetpb.PrepareReply{Promised: promised}, false
	}
	next := a.next()
	next.Promised = req.GetBallot()
	a.record = next
	return &fleetpb.PrepareReply{
		Promised: next.GetPromised(), Granted: true, Founder: a.Founder,
		Accepted: next.GetAccepted(), State: next.GetState(),
	}, true
}

// mayFound reports whether this storage may vote, if the request is about the first value. All such votes are
// about one list of addresses. A storage that knows of a deployment forms no other, and one that is not of
// the first start helps only where no losses can have undone what a majority of founders chose.
func (a *Acceptor) mayFound(seeds []string) bool {
	switch {
	case len(seeds) == 0 || a.record.GetState() != nil:
		return true
	case a.record.GetFormed() || !slices.Equal(seeds, a.Seeds):
		return false
	}
	return a.Founder || a.FaultTolerance <= len(a.Seeds)/2
}

// Form remembers that there is a deployment. It reports whether that is new; the caller saves it.
func (a *Acceptor) MarkFormed() (changed bool) {
	if a.record.GetFormed() || a.record.GetState() != nil {
		return false
	}
	next := a.next()
	next.Formed = true
	a.record = next
	return true
}

// Accept answers a proposer that wants a value stored.
func (a *Acceptor) Accept(req *fleetpb.AcceptRequest) (reply *fleetpb.AcceptReply, changed bool) {
	if req.GetAcceptor() != a.Storage {
		return &fleetpb.AcceptReply{Silent: true}, false
	}
	promised := a.record.GetPromised()
	if CompareBallots(req.GetBallot(), promised) < 0 {
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
		State: a.record.GetState(), Formed: a.record.GetFormed(),
	}
}

// Clone copies a state for a change. The configuration is shared: a change puts another
// one in its place and never alters it, and its document may be large.
func CloneState(s *fleetpb.State) *fleetpb.State {
	shallow := &fleetpb.State{
		Number: s.GetNumber(), Voters: s.GetVoters(), PriorVoters: s.GetPriorVoters(),
		View: s.GetView(), Retired: s.GetRetired(), Evacuations: s.GetEvacuations(),
	}
	c := proto.Clone(shallow).(*fleetpb.State)
	c.Configuration = s.GetConfiguration()
	return c
}
