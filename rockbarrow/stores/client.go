// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxBudgetAttempts is the number of attempts for a turn that exceeds the
	// budget only because of turns in progress: concurrent reservations may each
	// see the other and both fail.
	maxBudgetAttempts = 3
	// budgetRetryDelay is the delay between these attempts. A reservation takes
	// about 5 ms.
	budgetRetryDelay = 25 * time.Millisecond
	// settleTimeout is how long a settlement in the background is tried: longer than the stores of a program are away in planned
	// stops, with a grace period of some ten seconds, or until others take their place. settleRetryDelay is the delay before the second
	// try, and doubles, as stores that are reached may refuse all. Tries after the first take unresponsiveAfter at the most.
	settleTimeout    = 30 * time.Second
	settleRetryDelay = 400 * time.Millisecond
)

// Client calls store instances. The exported fields must be set before the first call.
type Client struct {
	Watch *watch.Client
	Pool  *dial.Pool
	// Domain is the failure domain of this instance; its stores are preferred.
	Domain string
	// TurnCache holds recently used turns.
	TurnCache *Cache
	// HedgeDelay is how long to wait for the initial quorum before the remaining
	// stores are called too; zero means the default.
	HedgeDelay time.Duration

	health      health
	streams     callStreams
	sampleCache sampleCache
	spent       spentPrograms
	large       largePrograms
	// settling are the settlements in the background.
	settling sync.WaitGroup
}

// Turn describes a turn to reserve tokens for.
type Turn struct {
	// ID identifies the turn, Program owns the budget that it spends, and
	// Customer owns the program, or is "".
	ID, Program, Customer string
	// reservation is the id of the reservation. A released reservation stays
	// settled, so each attempt uses a new id.
	reservation string
	// Previous is the id of the turn that it continues, or "".
	Previous string
	// MaxTokens is the number of tokens that it may generate.
	MaxTokens uint64
	// Budget limits the tokens of all turns of the program; zero means unlimited.
	Budget uint64
	// Retention is how long the stores keep the program's records.
	Retention time.Duration
}

// Grant is a successful reservation and the context for running its turn.
type Grant struct {
	// turn includes the id of the reservation.
	turn Turn
	// history holds the preceding turns, oldest first.
	history []*fleetpb.Turn
	home    string
	// endpoint served the program's most recent settled turn, as reported by the store
	// that replied last among those that named one; its id is empty if none did.
	endpoint incarnation.ID
	// storedBy are the replies that made the turn durable, empty until it is settled with its record.
	storedBy Replies
}

// StoredBy returns the replies of the stores that acknowledged the turn's record, empty until [Client.Settle] has stored it.
func (g *Grant) StoredBy() Replies { return g.storedBy }

// History returns the preceding turns, oldest first.
func (g *Grant) History() []*fleetpb.Turn { return g.history }

// Endpoint returns the endpoint that served the program's most recent settled
// turn, as reported by the store that replied last among those that named one.
// Its id is empty if none did.
func (g *Grant) Endpoint() incarnation.ID { return g.endpoint }

// Home returns the program whose stores keep the chain of turns.
func (g *Grant) Home() string { return g.home }

// Reserve durably reserves the turn's maximum tokens and returns its history.
// After an error the reservation is released in the background.
func (c *Client) Reserve(ctx context.Context, t Turn) (*Grant, error) {
	if err := c.spent.check(time.Now(), t); err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		t.reservation = fmt.Sprintf("%s/%d", t.ID, attempt)
		g, err := c.reserve(ctx, t)
		var over *OverBudgetError
		if !errors.As(err, &over) || attempt == maxBudgetAttempts {
			return g, err
		}
		if over.isFinal() {
			c.spent.record(time.Now(), t.Program, over.Settled, t.Retention)
			return nil, err
		}
		if !wait.For(ctx, budgetRetryDelay) {
			return nil, err
		}
	}
}

