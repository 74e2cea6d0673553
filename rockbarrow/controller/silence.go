// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// silenceCell is the name of the cell that holds silent members.
	silenceCell = "silence"
	// silentAfter is how long a member must not have been heard to be saved as silent: three of its calls.
	silentAfter = time.Second
)

// silenceStore keeps on the disk which members are silent, so that control instances that start again need not observe all of their silence
// once more.
type silenceStore struct {
	controller *Controller
	cell       *durable.Cell
	wake       chan struct{}

	mu sync.Mutex
	// before are the members that were silent when the last process of this instance ended.
	before map[uint64]bool
	// silent are those that are silent now, in order.
	silent []uint64
}

// openSilence reads which members were silent.
func (c *Controller) openSilence() error {
	cell, err := durable.OpenCell(c.DataDir, silenceCell)
	if err != nil {
		return err
	}
	c.silence = &silenceStore{controller: c, cell: cell, wake: make(chan struct{}, 1), before: map[uint64]bool{}}
	record := &fleetpb.SilenceRecord{}
	if err := proto.Unmarshal(cell.Value(), record); err != nil {
		c.Log.WithError(err).Error("the silent members on the disk can't be read; their silence is observed anew")
		return nil
	}
	for _, k := range record.GetStorages() {
		c.silence.before[k] = true
	}
	return nil
}

// observe notes which members of a view are silent. While this instance does not hear the others, that tells nothing.
func (s *silenceStore) observe(now time.Time, v *fleetpb.View) {
	if now.Sub(*s.controller.observingSince.Load()) <= silentAfter {
		return
	}
	heard := map[uint64]bool{}
	for _, role := range []fleetpb.Role{fleetpb.Role_ROLE_STORE, fleetpb.Role_ROLE_CONTROL} {
		for _, p := range s.controller.presence.members(now, role, silentAfter) {
			heard[p.Member.GetStorage()] = true
		}
	}
	heard[s.controller.Self.GetStorage()] = true
	var silent []uint64
	for _, list := range ledger.MemberLists(v) {
		for _, m := range list {
			if !heard[m.GetStorage()] && !slices.Contains(silent, m.GetStorage()) {
				silent = append(silent, m.GetStorage())
			}
		}
	}
	slices.Sort(silent)
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range heard {
		delete(s.before, k)
	}
	if slices.Equal(silent, s.silent) {
		return
	}
	s.silent = silent
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// silentBefore returns the members that were silent before this process started, and were not heard since.
func (s *silenceStore) silentBefore() map[uint64]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint64]bool, len(s.before))
	for k := range s.before {
		out[k] = true
	}
	return out
}

// run saves the silent members when they have changed, until ctx ends.
func (s *silenceStore) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.save()
	}
}

func (s *silenceStore) save() {
	s.mu.Lock()
	record := &fleetpb.SilenceRecord{Storages: s.silent}
	s.mu.Unlock()
	b, err := proto.Marshal(record)
	if err == nil {
		err = s.cell.Save(b)
	}
	if err != nil {
		s.controller.Log.WithError(err).Warn("silent members could not be saved")
	}
}
