// SPDX-License-Identifier: MIT

package watch

import (
	"cmp"
	"slices"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// followed is how many control instances an entry or store instance calls, and followedNear how many of them
	// are in its own failure domain if there are as many. Control instances relay to each other what they hear.
	followed     = 3
	followedNear = 2
	// chooseEvery is how often control instances that did not answer are considered again.
	chooseEvery = time.Second
	// firstAvoidance is how long an instance that does not answer gives way to others that may. It doubles up to
	// longestAvoidance.
	firstAvoidance   = 2 * time.Second
	longestAvoidance = 16 * time.Second
)

// follow begins calls to the control instances that are to be followed, and ends the others. The caller holds mu.
func (c *Client) follow(now time.Time) {
	if c.ctx == nil {
		return
	}
	wanted := c.preferred(now)
	for _, t := range c.targets {
		t.wanted = slices.Contains(wanted, t)
		if t.wanted && !t.running {
			t.running, t.answered, t.lastAnswer, t.state, t.list = true, false, now, 0, 0
			go t.loop(c.ctx)
		}
		t.answered = t.answered && t.wanted
	}
}

// preferred returns the control instances to follow; the caller holds mu.
func (c *Client) preferred(now time.Time) []*target {
	all := make([]*target, 0, len(c.targets))
	for _, t := range c.targets {
		all = append(all, t)
	}
	if c.followsAll(now) {
		return all
	}
	slices.SortFunc(all, func(a, b *target) int {
		if order := cmp.Compare(a.avoidance(now), b.avoidance(now)); order != 0 {
			return order
		}
		return cmp.Compare(a.rank, b.rank)
	})
	near := c.take(all, followedNear, func(t *target) bool { return c.isNear(t) && t.avoidance(now) == 0 })
	others := c.take(all, followed-len(near), func(t *target) bool { return !slices.Contains(near, t) && !c.isNear(t) })
	out := append(near, others...)
	return append(out, c.take(all, followed-len(out), func(t *target) bool { return !slices.Contains(out, t) })...)
}

// take returns the first n targets that fit.
func (c *Client) take(from []*target, n int, fits func(*target) bool) []*target {
	var out []*target
	for _, t := range from {
		if len(out) < n && fits(t) {
			out = append(out, t)
		}
	}
	return out
}

func (c *Client) isNear(t *target) bool {
	return t.member != nil && t.member.GetFailureDomain() == c.Self.GetFailureDomain()
}

// followsAll reports whether all control instances are to be called; the caller holds mu.
func (c *Client) followsAll(now time.Time) bool {
	if c.Role == fleetpb.Role_ROLE_CONTROL || c.FollowAll != nil && c.FollowAll() {
		return true
	}
	for _, t := range c.targets {
		if t.isFresh(now, silentAfter) && !t.reach.GetAllRelay() {
			return true
		}
	}
	return false
}

// AllRelay reports whether all control instances that have answered lately relay what their followers report.
func (c *Client) AllRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, t := range c.targets {
		if t.isFresh(now, silentAfter) && t.reach == nil {
			return false
		}
	}
	return true
}

// avoidance is how much longer a target gives way to others, zero if it does not.
func (t *target) avoidance(now time.Time) time.Duration { return max(0, t.avoidUntil.Sub(now)) }

// avoid lets a target that does not answer give way; the caller holds the client's mu.
func (t *target) avoid(now time.Time) {
	t.avoided = min(max(firstAvoidance, 2*t.avoided), longestAvoidance)
	t.avoidUntil = now.Add(t.avoided)
}

// isFresh reports whether a target has answered within a time; the caller holds the client's mu.
func (t *target) isFresh(now time.Time, within time.Duration) bool {
	return t.answered && now.Sub(t.lastAnswer) < within
}

// hasAnswered reports whether the target has answered this loop.
func (t *target) hasAnswered() bool {
	t.client.mu.Lock()
	defer t.client.mu.Unlock()
	return t.answered
}

// isFollowed reports whether the target's loop is to go on. If not, another may begin.
func (t *target) isFollowed() bool {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	t.running = t.wanted
	return t.wanted
}

// note adds a control instance if it is a new one, and reports whether it is; the caller holds mu.
func (c *Client) note(address string, m *fleetpb.Member) bool {
	if address == c.Self.GetAddress() || c.ctx == nil {
		return false
	}
	if c.targets == nil {
		c.targets = map[string]*target{}
	}
	now := time.Now()
	if t := c.targets[address]; t != nil {
		t.listed = now
		if t.member == nil && m != nil {
			t.member = m
			return true
		}
		return false
	}
	c.targets[address] = &target{client: c, address: address, member: m, listed: now, rank: c.rankOf(address)}
	return true
}

// forget drops the control instances that were taken away: no seeds, and neither heard nor told of for long. The caller
// holds mu.
func (c *Client) forget(now time.Time) {
	for address, t := range c.targets {
		if slices.Contains(c.Seeds, address) || now.Sub(t.listed) < forgetAfter || now.Sub(t.lastAnswer) < forgetAfter {
			continue
		}
		t.wanted = false
		delete(c.targets, address)
	}
}
