// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxRoundBackoff is the maximum random delay after a preempted round, so that two proposers do
	// not keep preempting each other. A round takes about 10 ms.
	maxRoundBackoff = 40 * time.Millisecond
	// voteTimeout bounds one request to an acceptor, including its write to disk. An fsync takes
	// 1 ms, and seconds on a stalled disk.
	voteTimeout = 1500 * time.Millisecond
	// eventBufferSize exceeds the number of replies in a round (two per acceptor, with at most two
	// sets of nine voters), so that senders never block. Nine voters tolerate four losses.
	eventBufferSize = 64
	// roundTimeout bounds one round.
	roundTimeout = 2 * time.Second
)

// preemptedError is returned if an acceptor has promised a newer ballot.
type preemptedError struct{ round uint64 }

func (e *preemptedError) Error() string { return fmt.Sprintf("preempted by round %d", e.round) }

// noQuorumError is returned if too few voters answered for a majority.
type noQuorumError struct{}

func (e *noQuorumError) Error() string { return "too few voters answered" }

// stoppedError is returned if a round is started during shutdown.
type stoppedError struct{}

func (e *stoppedError) Error() string { return "the instance is stopping" }

// runRound runs one round. It ends when the round does, or when no reply is outstanding.
func (c *Controller) runRound(ctx context.Context, change register.Change) (*fleetpb.State, error) {
	known, seeds := c.knownVoters()
	if known == nil && 2*len(reachableSeeds(seeds)) <= len(seeds) {
		return nil, errors.New("most seeds have not answered yet")
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	r := &register.Round{Ballot: c.nextBallot(), Known: known, Seeds: seeds, Change: change}
	events := make(chan register.Event, eventBufferSize)
	held := map[uint64]*fleetpb.Held{}
	outstanding := 0
	actions := r.Handle(register.Begin{})
	for {
		for _, a := range actions {
			switch a := a.(type) {
			case register.Prepare:
				v := &acceptorCall{controller: c, to: a.To, events: events}
				if !c.requests.start(func() { v.sendPrepare(ctx, a.Request) }) {
					return nil, &stoppedError{}
				}
				outstanding++
			case register.Accept:
				v := &acceptorCall{controller: c, to: a.To, events: events, held: held[a.To.GetStorage()]}
				if !c.requests.start(func() { v.sendAccept(ctx, a.Request) }) {
					return nil, &stoppedError{}
				}
				outstanding++
			case register.Chosen:
				return a.State, nil
			case register.Preempted:
				return nil, &preemptedError{round: a.By.GetRound()}
			}
		}
		if outstanding == 0 {
			return nil, &noQuorumError{}
		}
		select {
		case e := <-events:
			outstanding--
			if p, ok := e.(register.Prepared); ok {
				held[p.From] = p.Reply.GetHeld()
			}
			actions = r.Handle(e)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// knownVoters returns a state whose voters to ask or, if none is known, the members at the seeds'
// addresses.
func (c *Controller) knownVoters() (known *fleetpb.State, seeds []*fleetpb.Member) {
	if s := c.State(); s != nil {
		return s, nil
	}
	if s := c.savedRecord.Load().GetState(); s != nil {
		return s, nil
	}
	return nil, c.seedMembers()
}

// seedMembers returns the members at the seeds' addresses. A seed that was not heard recently has
// no storage.
func (c *Controller) seedMembers() []*fleetpb.Member {
	heard := append(c.watch.ControlInstances(seedTimeout), c.Self)
	var out []*fleetpb.Member
	for _, address := range c.InitialSeeds {
		seed := &fleetpb.Member{Address: address}
		for _, m := range heard {
			if m.GetAddress() == address {
				seed = m
			}
		}
		out = append(out, seed)
	}
	return out
}

// reachableSeeds returns the seeds with a known storage.
func reachableSeeds(seeds []*fleetpb.Member) []*fleetpb.Member {
	return slices.DeleteFunc(slices.Clone(seeds), func(m *fleetpb.Member) bool { return m.GetStorage() == 0 })
}

// acceptorCall sends the requests of a round to one acceptor.
type acceptorCall struct {
	controller *Controller
	to         *fleetpb.Member
	// events receives the reply, or nil if there is none.
	events chan<- register.Event
	// held describes the documents that the acceptor reported holding, or nil.
	held *fleetpb.Held
}

func (v *acceptorCall) sendPrepare(ctx context.Context, req *fleetpb.PrepareRequest) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	reply, err := v.prepare(ctx, req)
	if err != nil {
		v.controller.Log.WithError(err).WithField("control", v.to.GetInstance()).Debug("prepare request failed")
		v.post(nil)
		return
	}
	v.post(register.Prepared{From: v.to.GetStorage(), Reply: reply})
}

func (v *acceptorCall) prepare(ctx context.Context, req *fleetpb.PrepareRequest) (*fleetpb.PrepareReply, error) {
	if v.to.GetStorage() == v.controller.Self.GetStorage() {
		return v.controller.Prepare(ctx, req)
	}
	conn, err := v.controller.Pool.Get(v.to.GetAddress())
	if err != nil {
		return nil, err
	}
	docs := &v.controller.watch.Documents
	if _, whole := v.controller.needFullState.LoadAndDelete(v.to.GetStorage()); !whole {
		req.Held = docs.Held()
	}
	reply, err := fleetpb.NewControlClient(conn).Prepare(ctx, req)
	if err != nil {
		return nil, err
	}
	if reply.State, err = docs.UnpackState(reply.GetState()); err != nil {
		v.controller.needFullState.Store(v.to.GetStorage(), true)
		return nil, err
	}
	return reply, nil
}

func (v *acceptorCall) sendAccept(ctx context.Context, req *fleetpb.AcceptRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voteTimeout)
	defer cancel()
	reply, err := v.accept(ctx, req)
	if err != nil {
		v.controller.Log.WithError(err).WithField("control", v.to.GetInstance()).Debug("accept request failed")
		v.post(nil)
		return
	}
	v.post(register.Accepted{From: v.to.GetStorage(), Reply: reply})
}

func (v *acceptorCall) accept(ctx context.Context, req *fleetpb.AcceptRequest) (*fleetpb.AcceptReply, error) {
	if v.to.GetStorage() == v.controller.Self.GetStorage() {
		return v.controller.Accept(ctx, req)
	}
	conn, err := v.controller.Pool.Get(v.to.GetAddress())
	if err != nil {
		return nil, err
	}
	packed := &fleetpb.AcceptRequest{
		Ballot: req.GetBallot(), Acceptor: req.GetAcceptor(), State: v.controller.watch.Documents.PackState(req.GetState(), v.held),
	}
	reply, err := fleetpb.NewControlClient(conn).Accept(ctx, packed)
	if err == nil && reply.GetLacksBase() {
		reply, err = fleetpb.NewControlClient(conn).Accept(ctx, req)
	}
	if err == nil && reply.GetLacksBase() {
		err = errors.New("controller: the acceptor cannot unpack the value")
	}
	return reply, err
}

// post delivers an event. The channel's buffer keeps events of a round that has ended.
func (v *acceptorCall) post(e register.Event) { v.events <- e }

// Prepare handles a proposer's prepare request. It returns once the promise is on disk.
func (c *Controller) Prepare(_ context.Context, req *fleetpb.PrepareRequest) (*fleetpb.PrepareReply, error) {
	c.votingMu.Lock()
	defer c.votingMu.Unlock()
	before := c.acceptor.Record()
	reply, changed := c.acceptor.Prepare(req)
	if changed {
		if err := c.saveVote(before, c.votes.savePromise); err != nil {
			return nil, err
		}
	}
	reply.State, reply.Held = c.watch.Documents.PackState(reply.GetState(), req.GetHeld()), c.watch.Documents.Held()
	return reply, nil
}

// Accept handles a proposer's accept request. It returns once the value is on disk.
func (c *Controller) Accept(_ context.Context, req *fleetpb.AcceptRequest) (*fleetpb.AcceptReply, error) {
	s, err := c.watch.Documents.UnpackState(req.GetState())
	if err != nil {
		c.Log.WithError(err).Warn("a value is not readable and is asked for whole")
		return &fleetpb.AcceptReply{LacksBase: true}, nil
	}
	req.State = s
	c.votingMu.Lock()
	defer c.votingMu.Unlock()
	before := c.acceptor.Record()
	reply, changed := c.acceptor.Accept(req)
	if changed {
		if err := c.saveVote(before, c.votes.saveValue); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// markFormed records on disk that a deployment exists.
func (c *Controller) markFormed() error {
	c.votingMu.Lock()
	defer c.votingMu.Unlock()
	before := c.acceptor.Record()
	if !c.acceptor.MarkFormed() {
		return nil
	}
	return c.saveVote(before, c.votes.savePromise)
}

// endVotes waits for the write of a vote in progress. Later requests that need one fail.
func (c *Controller) endVotes() {
	c.votingMu.Lock()
	defer c.votingMu.Unlock()
	c.votesEnded = true
}

// saveVote writes the acceptor's record to disk. If the write fails, the acceptor is restored to
// the previous record, which no reply has superseded.
func (c *Controller) saveVote(before *fleetpb.AcceptorRecord, write func(*fleetpb.AcceptorRecord) error) error {
	if c.votesEnded {
		c.acceptor.Restore(before)
		return &stoppedError{}
	}
	if err := write(c.acceptor.Record()); err != nil {
		c.acceptor.Restore(before)
		c.Log.WithError(err).Error("failed to save a vote")
		return errors.Wrap(err, "controller: save a vote")
	}
	c.savedRecord.Store(c.acceptor.Record())
	return nil
}
