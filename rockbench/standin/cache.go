// SPDX-License-Identifier: MIT

package standin

import (
	"sort"
	"sync"

	"rockbarrow.dev/rockbarrow/placement"
)

// cache holds prefixes by the keys of their boundaries; least recently used ones
// go first, but what a run holds stays.
type cache struct {
	capacity int
	used     int
	clock    int
	nodes    map[uint64]*node
}

type node struct {
	tokens int
	used   int
	holds  map[string]bool
}

// use returns how many tokens of a prompt are cached, in one piece from the
// start.
func (c *cache) use(bounds []placement.Boundary) int {
	cached := 0
	for i, b := range bounds {
		n := c.nodes[b.Key]
		if n == nil {
			break
		}
		c.clock++
		// Parents count as used later than children, so that children go first.
		n.used = c.clock + len(bounds) - i
		cached = int(b.Tokens)
	}
	c.clock += len(bounds)
	return cached
}

// put stores boundaries and returns the keys that came and went.
func (c *cache) put(bounds []placement.Boundary, hold string) (stored, evicted []uint64) {
	if c.nodes == nil {
		c.nodes = map[uint64]*node{}
	}
	before := int64(0)
	for i, b := range bounds {
		n := c.nodes[b.Key]
		if n == nil {
			n = &node{tokens: int(b.Tokens - before), holds: map[string]bool{}}
			c.nodes[b.Key] = n
			c.used += n.tokens
			stored = append(stored, b.Key)
		}
		n.used = c.clock + len(bounds) - i
		if hold != "" {
			n.holds[hold] = true
		}
		before = b.Tokens
	}
	c.clock += len(bounds) + 1
	return stored, c.evict()
}

// evict drops what was used longest ago until the rest fits: first what no run
// holds, and held prefixes only when those alone are too many.
func (c *cache) evict() []uint64 {
	if c.used <= c.capacity {
		return nil
	}
	keys := make([]uint64, 0, len(c.nodes))
	for k := range c.nodes {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := c.nodes[keys[i]], c.nodes[keys[j]]
		if held := len(a.holds) > 0; held != (len(b.holds) > 0) {
			return !held
		}
		return a.used < b.used || a.used == b.used && keys[i] < keys[j]
	})
	var out []uint64
	for _, k := range keys {
		if c.used <= c.capacity {
			break
		}
		c.used -= c.nodes[k].tokens
		delete(c.nodes, k)
		out = append(out, k)
	}
	return out
}

// release frees what a run holds and reports whether it held anything.
func (c *cache) release(run string) bool {
	had := false
	for _, n := range c.nodes {
		had = had || n.holds[run]
		delete(n.holds, run)
	}
	return had
}

func (c *cache) heldRuns() []string {
	seen := map[string]bool{}
	for _, n := range c.nodes {
		for run := range n.holds {
			seen[run] = true
		}
	}
	var out []string
	for run := range seen {
		out = append(out, run)
	}
	sort.Strings(out)
	return out
}

func (c *cache) pinnedTokens() int {
	sum := 0
	for _, n := range c.nodes {
		if len(n.holds) > 0 {
			sum += n.tokens
		}
	}
	return sum
}

// Ledger sees all engines at once and counts wasted work: prompt tokens that
// were computed again while some engine held them, and tokens that were evicted
// before a return that came.
type Ledger struct {
	mu      sync.Mutex
	holders map[uint64]map[string]bool
	// lost are prefixes that were evicted everywhere after use.
	lost                       map[uint64]bool
	prompt, cached, recomputed int64
	returned                   int64
}

// Waste is what a ledger counted, in tokens.
type Waste struct {
	Prompt, Cached     int64
	HeldElsewhere      int64
	EvictedBeforeReuse int64
}

// Waste returns the counts so far.
func (l *Ledger) Waste() Waste {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Waste{Prompt: l.prompt, Cached: l.cached, HeldElsewhere: l.recomputed, EvictedBeforeReuse: l.returned}
}

func (l *Ledger) computed(name string, bounds []placement.Boundary, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prompt += bounds[len(bounds)-1].Tokens
	l.cached += int64(cached)
	before := int64(0)
	for _, b := range bounds {
		size := b.Tokens - before
		before = b.Tokens
		if b.Tokens <= int64(cached) {
			continue
		}
		switch {
		case len(l.holders[b.Key]) > 0:
			l.recomputed += size
		case l.lost[b.Key]:
			l.returned += size
		}
	}
}

func (l *Ledger) stored(name string, key uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders == nil {
		l.holders = map[uint64]map[string]bool{}
		l.lost = map[uint64]bool{}
	}
	if l.holders[key] == nil {
		l.holders[key] = map[string]bool{}
	}
	l.holders[key][name] = true
	delete(l.lost, key)
}

func (l *Ledger) evicted(name string, key uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.holders[key], name)
	if len(l.holders[key]) == 0 {
		l.lost[key] = true
	}
}

func (l *Ledger) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holders {
		delete(h, name)
	}
}
