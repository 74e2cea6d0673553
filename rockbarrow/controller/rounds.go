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
	// roundPause is the most that a proposer waits after it lost a round, so that
	// two do not keep losing to each other. A round takes some 10 ms.
	roundPause = 40 * time.Millisecond
	// voteWithin bounds one request to an acceptor; a disk's sync takes 1 ms and
	// a stalled one seconds.
	voteWithin = 1500 * time.Millisecond
	// mostAnswers is more than all acceptors give in a round, two each, so that none of
	// them ever waits for the round: two sets of voters of at most nine, as operators
	// tolerate four losses at the very most.
	mostAnswers = 64
	// roundWithin bounds one round.
	roundWithin = 2 * time.Second
)

// lostError says that a newer ballot was met.
type lostError struct{ round uint64 }

func (e *lostError) Error() string { return fmt.Sprintf("round %d was met", e.round) }

// unansweredError says that so many voters did not answer that a round found no majority.
type unansweredError struct{}

func (e *unansweredError) Error() string { return "too few voters answered" }

// stoppedError says that this instance stops and asks nobody any more.
type stoppedError struct{}

func (e *stoppedError) Error() string { return "this instance stops" }

// runRound carries the messages of one round. It ends once the round has, or no answer is
// outstanding any more.
func (c *Controller) runRound(ctx context.Context, change register.Change) (*fleetpb.State, error) {
	known, seeds := c.electorate()
	if known == nil && 2*len(heardOf(seeds)) <= len(seeds) {
		return nil, errors.New("most seeds were not heard yet")
	}
	ctx, cancel := context.WithTimeout(ctx, roundWithin)
	defer cancel()
	r := &register.Round{Ballot: c.nextBallot(), Known: known, Seeds: seeds, Change: change}
	events := make(chan register.Event, mostAnswers)
	held := map[uint64]*fleetpb.Held{}
	outstanding := 0
	actions := r.Handle(register.Begin{})
	for {
		for _, a := range actions {
			switch a := a.(type) {
			case register.Prepare:
				v := &vote{controller: c, to: a.To, events: events}
				if !c.requests.start(func() { v.runPrepare(ctx, a.Request) }) {
					return nil, &stoppedError{}
				}
				outstanding++
			case register.Accept:
				v := &vote{controller: c, to: a.To, events: events, held: held[a.To.GetStorage()]}
				if !c.requests.start(func() { v.runAccept(ctx, a.Request) }) {
					return nil, &stoppedError{}
				}
				outstanding++
			case register.Chosen:
				return a.State, nil
			case register.Lost:
				return nil, &lostError{round: a.To.GetRound()}
			}
		}
		if outstanding == 0 {
			return nil, &unansweredError{}
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

// electorate returns a value whose voters to ask, or who answers at the seeds' addresses.
func (c *Controller) electorate() (known *fleetpb.State, seeds []*fleetpb.Member) {
	if s := c.State(); s != nil {
		return s, nil
	}
	if s := c.saved.Load().GetState(); s != nil {
		return s, nil
	}
	return nil, c.seedMembers()
}

// seedMembers returns who answers at the address of each seed. One whom nobody has heard lately has
// no storage.
func (c *Controller) seedMembers() []*fleetpb.Member {
	heard := append(c.watch.ControlInstances(foundersWithin), c.Self)
	var out []*fleetpb.Member
	for _, address := range c.FirstSeeds {
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

// heardOf returns those of the seeds that were heard.
func heardOf(seeds []*fleetpb.Member) []*fleetpb.Member {
	return slices.DeleteFunc(slices.Clone(seeds), func(m *fleetpb.Member) bool { return m.GetStorage() == 0 })
}

// vote carries one acceptor's part of a round.
type vote struct {
	controller *Controller
	to         *fleetpb.Member
	// events gets the answer, or nil if there is none.
	events chan<- register.Event
	// held is what the acceptor has told that it holds, nil if it has told nothing.
	held *fleetpb.Held
}

func (v *vote) runPrepare(ctx context.Context, req *fleetpb.PrepareRequest) {
	ctx, cancel := context.WithTimeout(ctx, voteWithin)
	defer cancel()
	reply, err := v.prepare(ctx, req)
	if err != nil {
		v.controller.Log.WithError(err).WithField("control", v.to.GetInstance()).Debug("no promise")
		v.post(nil)
		return
	}
	v.post(register.Prepared{From: v.to.GetStorage(), Reply: reply})
}

func (v *vote) prepare(ctx context.Context, req *fleetpb.PrepareRequest) (*fleetpb.PrepareReply, error) {
	if v.to.GetStorage() == v.controller.Self.GetStorage() {
		return v.controller.Prepare(ctx, req)
	}
	conn, err := v.controller.Pool.Get(v.to.GetAddress())
	if err != nil {
		return nil, err
	}
	docs := &v.controller.watch.Documents
	if _, whole := v.controller.distrusted.LoadAndDelete(v.to.GetStorage()); !whole {
		req.Held = docs.Held()
	}
	reply, err := fleetpb.NewControlClient(conn).Prepare(ctx, req)
	if err != nil {
		return nil, err
	}
	if reply.State, err = docs.UnpackState(reply.GetState()); err != nil {
		v.controller.distrusted.Store(v.to.GetStorage(), true)
		return nil, err
	}
	return reply, nil
}

func (v *vote) runAccept(ctx context.Context, req *fleetpb.AcceptRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voteWithin)
	defer cancel()
	reply, err := v.accept(ctx, req)
	if err != nil {
		v.controller.Log.WithError(err).WithField("control", v.to.GetInstance()).Debug("not accepted")
		v.post(nil)
		return
	}
	v.post(register.Accepted{From: v.to.GetStorage(), Reply: reply})
}

func (v *vote) accept(ctx context.Context, req *fleetpb.AcceptRequest) (*fleetpb.AcceptReply, error) {
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
		err = errors.New("controller: the acceptor can't read the value")
	}
	return reply, err
}

// post hands over an event; a round that has ended leaves it in the channel.
func (v *vote) post(e register.Event) { v.events <- e }

// Prepare answers a proposer once the promise is on the disk.
func (c *Controller) Prepare(_ context.Context, req *fleetpb.PrepareRequest) (*fleetpb.PrepareReply, error) {
	c.voting.Lock()
	defer c.voting.Unlock()
	before := c.acceptor.Record()
	reply, changed := c.acceptor.Prepare(req)
	if changed {
		if err := c.save(before, c.disk.savePromise); err != nil {
			return nil, err
		}
	}
	reply.State, reply.Held = c.watch.Documents.PackState(reply.GetState(), req.GetHeld()), c.watch.Documents.Held()
	return reply, nil
}

// Accept answers a proposer once the value is on the disk.
func (c *Controller) Accept(_ context.Context, req *fleetpb.AcceptRequest) (*fleetpb.AcceptReply, error) {
	s, err := c.watch.Documents.UnpackState(req.GetState())
	if err != nil {
		c.Log.WithError(err).Warn("a value is not readable and is asked for whole")
		return &fleetpb.AcceptReply{LacksBase: true}, nil
	}
	req.State = s
	c.voting.Lock()
	defer c.voting.Unlock()
	before := c.acceptor.Record()
	reply, changed := c.acceptor.Accept(req)
	if changed {
		if err := c.save(before, c.disk.saveValue); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// form saves that there is a deployment.
func (c *Controller) form() error {
	c.voting.Lock()
	defer c.voting.Unlock()
	before := c.acceptor.Record()
	if !c.acceptor.Form() {
		return nil
	}
	return c.save(before, c.disk.savePromise)
}

// save writes what has changed of the record. A record that could not be written is taken
// back: no reply tells of it, and what was written before it is whole.
func (c *Controller) save(before *fleetpb.AcceptorRecord, write func(*fleetpb.AcceptorRecord) error) error {
	if err := write(c.acceptor.Record()); err != nil {
		c.acceptor.Restore(before)
		c.Log.WithError(err).Error("a vote was not saved")
		return errors.Wrap(err, "controller: save a vote")
	}
	c.saved.Store(c.acceptor.Record())
	return nil
}
