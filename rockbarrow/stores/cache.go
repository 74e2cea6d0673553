// SPDX-License-Identifier: MIT

package stores

import (
	"container/list"
	"sync"

	"rockbarrow.dev/schema/fleetpb"
)

// turnOverhead is what a kept turn costs beside its texts, in bytes.
const turnOverhead = 400

// Cache keeps the turns seen lately, up to a number of bytes. Turns never
// change, so that what it returns is always right.
type Cache struct {
	// MaxBytes bounds the cache.
	MaxBytes int

	mu    sync.Mutex
	used  int
	order list.List
	byID  map[string]*list.Element
}

// Get returns a turn, or nil.
func (c *Cache) Get(id string) *fleetpb.Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*fleetpb.Turn)
}

// Add keeps a turn and drops those used the longest ago.
func (c *Cache) Add(t *fleetpb.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[t.GetId()] != nil {
		return
	}
	if c.byID == nil {
		c.byID = map[string]*list.Element{}
	}
	c.byID[t.GetId()] = c.order.PushFront(t)
	c.used += weigh(t)
	for c.used > c.MaxBytes && c.order.Len() > 1 {
		old := c.order.Remove(c.order.Back()).(*fleetpb.Turn)
		delete(c.byID, old.GetId())
		c.used -= weigh(old)
	}
}

func weigh(t *fleetpb.Turn) int { return len(t.GetInput()) + len(t.GetOutput()) + turnOverhead }