func (c *Client) reserve(ctx context.Context, t Turn) (*Grant, error) {
	g := &Grant{turn: t, home: t.Program}
	seen := newTurnIndex(c.TurnCache)
	used, settled, err := c.reserveTokens(ctx, g, seen)
	if err != nil {
		c.release(ctx, t)
		return nil, err
	}
	if t.Budget > 0 && used+t.MaxTokens > t.Budget {
		c.release(ctx, t)
		return nil, &OverBudgetError{Budget: t.Budget, Used: used, MaxTokens: t.MaxTokens, Settled: settled}
	}
	if t.Previous == "" {
		return g, nil
	}
	history, err := c.history(ctx, t, seen)
	if err != nil {
		c.release(ctx, t)
		return nil, err
	}
	g.history, g.home = history, history[0].GetHome()
	return g, nil
}

// reserveTokens writes the reservation to a quorum. It returns the tokens used or
// reserved by the program's other turns, and the settled part of them.
func (c *Client) reserveTokens(ctx context.Context, g *Grant, seen *turnIndex) (used, settled uint64, err error) {
	t := g.turn
	var evidence callEvidence
	for {
		view := c.Watch.State().GetView()
		tracker := ledger.NewQuorumTracker(view, t.Program)
		var total ledger.ReservationSet
		needChain := t.Previous != "" && seen.get(t.Previous) == nil
		members, first := c.initialQuorum(view, tracker.Members())
		op := &reservation{turn: t, epoch: view.GetEpoch(), large: c.large.has(t.Program)}
		if needChain {
			op.chainFrom = c.preferredMember(members)
		}
		outcome, reason := callQuorum(ctx, c, tracker, members, first, func() bool { return tracker.HasWriteQuorum() && tracker.HasReadQuorum() },
			func() bool { return c.quorumLost(t.Program) },
			storeRequest[*fleetpb.ReserveReply]{unary: op.unary, call: op.call, reply: op.reply},
			&evidence,
			func(r *fleetpb.ReserveReply) {
				c.large.record(t.Program, r)
				total.Merge(r.GetReservations())
				seen.add(r.GetChain())
				if r.GetEndpoint() != "" {
					g.endpoint = incarnation.ID{EndpointID: r.GetEndpoint(), StartMS: r.GetBornMs()}
				}
			})
		if outcome == quorumReached {
			return total.TokensExcept(t.reservation), total.SettledTokens(), nil
		}
		if outcome == aborted || !waitRetry(ctx) {
			return 0, 0, evidence.unavailable(CallReserve, reason, view, tracker)
		}
	}
}

