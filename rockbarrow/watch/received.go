// SPDX-License-Identifier: MIT

package watch

import (
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/schema/fleetpb"
)

// ListSnapshot is a list of endpoints with the time at which it was last confirmed.
type ListSnapshot struct {
	list *catalog.List
	at   time.Time
}

// List returns the list, or nil if s is nil.
func (s *ListSnapshot) List() *fleetpb.EndpointList {
	return s.Version().Proto()
}

// Version returns the list with its checksum, or nil if s is nil.
func (s *ListSnapshot) Version() *catalog.List {
	if s == nil {
		return nil
	}
	return s.list
}

// ConfirmedAt returns when the list was last known to be current.
func (s *ListSnapshot) ConfirmedAt() time.Time { return s.at }

// UpdateState replaces the current state if s is newer, and reports whether it did.
func (c *Client) UpdateState(s *fleetpb.State) bool {
	for {
		old := c.state.Load()
		if old != nil && s.GetNumber() <= old.GetNumber() {
			return false
		}
		if c.state.CompareAndSwap(old, s) {
			c.Documents.AddState(s)
			c.Log.WithFields(logrus.Fields{
				"state": s.GetNumber(), "config_version": s.GetConfiguration().GetVersion(),
				"view": s.GetView().GetEpoch(), "stores": len(s.GetView().GetMembers()),
			}).Info("a newer state is in force")
			c.notifyChange()
			return true
		}
	}
}

// UpdateList replaces the current list if l is newer. For the current list it only
// advances the confirmation time; older lists are ignored. It does not modify l.
func (c *Client) UpdateList(l *fleetpb.EndpointList, at time.Time) {
	known := c.list.Load()
	if known != nil && l.GetNumber() == known.list.Number() {
		c.UpdateListVersion(known.list, at)
		return
	}
	c.UpdateListVersion(catalog.New(l).ShareEndpoints(known.Version()), at)
}

// UpdateListVersion is like UpdateList for a list whose checksum is known.
func (c *Client) UpdateListVersion(l *catalog.List, at time.Time) {
	for {
		old := c.list.Load()
		next := &ListSnapshot{list: l, at: at}
		if old != nil && l.Number() <= old.list.Number() {
			if l.Number() < old.list.Number() || !at.After(old.at) {
				return
			}
			next.list = old.list
		}
		if !c.list.CompareAndSwap(old, next) {
			continue
		}
		if old == nil || next.list != old.list {
			c.Log.WithFields(logrus.Fields{"list": l.Number(), "endpoints": len(l.Proto().GetEndpoints())}).
				Info("a newer list of endpoints is in force")
			c.notifyChange()
		}
		return
	}
}

func (c *Client) notifyChange() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// ApplyReply applies a reply's state and its counts of entry instances.
func (c *Client) ApplyReply(r *fleetpb.WatchReply) {
	c.entryCount.Store(max(r.GetEntries(), 1))
	if counts := r.GetEntryDomains(); len(counts) > 0 {
		c.entryDomains.Store(&counts)
	}
	if r.GetState() != nil {
		c.UpdateState(r.GetState())
	}
}

// applyList applies a newer list, or a newer confirmation time of the current one.
func (c *Client) applyList(r *fleetpb.WatchReply, list *catalog.List, by time.Time) {
	if !r.GetListKnown() {
		return
	}
	at := by.Add(-time.Duration(r.GetListAgeMs()) * time.Millisecond)
	if list != nil {
		c.UpdateListVersion(list, at)
		return
	}
	// The age may belong to another list.
	if known := c.list.Load(); known != nil && known.list.Number() == r.GetListNumber() {
		c.UpdateListVersion(known.list, at)
	}
}
