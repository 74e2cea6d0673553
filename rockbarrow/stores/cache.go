// SPDX-License-Identifier: MIT

package stores

import (
	"container/list"
	"sync"

	"rockbarrow.dev/schema/fleetpb"
)

// turnOverhead is the estimated memory of a cached turn beyond its input and output, in bytes.
const turnOverhead = 400

// Cache is an LRU cache of turns, bounded by their size. Turns are immutable,
// so entries are never invalidated.
type Cache struct {
	// MaxBytes limits the estimated memory of the cached turns.
	MaxBytes int

	mu        sync.Mutex
	usedBytes int
	lru       list.List
	byID      map[string]*list.Element
}

// Get returns the turn with the given id, or nil if it is not cached.
func (c *Cache) Get(id string) *fleetpb.Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil
	}
	c.lru.MoveToFront(e)
	return e.Value.(*fleetpb.Turn)
}

// Add caches a turn and evicts the least recently used ones beyond MaxBytes.
func (c *Cache) Add(t *fleetpb.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[t.GetId()] != nil {
		return
	}
	if c.byID == nil {
		c.byID = map[string]*list.Element{}
	}
	c.byID[t.GetId()] = c.lru.PushFront(t)
	c.usedBytes += turnSize(t)
	for c.usedBytes > c.MaxBytes && c.lru.Len() > 1 {
		old := c.lru.Remove(c.lru.Back()).(*fleetpb.Turn)
		delete(c.byID, old.GetId())
		c.usedBytes -= turnSize(old)
	}
}

func turnSize(t *fleetpb.Turn) int { return len(t.GetInput()) + len(t.GetOutput()) + turnOverhead }
