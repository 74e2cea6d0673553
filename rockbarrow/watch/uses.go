// SPDX-License-Identifier: MIT

package watch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// EndpointUse counts the sender's calls at one endpoint since the endpoint became known.
type EndpointUse struct {
	Life incarnation.ID
	// Running calls are in progress; Answered and Failed have ended.
	Running, Answered, Failed uint64
	// Lost counts calls and connections that ended without an answer.
	Lost uint64
	// DecodedTokens were received after the first events of completed streams, within DecodeMicros.
	DecodedTokens, DecodeMicros uint64
}

// reportedUses is what has been reported to control instances. Each call is
// reported to one of them, which relays it.
type reportedUses map[incarnation.ID]EndpointUse

// delta returns the changes since r, and the uses that will have been reported with them.
func (r reportedUses) delta(uses []EndpointUse) ([]*fleetpb.EndpointUse, reportedUses) {
	var out []*fleetpb.EndpointUse
	next := make(reportedUses, len(uses))
	for _, u := range uses {
		next[u.Life] = u
		before := r.lookup(u.Life)
		if before.Answered > u.Answered || before.Failed > u.Failed || before.Lost > u.Lost ||
			before.DecodedTokens > u.DecodedTokens || before.DecodeMicros > u.DecodeMicros {
			// The endpoint's counters were reset.
			before = EndpointUse{}
		}
		n := &fleetpb.EndpointUse{
			Endpoint: u.Life.EndpointID, BornMs: u.Life.StartMS, Running: uint32(u.Running),
			Answered: uint32(u.Answered - before.Answered), Failed: uint32(u.Failed - before.Failed), Lost: uint32(u.Lost - before.Lost),
			DecodedTokens: uint32(u.DecodedTokens - before.DecodedTokens), DecodeUs: u.DecodeMicros - before.DecodeMicros,
		}
		if n.Running > 0 || n.Answered > 0 || n.Failed > 0 || n.Lost > 0 || n.DecodedTokens > 0 || n.DecodeUs > 0 {
			out = append(out, n)
		}
	}
	return out, next
}

// lookup returns the uses reported for an endpoint's life, or those from before its start time was known.
func (r reportedUses) lookup(l incarnation.ID) EndpointUse {
	if u, ok := r[l]; ok {
		return u
	}
	return r[incarnation.ID{EndpointID: l.EndpointID}]
}

// lastReported returns the uses reported so far.
func (c *Client) lastReported() reportedUses {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported
}

// setReported records the uses reported so far.
func (c *Client) setReported(uses reportedUses) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = uses
}

// primary returns the control instance that delivers updates and the loads of
// other entry instances. It prefers one that reaches a majority of the voters, then the
// sender's failure domain, as traffic between domains is costly, and then the lowest
// rank, which spreads the senders.
func (c *Client) primary(now time.Time) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *target
	for _, t := range c.targets {
		if t.answered && now.Sub(t.lastAnswer) < unreachableAfter && (best == nil || c.isPreferred(t, best)) {
			best = t
		}
	}
	return best
}

func (c *Client) isPreferred(t, o *target) bool {
	if majority := t.reach.GetMajority(); majority != o.reach.GetMajority() {
		return majority
	}
	if local := c.isLocal(t); local != c.isLocal(o) {
		return local
	}
	return t.rank < o.rank
}

// rankOf returns the rank of a control instance, which differs between senders.
func (c *Client) rankOf(address string) uint64 {
	return xxhash.Sum64String(c.Self.GetInstance() + "\x00" + address)
}
