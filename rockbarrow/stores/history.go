// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// turnIndex finds turns received during one request, and cached ones from earlier requests.
type turnIndex struct {
	cache *Cache
	local map[string]*fleetpb.Turn
}

func newTurnIndex(c *Cache) *turnIndex {
	return &turnIndex{cache: c, local: map[string]*fleetpb.Turn{}}
}

func (s *turnIndex) add(turns []*fleetpb.Turn) {
	for _, t := range turns {
		s.local[t.GetId()] = t
		s.cache.Add(t)
	}
}

func (s *turnIndex) get(id string) *fleetpb.Turn {
	if t := s.local[id]; t != nil {
		return t
	}
	return s.cache.Get(id)
}

// history returns the chain of turns that t continues, oldest first.
func (c *Client) history(ctx context.Context, t Turn, seen *turnIndex) ([]*fleetpb.Turn, error) {
	var out []*fleetpb.Turn
	home := t.Program
	for id := t.Previous; id != ""; {
		turn := seen.get(id)
		if turn == nil {
			if err := c.fetchTurn(ctx, id, home, seen); err != nil {
				return nil, c.missingTurnError(err, id, t.Previous)
			}
			turn = seen.get(id)
		}
		if id == t.Previous && !mayContinue(turn, t.Customer) {
			return nil, &UnknownTurnError{Turn: id}
		}
		out = append(out, turn)
		id, home = turn.GetPrevious(), turn.GetHome()
	}
	slices.Reverse(out)
	return out, nil
}

// mayContinue reports whether a customer may continue from a turn: one of its
// own, or one without a customer, stored before keys were required. Checking the
// last turn suffices because each turn of a chain was checked in the same way.
func mayContinue(turn *fleetpb.Turn, customer string) bool {
	return turn.GetCustomer() == "" || turn.GetCustomer() == customer
}

// missingTurnError turns an unknown turn in the middle of a chain into an
// UnavailableError: the turn existed, so its absence is not the client's error.
func (c *Client) missingTurnError(err error, id, previous string) error {
	var unknown *UnknownTurnError
	if errors.As(err, &unknown) && id != previous {
		return &UnavailableError{Reason: "turn " + id + " is missing from the chain", Epoch: unknown.Replies.Epoch(), Call: CallLookup, Replies: deniedBy(unknown.Replies)}
	}
	return err
}

// fetchTurn looks a turn up in the group of the expected home program, then on
// all stores: a program may continue a turn of another program.
func (c *Client) fetchTurn(ctx context.Context, id, home string, seen *turnIndex) error {
	err := c.lookupTurn(ctx, id, home, seen, func(v *fleetpb.View) (*ledger.QuorumTracker, func() bool) {
		t := ledger.NewQuorumTracker(v, home)
		return t, t.HasReadQuorum
	})
	var unknown *UnknownTurnError
	if !errors.As(err, &unknown) {
		return err
	}
	return c.lookupTurn(ctx, id, home, seen, func(v *fleetpb.View) (*ledger.QuorumTracker, func() bool) {
		t := ledger.NewAllStoresTracker(v)
		return t, func() bool { return t.HasReadQuorumInAllGroups(int(v.GetCopies())) }
	})
}

// lookupTurn queries stores for a turn until one has it or a read quorum does not. It
// gives up if the group of the home program has lost its quorum.
func (c *Client) lookupTurn(ctx context.Context, id, home string, seen *turnIndex, newTracker func(*fleetpb.View) (*ledger.QuorumTracker, func() bool)) error {
	var evidence callEvidence
	for {
		view := c.Watch.State().GetView()
		tracker, absent := newTracker(view)
		found := false
		members := tracker.Members()
		outcome, reason := callQuorum(ctx, c, tracker, members, len(members), func() bool { return found || absent() },
			func() bool { return c.quorumLost(home) },
			storeRequest[*fleetpb.LookupReply]{unary: func(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.LookupReply, *fleetpb.StoreStatus, error) {
				req := &fleetpb.LookupRequest{Epoch: view.GetEpoch(), Storage: m.GetStorage(), Turn: id}
				r, err := s.Lookup(ctx, req)
				return r, r.GetStatus(), unaryError(req, err)
			}},
			&evidence,
			func(r *fleetpb.LookupReply) {
				seen.add(r.GetChain())
				found = found || r.GetFound()
			})
		if outcome == quorumReached && found {
			return nil
		}
		if outcome == quorumReached {
			c.Watch.Log.WithFields(logrus.Fields{
				"turn": id, "view": view.GetEpoch(), "view_change": len(view.GetPrior()) > 0, "answered_by": tracker.Answered(),
			}).Info("turn is unknown to its stores")
			replies := newReplies(view, tracker)
			replies.incomplete = tracker.Incomplete()
			return &UnknownTurnError{Turn: id, Replies: replies}
		}
		if outcome == aborted || !waitRetry(ctx) {
			return evidence.unavailable(CallLookup, reason, view, tracker)
		}
	}
}
