// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// suspectCell is the name of the cell that holds suspects.
	suspectCell = "suspects"
	// maxSavedSuspects bounds the suspects on the disk, at some hundred bytes each. Those with the most ends are kept.
	maxSavedSuspects = 1024
	// saveTimeout bounds how long the report of an end waits for the disk, so that a slow one does not let the report fail.
	saveTimeout = 50 * time.Millisecond
)

// suspectStore keeps suspects on the disk of a control instance, so that a loss of all processes does not forget ends.
type suspectStore struct {
	controller *Controller
	cell       *durable.Cell
	wake       chan struct{}

	mu sync.Mutex
	// saved is the sequence number up to which changes are on the disk, and changed is closed and replaced when it rises.
	saved   uint64
	changed chan struct{}
}

// openSuspects reads the suspects of a data directory.
func (c *Controller) openSuspects() error {
	cell, err := durable.OpenCell(c.DataDir, suspectCell)
	if err != nil {
		return err
	}
	c.suspectStore = &suspectStore{controller: c, cell: cell, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	record := &fleetpb.SuspectRecord{}
	if err := proto.Unmarshal(cell.Value(), record); err != nil {
		// Votes on the same disk are of use without it.
		c.Log.WithError(err).Error("the suspects on the disk can't be read; requests that ended endpoints before may end more")
		return nil
	}
	// Clocks may have been set back meanwhile.
	savedAt := time.UnixMilli(int64(record.GetSavedMs()))
	if now := time.Now(); savedAt.After(now) {
		savedAt = now
	}
	c.suspects.Restore(savedAt, record.GetSuspects())
	if n := len(record.GetSuspects()); n > 0 {
		c.Log.WithField("suspects", n).Info("suspects were restored")
	}
	return nil
}

// run saves suspects when they have changed, until ctx ends.
func (s *suspectStore) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
			s.save()
		case <-ctx.Done():
			return
		}
	}
}

func (s *suspectStore) save() {
	c, now := s.controller, time.Now()
	sequence := c.suspects.Sequence()
	record := &fleetpb.SuspectRecord{SavedMs: uint64(now.UnixMilli()), Suspects: c.suspects.List(now)}
	record.Suspects = record.Suspects[:min(len(record.Suspects), maxSavedSuspects)]
	b, err := proto.Marshal(record)
	if err == nil {
		err = s.cell.Save(b)
	}
	if err != nil {
		c.Log.WithError(err).Warn("suspects could not be saved")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = sequence
	close(s.changed)
	s.changed = make(chan struct{})
}

// notify has the suspects saved soon.
func (s *suspectStore) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// await waits until changes up to a sequence number are on the disk, up to saveTimeout.
func (s *suspectStore) await(ctx context.Context, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		saved, changed := s.saved, s.changed
		s.mu.Unlock()
		if saved >= sequence {
			return
		}
		s.notify()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
