// SPDX-License-Identifier: MIT

package watch

import (
	"cmp"
	"slices"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxFollowed is how many control instances an entry or store instance follows,
	// and maxFollowedLocal how many of them are in its own failure domain if
	// available. Control instances relay reports to each other.
	maxFollowed      = 3
	maxFollowedLocal = 2
	// selectInterval is how often the choice of followed control instances is revised.
	selectInterval = time.Second
	// minBackoff is how long other instances are preferred to one that does not
	// answer. It doubles up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = 16 * time.Second
)

// updateFollowed starts loops for the control instances to follow and ends the others. c.mu must be held.
func (c *Client) updateFollowed(now time.Time) {
	if c.ctx == nil {
		return
	}
	wanted := c.selectTargets(now)
	for _, t := range c.targets {
		t.wanted = slices.Contains(wanted, t)
		if t.wanted && !t.running {
			t.running, t.answered, t.lastAnswer, t.stateNumber, t.listNumber = true, false, now, 0, 0
			go t.loop(c.ctx)
		}
		t.answered = t.answered && t.wanted
	}
}

// selectTargets returns the control instances to follow. c.mu must be held.
func (c *Client) selectTargets(now time.Time) []*target {
	all := make([]*target, 0, len(c.targets))
	for _, t := range c.targets {
		all = append(all, t)
	}
	if c.mustFollowAll(now) {
		return all
	}
	slices.SortFunc(all, func(a, b *target) int {
		if order := cmp.Compare(a.backoffRemaining(now), b.backoffRemaining(now)); order != 0 {
			return order
		}
		return cmp.Compare(a.rank, b.rank)
	})
	local := c.firstMatching(all, maxFollowedLocal, func(t *target) bool { return c.isLocal(t) && t.backoffRemaining(now) == 0 })
	others := c.firstMatching(all, maxFollowed-len(local), func(t *target) bool { return !slices.Contains(local, t) && !c.isLocal(t) })
	out := append(local, others...)
	return append(out, c.firstMatching(all, maxFollowed-len(out), func(t *target) bool { return !slices.Contains(out, t) })...)
}

// firstMatching returns the first n targets for which fits returns true.
func (c *Client) firstMatching(from []*target, n int, fits func(*target) bool) []*target {
	var out []*target
	for _, t := range from {
		if len(out) < n && fits(t) {
			out = append(out, t)
		}
	}
	return out
}

func (c *Client) isLocal(t *target) bool {
	return t.member != nil && t.member.GetFailureDomain() == c.Self.GetFailureDomain()
}

// mustFollowAll reports whether to follow all control instances. c.mu must be held.
func (c *Client) mustFollowAll(now time.Time) bool {
	if c.Role == fleetpb.Role_ROLE_CONTROL || c.FollowAll != nil && c.FollowAll() {
		return true
	}
	for _, t := range c.targets {
		if t.answeredWithin(now, unreachableAfter) && !t.reach.GetAllRelay() {
			return true
		}
	}
	return false
}

// AllRelay reports whether all control instances that answered recently relay the reports of their followers.
func (c *Client) AllRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, t := range c.targets {
		if t.answeredWithin(now, unreachableAfter) && t.reach == nil {
			return false
		}
	}
	return true
}

// backoffRemaining returns how much longer other targets are preferred.
func (t *target) backoffRemaining(now time.Time) time.Duration {
	return max(0, t.backoffUntil.Sub(now))
}

// startBackoff makes other targets preferred for a while. The client's mu must be held.
func (t *target) startBackoff(now time.Time) {
	t.backoff = min(max(minBackoff, 2*t.backoff), maxBackoff)
	t.backoffUntil = now.Add(t.backoff)
}

// answeredWithin reports whether the target has answered within a duration. The client's mu must be held.
func (t *target) answeredWithin(now time.Time, within time.Duration) bool {
	return t.answered && now.Sub(t.lastAnswer) < within
}

// hasAnswered reports whether the target has answered since its loop started.
func (t *target) hasAnswered() bool {
	t.client.mu.Lock()
	defer t.client.mu.Unlock()
	return t.answered
}

// shouldContinue reports whether the target's loop must go on. If not, another loop may be started.
func (t *target) shouldContinue() bool {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	t.running = t.wanted
	return t.wanted
}

// upsertTarget adds a control instance or completes a known one, and reports
// whether it did either. c.mu must be held.
func (c *Client) upsertTarget(address string, m *fleetpb.Member) bool {
	if address == c.Self.GetAddress() || c.ctx == nil {
		return false
	}
	if c.targets == nil {
		c.targets = map[string]*target{}
	}
	now := time.Now()
	if t := c.targets[address]; t != nil {
		t.lastListed = now
		if t.member == nil && m != nil {
			t.member = m
			return true
		}
		return false
	}
	c.targets[address] = &target{client: c, address: address, member: m, lastListed: now, rank: c.rankOf(address)}
	return true
}

// expireTargets drops control instances that are not seeds and have neither
// answered nor been listed for expireAfter. c.mu must be held.
func (c *Client) expireTargets(now time.Time) {
	for address, t := range c.targets {
		if slices.Contains(c.Seeds, address) || now.Sub(t.lastListed) < expireAfter || now.Sub(t.lastAnswer) < expireAfter {
			continue
		}
		t.wanted = false
		delete(c.targets, address)
	}
}
