// SPDX-License-Identifier: MIT

package config

import (
	"sync"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/journal"
)

// voter is the local replica of the control journal.
type voter struct {
	source *Source

	mu          sync.Mutex
	replica     *journal.Replica
	waitForSync func() error
}

func (v *voter) lastIndex() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.replica == nil {
		return 0
	}
	return v.replica.Log().LastIndex()
}

// promised returns the highest ballot seen by the replica.
func (v *voter) promised() journal.Ballot {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.replica == nil {
		return journal.Ballot{}
	}
	return v.replica.Promised()
}

func (v *voter) handleMessage(m journal.Message) journal.Reply {
	v.mu.Lock()
	if v.replica == nil {
		v.replica = &journal.Replica{}
	}
	reply, change := v.replica.Handle(m)
	v.compactIfLong()
	if v.source.Store == nil {
		v.mu.Unlock()
		return reply
	}
	if change.Durable {
		v.waitForSync = v.source.Store.Enqueue(JournalName, change)
	}
	waitForSync := v.waitForSync
	v.mu.Unlock()
	if waitForSync == nil {
		return reply
	}
	if err := waitForSync(); err != nil {
		v.mu.Lock()
		v.replica.Fail()
		v.mu.Unlock()
		v.source.DiskFailed(err)
		return nil
	}
	return reply
}

// compactIfLong compacts a long replica in the same way as the leader. The
// caller must hold mu.
func (v *voter) compactIfLong() {
	log := v.replica.Log()
	if v.replica.Commit() < log.Base().Index()+2*control.DefaultCompactAfter {
		return
	}
	var state control.State
	if b := log.Base().State(); b != nil && state.Restore(b) != nil {
		return
	}
	for _, e := range log.After(log.Base().Index(), int(v.replica.Commit()-log.Base().Index())) {
		control.ApplyEntry(&state, e)
	}
	b, err := state.Snapshot()
	if err != nil {
		return
	}
	if change, ok := v.replica.Compact(v.replica.Commit(), b); ok && v.source.Store != nil {
		v.waitForSync = v.source.Store.Enqueue(JournalName, change)
	}
}

func (s *Source) self() journal.Member {
	if s.StorageIncarnation != 0 {
		return journal.NewMember(s.Instance, s.StorageIncarnation).WithDisk()
	}
	return journal.NewMember(s.Instance, s.Incarnation)
}

func (s *Source) allVotersKnown() bool {
	for _, m := range s.voters() {
		if m.Incarnation() == 0 {
			return false
		}
	}
	return true
}

// replaceRestartedVoter starts the replacement of a voter that lost its
// storage with its new incarnation.
func (s *Source) replaceRestartedVoter() {
	s.leaderMu.Lock()
	l := s.leader
	if l == nil || !l.AcceptsCommands() || l.Writer().ChangingMembers() {
		s.leaderMu.Unlock()
		return
	}
	members := l.Writer().Members()
	s.leaderMu.Unlock()
	for _, i := range s.View().Instances() {
		if !i.Control() || !i.Usable() || members.Contains(i.Member()) {
			continue
		}
		for _, m := range members {
			if m.Instance() == i.Instance() {
				s.mailbox.Post(control.ReplaceVoter{New: i.Member(), Old: m})
				return
			}
		}
	}
}

func (s *Source) voters() journal.Members {
	var out journal.Members
	for _, i := range s.View().Instances() {
		if i.Control() {
			out = append(out, i.Member())
		}
	}
	return out
}
