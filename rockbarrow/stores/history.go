// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// seen is the turns that one request has met, and those kept from earlier ones.
type seen struct {
	cache *Cache
	own   map[string]*fleetpb.Turn
}

func newSeen(c *Cache) *seen { return &seen{cache: c, own: map[string]*fleetpb.Turn{}} }

func (s *seen) add(turns []*fleetpb.Turn) {
	for _, t := range turns {
		s.own[t.GetId()] = t
		s.cache.Add(t)
	}
}

func (s *seen) find(id string) *fleetpb.Turn {
	if t := s.own[id]; t != nil {
		return t
	}
	return s.cache.Get(id)
}

// history returns the turns that a turn goes on from, oldest first.
func (c *Client) history(ctx context.Context, t Turn, seen *seen) ([]*fleetpb.Turn, error) {
	var out []*fleetpb.Turn
	home := t.Program
	for id := t.Previous; id != ""; {
		turn := seen.find(id)
		if turn == nil {
			if err := c.find(ctx, id, home, seen); err != nil {
				return nil, c.gap(err, id, t.Previous)
			}
			turn = seen.find(id)
		}
		if id == t.Previous && !mayGoOn(turn, t.Customer) {
			return nil, &UnknownTurnError{Turn: id}
		}
		out = append(out, turn)
		id, home = turn.GetPrevious(), turn.GetHome()
	}
	slices.Reverse(out)
	return out, nil
}

// mayGoOn reports whether a customer may go on from a turn: one of its own, or one from before keys were asked for,
// which belongs to nobody. A turn's chain is its customer's, as each turn of it was looked at like this.
func mayGoOn(turn *fleetpb.Turn, customer string) bool {
	return turn.GetCustomer() == "" || turn.GetCustomer() == customer
}

// gap keeps a chain with a hole from being taken for a turn that never was.
func (c *Client) gap(err error, id, previous string) error {
	var unknown *UnknownTurnError
	if errors.As(err, &unknown) && id != previous {
		return &UnavailableError{Reason: "turn " + id + " is missing in a chain"}
	}
	return err
}

// find looks a turn up in the group of its likely home, then everywhere: a
// program may go on from another one's turn.
func (c *Client) find(ctx context.Context, id, home string, seen *seen) error {
	err := c.lookup(ctx, id, seen, func(v *fleetpb.View) (*ledger.QuorumTracker, func() bool) {
		t := ledger.NewQuorumTracker(v, home)
		return t, t.HasReadQuorum
	})
	var unknown *UnknownTurnError
	if !errors.As(err, &unknown) {
		return err
	}
	return c.lookup(ctx, id, seen, func(v *fleetpb.View) (*ledger.QuorumTracker, func() bool) {
		t := ledger.NewAllStoresTracker(v)
		return t, func() bool { return t.HasReadQuorumInAllGroups(int(v.GetCopies())) }
	})
}

// lookup asks stores for a turn until one has it or enough certainly do not.
func (c *Client) lookup(ctx context.Context, id string, seen *seen, tally func(*fleetpb.View) (*ledger.QuorumTracker, func() bool)) error {
	for {
		view := c.Watch.State().GetView()
		t, sure := tally(view)
		found := false
		members := t.Members()
		got, reason := gather(ctx, c, t, members, len(members), func() bool { return found || sure() }, nil,
			func(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.LookupReply, *fleetpb.StoreStatus, error) {
				r, err := s.Lookup(ctx, &fleetpb.LookupRequest{Epoch: view.GetEpoch(), Storage: m.GetStorage(), Turn: id})
				return r, r.GetStatus(), err
			},
			func(r *fleetpb.LookupReply) {
				seen.add(r.GetChain())
				found = found || r.GetFound()
			})
		if got == reached && found {
			return nil
		}
		if got == reached {
			return &UnknownTurnError{Turn: id}
		}
		if got == expired || !again(ctx) {
			return &UnavailableError{Reason: reason, Epoch: view.GetEpoch()}
		}
	}
}
