// SPDX-License-Identifier: MIT

package register

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// Acceptor is the state of one voter. The caller must save [Acceptor.Record] to disk before it
// sends a reply for which changed is true.
type Acceptor struct {
	// Storage identifies the incarnation of the storage on which the votes are kept.
	Storage uint64
	// Founder reports whether the storage was first started at the first start of the deployment,
	// so that no earlier incarnation of it can have voted.
	Founder bool
	// Seeds are the addresses at which the initial value is voted on, as configured at the first
	// start of this storage. They never change.
	Seeds []string
	// FaultTolerance is the number of storages that may be lost at the same time.
	FaultTolerance int

	// record never returns to an older ballot.
	record *fleetpb.AcceptorRecord
}

// Restore sets the record to the one stored on disk.
func (a *Acceptor) Restore(r *fleetpb.AcceptorRecord) { a.record = r }

// Record returns the record that must be on disk. It is not modified later.
func (a *Acceptor) Record() *fleetpb.AcceptorRecord { return a.record }

// Prepare handles a request to reject older ballots.
func (a *Acceptor) Prepare(req *fleetpb.PrepareRequest) (reply *fleetpb.PrepareReply, changed bool) {
	if req.GetAcceptor() != a.Storage || !a.mayVoteOnInitial(req.GetSeeds()) {
		return &fleetpb.PrepareReply{Silent: true}, false
	}
	promised := a.record.GetPromised()
	if CompareBallots(req.GetBallot(), promised) <= 0 {
		return &fleetpb.PrepareReply{Promised: promised}, false
	}
	next := a.copyRecord()
	next.Promised = req.GetBallot()
	a.record = next
	return &fleetpb.PrepareReply{
		Promised: next.GetPromised(), Granted: true, Founder: a.Founder,
		Accepted: next.GetAccepted(), State: next.GetState(),
	}, true
}

// mayVoteOnInitial reports whether this storage may vote on the initial value at the given seeds;
// it is always true for requests without seeds. All such votes must concern the same seeds. A
// storage that knows of a deployment may not vote, and one that is no founder may vote only if the
// tolerated losses cannot undo a choice by a majority of founders.
func (a *Acceptor) mayVoteOnInitial(seeds []string) bool {
	switch {
	case len(seeds) == 0 || a.record.GetState() != nil:
		return true
	case a.record.GetFormed() || !slices.Equal(seeds, a.Seeds):
		return false
	}
	return a.Founder || a.FaultTolerance <= len(a.Seeds)/2
}

// MarkFormed records that a deployment exists. It reports whether the record changed and must be
// saved.
func (a *Acceptor) MarkFormed() (changed bool) {
	if a.record.GetFormed() || a.record.GetState() != nil {
		return false
	}
	next := a.copyRecord()
	next.Formed = true
	a.record = next
	return true
}

// Accept handles a request to store a value.
func (a *Acceptor) Accept(req *fleetpb.AcceptRequest) (reply *fleetpb.AcceptReply, changed bool) {
	if req.GetAcceptor() != a.Storage {
		return &fleetpb.AcceptReply{Silent: true}, false
	}
	promised := a.record.GetPromised()
	if CompareBallots(req.GetBallot(), promised) < 0 {
		return &fleetpb.AcceptReply{Promised: promised}, false
	}
	next := a.copyRecord()
	next.Promised, next.Accepted, next.State = req.GetBallot(), req.GetBallot(), req.GetState()
	a.record = next
	return &fleetpb.AcceptReply{Promised: req.GetBallot(), Granted: true}, true
}

// copyRecord returns a shallow copy of the record, since the old one may still be in use by a write
// to disk.
func (a *Acceptor) copyRecord() *fleetpb.AcceptorRecord {
	return &fleetpb.AcceptorRecord{
		Promised: a.record.GetPromised(), Accepted: a.record.GetAccepted(),
		State: a.record.GetState(), Formed: a.record.GetFormed(),
	}
}

// CloneState returns a deep copy of a state that shares the configuration. Changes replace the
// configuration, which may be large, and never modify it.
func CloneState(s *fleetpb.State) *fleetpb.State {
	shallow := &fleetpb.State{
		Number: s.GetNumber(), Voters: s.GetVoters(), PriorVoters: s.GetPriorVoters(),
		View: s.GetView(), Retired: s.GetRetired(), Evacuations: s.GetEvacuations(),
	}
	c := proto.Clone(shallow).(*fleetpb.State)
	c.Configuration = s.GetConfiguration()
	return c
}
