// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// overBudgetTries is how often a turn that does not fit is tried again: two
	// that reserve at the same moment may each see the other and both step back.
	overBudgetTries = 3
	// overBudgetPause lies between these tries; a reservation takes some 5 ms.
	overBudgetPause = 25 * time.Millisecond
)

// Client calls store instances. Set the exported fields before the first call.
type Client struct {
	Watch *watch.Client
	Pool  *dial.Pool
	// Domain is the own failure domain, whose stores are asked for histories.
	Domain string
	// TurnCache holds the turns seen lately.
	TurnCache *Cache
	// HedgeDelay is how long a quorum that was asked first may take before the other stores are asked too; zero means
	// the default.
	HedgeDelay time.Duration

	health  health
	samples samples
}

// Turn is a turn that wants to run.
type Turn struct {
	// ID names the turn, Program whose budget it spends, and Customer whose program that is, or is "".
	ID, Program, Customer string
	// reservation names what is set aside. One that was given back counts as
	// settled for ever, so that another try needs another name.
	reservation string
	// Previous is the turn that it goes on from, or "".
	Previous string
	// MaxTokens is how many tokens it may generate.
	MaxTokens uint64
	// Budget bounds the tokens of all turns of the program; zero is no bound.
	Budget uint64
	// Retention is how long turns are kept.
	Retention time.Duration
}

// Grant is what a turn may go on with.
type Grant struct {
	// turn is the turn with the reservation that was made for it.
	turn Turn
	// history are the turns before it, oldest first.
	history []*fleetpb.Turn
	home    string
	// endpoint served a turn of the program lately; it has no id if none is known.
	endpoint life.Life
}

// History returns the turns before, oldest first.
func (g *Grant) History() []*fleetpb.Turn { return g.history }

// Endpoint returns the endpoint that served the program lately, without an id if none is known.
func (g *Grant) Endpoint() life.Life { return g.endpoint }

// Home returns the program whose stores keep the chain.
func (g *Grant) Home() string { return g.home }

// Reserve sets the turn's most tokens aside, durably, and returns its history.
// After an error what was reserved is given back in the background.
func (c *Client) Reserve(ctx context.Context, t Turn) (*Grant, error) {
	for try := 1; ; try++ {
		t.reservation = fmt.Sprintf("%s/%d", t.ID, try)
		g, err := c.reserve(ctx, t)
		var over *OverBudgetError
		if !errors.As(err, &over) || try == overBudgetTries {
			return g, err
		}
		if !wait.For(ctx, overBudgetPause) {
			return nil, err
		}
	}
}

func (c *Client) reserve(ctx context.Context, t Turn) (*Grant, error) {
	g := &Grant{turn: t, home: t.Program}
	seen := newSeen(c.TurnCache)
	used, err := c.reserveTokens(ctx, g, seen)
	if err != nil {
		c.void(ctx, t)
		return nil, err
	}
	if t.Budget > 0 && used+t.MaxTokens > t.Budget {
		c.void(ctx, t)
		return nil, &OverBudgetError{Budget: t.Budget, Used: used, MaxTokens: t.MaxTokens}
	}
	if t.Previous == "" {
		return g, nil
	}
	history, err := c.history(ctx, t, seen)
	if err != nil {
		c.void(ctx, t)
		return nil, err
	}
	g.history, g.home = history, history[0].GetHome()
	return g, nil
}

// reserveTokens writes the reservation on a majority and learns what the other
// turns have used.
func (c *Client) reserveTokens(ctx context.Context, g *Grant, seen *seen) (used uint64, err error) {
	t := g.turn
	for {
		view := c.Watch.State().GetView()
		tally := ledger.NewQuorumTracker(view, t.Program)
		var total ledger.ReservationSet
		wanted := t.Previous != "" && seen.find(t.Previous) == nil
		members, first := c.quorumFirst(view, tally.Members())
		asked := c.nearest(members)
		got, reason := gather(ctx, c, tally, members, first, func() bool { return tally.HasWriteQuorum() && tally.HasReadQuorum() },
			func() bool { return c.cannotReachQuorum(t.Program) },
			func(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.ReserveReply, *fleetpb.StoreStatus, error) {
				r, err := s.Reserve(ctx, &fleetpb.ReserveRequest{
					Epoch: view.GetEpoch(), Storage: m.GetStorage(), Program: t.Program, Turn: t.reservation, Tokens: t.MaxTokens,
					Previous: t.Previous, Chain: wanted && m == asked, RetainMs: uint64(t.Retention.Milliseconds()),
				})
				return r, r.GetStatus(), err
			},
			func(r *fleetpb.ReserveReply) {
				total.Merge(r.GetReservations())
				seen.add(r.GetChain())
				if r.GetEndpoint() != "" {
					g.endpoint = life.Life{ID: r.GetEndpoint(), BornMS: r.GetBornMs()}
				}
			})
		if got == reached {
			return total.TokensExcept(t.reservation), nil
		}
		if got == expired || !again(ctx) {
			return 0, &UnavailableError{Reason: reason, Epoch: view.GetEpoch()}
		}
	}
}

