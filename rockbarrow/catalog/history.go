// SPDX-License-Identifier: MIT

package catalog

import (
	"sync"

	"rockbarrow.dev/schema/fleetpb"
)

// remembered is how many versions a history keeps for receivers that lag. They share most of their endpoints.
const remembered = 16

// History remembers the newest versions and makes each change between them once, however many receivers need it. The
// zero value is ready.
type History struct {
	mu sync.Mutex
	// lists are in the order in which they came, the newest last.
	lists []*List
	// changes lead to the newest list, by the checksum of their base; whole is that list by itself.
	changes map[uint64]*fleetpb.ListChange
	whole   *fleetpb.ListChange
}

// Add makes a list the newest.
func (h *History) Add(l *List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(l)
}

// add makes a list the newest; the caller holds mu.
func (h *History) add(l *List) {
	if n := len(h.lists); n > 0 && h.lists[n-1] == l {
		return
	}
	h.lists = append(h.lists, l)
	if len(h.lists) > remembered {
		h.lists = append([]*List(nil), h.lists[len(h.lists)-remembered:]...)
	}
	h.changes, h.whole = map[uint64]*fleetpb.ListChange{}, nil
}

// Change returns what leads a receiver to l, which becomes the newest list: from the one with the checksum that it holds,
// or from nothing.
func (h *History) ChangeFrom(held uint64, l *List) (*fleetpb.ListChange, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(l)
	if c := h.changes[held]; c != nil {
		return c, nil
	}
	for _, base := range h.lists {
		if held != 0 && base.Checksum() == held {
			c := Diff(base, l)
			h.changes[held] = c
			return c, nil
		}
	}
	if h.whole == nil {
		whole, err := Snapshot(l)
		if err != nil {
			return nil, err
		}
		h.whole = whole
	}
	return h.whole, nil
}
