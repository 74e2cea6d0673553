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
	// minorityMemory is how long others are preferred to a control instance that reported no majority of the voters.
	minorityMemory = 16 * time.Second
	// rotateInterval is the time in which at most maxFollowed others are tried while no followed control instance reaches a
	// majority. A few such intervals are well within the time in which a change must be in force.
	rotateInterval = 250 * time.Millisecond
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
		if order := a.minorityReport(now).Compare(b.minorityReport(now)); order != 0 {
			return order
		}
		return cmp.Compare(a.rank, b.rank)
	})
	preferred := func(t *target) bool { return t.backoffRemaining(now) == 0 && t.minorityReport(now).IsZero() }
	local := c.firstMatching(all, maxFollowedLocal, func(t *target) bool { return c.isLocal(t) && preferred(t) })
	others := c.firstMatching(all, maxFollowed-len(local), func(t *target) bool { return !c.isLocal(t) && preferred(t) })
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

// minorityReport returns when the target reported that it reaches no majority of the voters, zero if it is to be preferred again.
func (t *target) minorityReport(now time.Time) time.Time {
	if now.Sub(t.minorityAt) >= minorityMemory {
		return time.Time{}
	}
	return t.minorityAt
}

// recordReach makes other control instances preferred to one that answers but reaches no majority of the voters: it may be cut
// off from those that learn of changes. While none of those followed reaches a majority, the others are tried in turn. The
// client's mu must be held.
func (t *target) recordReach(now time.Time) {
	c := t.client
	switch {
	case t.reach.GetMajority():
		t.minorityAt = time.Time{}
	case c.followsMajority(now):
		if t.minorityReport(now).IsZero() {
			t.minorityAt = now
		}
	case c.mayRotate(now):
		t.minorityAt = now
	}
}

// mayRotate reports whether a followed control instance may make room for another one now, and counts it. c.mu must be held.
func (c *Client) mayRotate(now time.Time) bool {
	if now.Sub(c.rotatedAt) >= rotateInterval {
		c.rotatedAt, c.rotated = now, 0
	}
	c.rotated++
	return c.rotated <= maxFollowed
}

// followsMajority reports whether a followed control instance reaches a majority of the voters. c.mu must be held.
func (c *Client) followsMajority(now time.Time) bool {
	for _, t := range c.targets {
		if t.wanted && t.answeredWithin(now, unreachableAfter) && t.reach.GetMajority() {
			return true
		}
	}
	return false
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