// initialQuorum returns the stores of a program, those of the local failure
// domain first, and how many of them to call initially. That is a quorum if all
// of them are reachable and no view change is under way, and all of them
// otherwise. Stores that miss the reservation receive it with the settlement,
// which is sent to all.
func (c *Client) initialQuorum(v *fleetpb.View, members []*fleetpb.Member) ([]*fleetpb.Member, int) {
	if len(members) == 0 || len(v.GetPrior()) > 0 {
		return members, len(members)
	}
	if !c.health.allHealthy(members) {
		domains := c.reachableDomains(v)
		if slices.ContainsFunc(members, func(m *fleetpb.Member) bool { return !c.isReachable(m, domains) }) {
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

// preferredMember returns a store in the local failure domain, or else the first store.
func (c *Client) preferredMember(members []*fleetpb.Member) *fleetpb.Member {
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

// Release returns the reservation of a turn that certainly did not run. It works
// in the background; until it completes, the tokens count as used.
func (c *Client) Release(ctx context.Context, g *Grant) { c.release(ctx, g.turn) }

func (c *Client) release(ctx context.Context, t Turn) { c.settleAsync(ctx, t, 0, incarnation.ID{}) }

// SettleAsync records in the background the tokens spent by a turn that is not
// stored itself, and the endpoint that served it. Until it completes, the
// reservation counts with its maximum.
func (c *Client) SettleAsync(ctx context.Context, g *Grant, spent uint64, endpoint incarnation.ID) {
	c.settleAsync(ctx, g.turn, spent, endpoint)
}

func (c *Client) settleAsync(ctx context.Context, t Turn, spent uint64, endpoint incarnation.ID) {
	s := &backgroundSettlement{client: c, turn: t, spent: spent, endpoint: endpoint}
	c.settling.Go(func() { s.run(context.WithoutCancel(ctx)) })
}

// AwaitSettled waits for the settlements in the background. None may begin meanwhile.
func (c *Client) AwaitSettled() { c.settling.Wait() }

// backgroundSettlement writes a settlement without a caller waiting for it.
type backgroundSettlement struct {
	client   *Client
	turn     Turn
	spent    uint64
	endpoint incarnation.ID
}

func (s *backgroundSettlement) run(ctx context.Context) {
	until, delay := time.Now().Add(settleTimeout), settleRetryDelay
	for err := s.try(ctx, callTimeout); err != nil; err = s.try(ctx, unresponsiveAfter) {
		ok := s.awaitStores(ctx, delay, until)
		delay *= 2
		if !ok {
			s.client.Watch.Log.WithError(err).WithField("request", s.turn.ID).
				Warn("reservation was not settled and keeps counting with its maximum")
			return
		}
	}
}

func (s *backgroundSettlement) try(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := s.client.writeToQuorum(ctx, s.turn.Program, s.turn.settleRequest(s.spent, s.endpoint))
	return err
}

// awaitStores waits for a delay, and then until the program's stores are reached, which probes find out. It returns false at a time.
func (s *backgroundSettlement) awaitStores(ctx context.Context, delay time.Duration, until time.Time) bool {
	for wait.For(ctx, delay) && time.Now().Before(until) {
		if s.client.ProgramReachable(s.turn.Program) {
			return true
		}
		delay = probeInterval
	}
	return false
}

// settleRequest returns the request that settles the turn's reservation.
func (t Turn) settleRequest(spent uint64, endpoint incarnation.ID) *fleetpb.SettleRequest {
	return &fleetpb.SettleRequest{
		Program:     t.Program,
		Reservation: &fleetpb.Reservation{Turn: t.reservation, Tokens: spent, Settled: true, Endpoint: endpoint.EndpointID, BornMs: endpoint.StartMS},
		RetainMs:    uint64(t.Retention.Milliseconds()),
	}
}

// Settle durably records the tokens spent by a turn and, if the answer was
// complete, the turn itself.
func (c *Client) Settle(ctx context.Context, g *Grant, spent uint64, done *fleetpb.Turn) error {
	t := g.turn
	req := t.settleRequest(spent, incarnation.ID{EndpointID: done.GetEndpoint(), StartMS: done.GetBornMs()})
	var storedBy Replies
	if done != nil && done.GetHome() != t.Program {
		// The chain belongs to an earlier program and is kept by its stores.
		replies, err := c.writeToQuorum(ctx, done.GetHome(), &fleetpb.SettleRequest{Turn: done})
		if err != nil {
			return err
		}
		storedBy = replies
	} else {
		req.Turn = done
	}
	replies, err := c.writeToQuorum(ctx, t.Program, req)
	if err != nil {
		return err
	}
	if req.GetTurn() != nil {
		storedBy = replies
	}
	g.storedBy = storedBy
	if done != nil {
		c.TurnCache.Add(done)
	}
	return nil
}

// writeToQuorum writes a record to a quorum of the program's group, and returns its replies.
func (c *Client) writeToQuorum(ctx context.Context, program string, req *fleetpb.SettleRequest) (Replies, error) {
	var evidence callEvidence
	for {
		view := c.Watch.State().GetView()
		tracker := ledger.NewQuorumTracker(view, program)
		members := tracker.Members()
		op := &settlement{request: req, epoch: view.GetEpoch()}
		outcome, reason := callQuorum(ctx, c, tracker, members, len(members), tracker.HasWriteQuorum, nil,
			storeRequest[*fleetpb.SettleReply]{unary: op.unary, call: op.call, reply: op.reply},
			&evidence,
			func(*fleetpb.SettleReply) {})
		if outcome == quorumReached {
			return newReplies(view, tracker), nil
		}
		if outcome == aborted || !waitRetry(ctx) {
			return Replies{}, evidence.unavailable(CallSettle, reason, view, tracker)
		}
	}
}