// quorumFirst returns the stores of a program, those of the own failure domain first, and how many to ask at first: as
// many as a reservation needs while nothing is wrong. The settlement goes to all of them and brings the reservation with it.
func (c *Client) quorumFirst(v *fleetpb.View, members []*fleetpb.Member) ([]*fleetpb.Member, int) {
	if len(members) == 0 || len(v.GetPrior()) > 0 {
		return members, len(members)
	}
	if !c.health.allProven(members) {
		domains := c.provenDomains(v)
		if slices.ContainsFunc(members, func(m *fleetpb.Member) bool { return !c.isProven(m, domains) }) {
			return members, len(members)
		}
	}
	ordered := make([]*fleetpb.Member, 0, len(members))
	for _, own := range []bool{true, false} {
		for _, m := range members {
			if (m.GetFailureDomain() == c.Domain) == own {
				ordered = append(ordered, m)
			}
		}
	}
	n := len(members)
	return ordered, max(ledger.WriteQuorum(n), ledger.ReadQuorum(n))
}

// nearest prefers a store of the own failure domain.
func (c *Client) nearest(members []*fleetpb.Member) *fleetpb.Member {
	for _, m := range members {
		if m.GetFailureDomain() == c.Domain {
			return m
		}
	}
	if len(members) == 0 {
		return nil
	}
	return members[0]
}

// Release gives a reservation back whose turn certainly did not run. It works in
// the background: until it is done, the program's budget is a little smaller.
func (c *Client) Release(ctx context.Context, g *Grant) { c.void(ctx, g.turn) }

func (c *Client) void(ctx context.Context, t Turn) { c.settleLater(ctx, t, 0, life.Life{}) }

// SettleAsync stores in the background what a turn has spent that is not kept itself,
// and which endpoint served it. Until it is done, the reservation counts at its most.
func (c *Client) SettleAsync(ctx context.Context, g *Grant, spent uint64, endpoint life.Life) {
	c.settleLater(ctx, g.turn, spent, endpoint)
}

func (c *Client) settleLater(ctx context.Context, t Turn, spent uint64, endpoint life.Life) {
	s := &settling{client: c, turn: t, spent: spent, endpoint: endpoint}
	go s.run(context.WithoutCancel(ctx))
}

// settling is a settlement in the background.
type settling struct {
	client   *Client
	turn     Turn
	spent    uint64
	endpoint life.Life
}

func (s *settling) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	err := s.client.write(ctx, s.turn.Program, s.turn.settled(s.spent, s.endpoint))
	if err != nil {
		s.client.Watch.Log.WithError(err).WithField("request", s.turn.ID).
			Warn("a reservation was not settled and counts at its most")
	}
}

// settled is the record that ends a turn's reservation.
func (t Turn) settled(spent uint64, endpoint life.Life) *fleetpb.SettleRequest {
	return &fleetpb.SettleRequest{
		Program:     t.Program,
		Reservation: &fleetpb.Reservation{Turn: t.reservation, Tokens: spent, Settled: true, Endpoint: endpoint.ID, BornMs: endpoint.BornMS},
		RetainMs:    uint64(t.Retention.Milliseconds()),
	}
}

// Settle stores what a turn has spent and, if it was answered whole, the turn
// itself, durably.
func (c *Client) Settle(ctx context.Context, g *Grant, spent uint64, done *fleetpb.Turn) error {
	t := g.turn
	req := t.settled(spent, life.Life{ID: done.GetEndpoint(), BornMS: done.GetBornMs()})
	if done != nil && done.GetHome() != t.Program {
		// The chain belongs to an earlier program, whose stores keep it.
		if err := c.write(ctx, done.GetHome(), &fleetpb.SettleRequest{Turn: done}); err != nil {
			return err
		}
	} else {
		req.Turn = done
	}
	if err := c.write(ctx, t.Program, req); err != nil {
		return err
	}
	if done != nil {
		c.TurnCache.Add(done)
	}
	return nil
}

// write stores a record on a majority of a program's group.
func (c *Client) write(ctx context.Context, program string, req *fleetpb.SettleRequest) error {
	for {
		view := c.Watch.State().GetView()
		tally := ledger.NewQuorumTracker(view, program)
		members := tally.Members()
		got, reason := gather(ctx, c, tally, members, len(members), tally.HasWriteQuorum, nil,
			func(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.SettleReply, *fleetpb.StoreStatus, error) {
				r, err := s.Settle(ctx, &fleetpb.SettleRequest{
					Epoch: view.GetEpoch(), Storage: m.GetStorage(), Program: req.GetProgram(),
					Reservation: req.GetReservation(), Turn: req.GetTurn(), RetainMs: req.GetRetainMs(),
				})
				return r, r.GetStatus(), err
			},
			func(*fleetpb.SettleReply) {})
		if got == reached {
			return nil
		}
		if got == expired || !again(ctx) {
			return &UnavailableError{Reason: reason, Epoch: view.GetEpoch()}
		}
	}
}
