// SPDX-License-Identifier: MIT

package watch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/schema/fleetpb"
)

// EndpointUse is the sender's calls at one endpoint since the sender knows it.
type EndpointUse struct {
	Life life.Life
	// Running are under way; Answered and Failed have ended.
	Running, Answered, Failed uint64
	// Lost are calls and connections that ended by no answer.
	Lost uint64
}

// reported is what control instances have been told of calls: one of them hears of every call once, and relays it.
type reported map[life.Life]EndpointUse

// since returns what is new about uses, and what will have been reported with it.
func (r reported) since(uses []EndpointUse) ([]*fleetpb.EndpointUse, reported) {
	var out []*fleetpb.EndpointUse
	next := make(reported, len(uses))
	for _, u := range uses {
		next[u.Life] = u
		before := r.of(u.Life)
		if before.Answered > u.Answered || before.Failed > u.Failed || before.Lost > u.Lost {
			// The endpoint's counts began anew.
			before = EndpointUse{}
		}
		n := &fleetpb.EndpointUse{
			Endpoint: u.Life.ID, BornMs: u.Life.BornMS, Running: uint32(u.Running),
			Answered: uint32(u.Answered - before.Answered), Failed: uint32(u.Failed - before.Failed), Lost: uint32(u.Lost - before.Lost),
		}
		if n.Running > 0 || n.Answered > 0 || n.Failed > 0 || n.Lost > 0 {
			out = append(out, n)
		}
	}
	return out, next
}

// of returns what was told of a life, also while its start was not known yet.
func (r reported) of(l life.Life) EndpointUse {
	if u, ok := r[l]; ok {
		return u
	}
	return r[life.Life{ID: l.ID}]
}

// reportedUses returns what has been reported.
func (c *Client) reportedUses() reported {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uses
}

// usesReported notes what has been reported.
func (c *Client) usesReported(uses reported) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses = uses
}

// primary is the control instance that tells news at once, and of the calls of other
// entry instances: one that answers, in the own failure domain if there is one, since
// bytes between domains have a price. The others only tell how new their knowledge is,
// and are asked for what the primary lacks. Instances that have the choice spread.
func (c *Client) primary(now time.Time) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *target
	for _, t := range c.targets {
		if t.answered && now.Sub(t.lastAnswer) < silentAfter && (best == nil || c.isPreferred(t, best)) {
			best = t
		}
	}
	return best
}

func (c *Client) isPreferred(t, o *target) bool {
	if near := c.isNear(t); near != c.isNear(o) {
		return near
	}
	return t.rank < o.rank
}

// rankOf gives each instance an order of its own of the control instances.
func (c *Client) rankOf(address string) uint64 {
	return xxhash.Sum64String(c.Self.GetInstance() + "\x00" + address)
}
