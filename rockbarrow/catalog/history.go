// SPDX-License-Identifier: MIT

package catalog

import (
	"sync"

	"rockbarrow.dev/schema/fleetpb"
)

// maxVersions is the number of versions kept for receivers that lag behind. They share most of
// their endpoints.
const maxVersions = 16

// History keeps the newest versions and computes each change between them once for all receivers.
// The zero value is ready to use.
type History struct {
	mu sync.Mutex
	// lists are in the order in which they were added.
	lists []*List
	// diffs are the changes to the newest list by the checksums of their bases; snapshot is the
	// newest list as a whole.
	diffs    map[uint64]*fleetpb.ListChange
	snapshot *fleetpb.ListChange
}

// Add makes l the newest version.
func (h *History) Add(l *List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(l)
}

// add makes l the newest version; the caller holds mu.
func (h *History) add(l *List) {
	if n := len(h.lists); n > 0 && h.lists[n-1] == l {
		return
	}
	h.lists = append(h.lists, l)
	if len(h.lists) > maxVersions {
		h.lists = append([]*List(nil), h.lists[len(h.lists)-maxVersions:]...)
	}
	h.diffs, h.snapshot = map[uint64]*fleetpb.ListChange{}, nil
}

// ChangeFrom makes l the newest version and returns the change to it from the list with the given
// checksum, or a snapshot if that list is not known.
func (h *History) ChangeFrom(held uint64, l *List) (*fleetpb.ListChange, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(l)
	if c := h.diffs[held]; c != nil {
		return c, nil
	}
	for _, base := range h.lists {
		if held != 0 && base.Checksum() == held {
			c := Diff(base, l)
			h.diffs[held] = c
			return c, nil
		}
	}
	if h.snapshot == nil {
		whole, err := Snapshot(l)
		if err != nil {
			return nil, err
		}
		h.snapshot = whole
	}
	return h.snapshot, nil
}
