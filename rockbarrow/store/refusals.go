// SPDX-License-Identifier: MIT

package store

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/schema/fleetpb"
)

// refusalLogInterval is the least time between two lines about refusals for one reason.
const refusalLogInterval = time.Second

// refusalReason is why a call is refused.
type refusalReason int

const (
	// refusedOtherStorage is for a call to a store that had this address or name before.
	refusedOtherStorage refusalReason = iota
	// refusedStaleView is for a caller that knows only an older view, refusedViewChanged for a record that was written while a newer
	// view became known.
	refusedStaleView
	refusedViewChanged
	// refusedIncomplete is for a store that wants to copy from this one, which lacks records itself.
	refusedIncomplete
	// refusedFull means that the store holds as many turns as it may, refusedDisk that its disk refuses.
	refusedFull
	refusedDisk
	refusalReasons
)

func (r refusalReason) String() string {
	return [...]string{"other_storage", "stale_view", "view_changed", "incomplete", "full", "disk"}[r]
}

// status returns the reason as callers get it.
func (r refusalReason) status() fleetpb.StoreStatus_Refused {
	switch r {
	case refusedOtherStorage:
		return fleetpb.StoreStatus_REFUSED_OTHER_STORAGE
	case refusedFull, refusedDisk:
		return fleetpb.StoreStatus_REFUSED_DISK
	}
	return fleetpb.StoreStatus_REFUSED_STALE_VIEW
}

// refusalLog limits the lines about refused calls. The zero value is ready to use.
type refusalLog struct {
	mu sync.Mutex
	// logged is when each reason was last logged, and unlogged how many refusals there were since.
	logged   [refusalReasons]time.Time
	unlogged [refusalReasons]int
}

// count counts a refusal. It returns how many there were since the last line, or zero if another line must wait.
func (l *refusalLog) count(now time.Time, r refusalReason) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged[r]++
	if now.Sub(l.logged[r]) < refusalLogInterval {
		return 0
	}
	n := l.unlogged[r]
	l.logged[r], l.unlogged[r] = now, 0
	return n
}

// refuse returns the status of a call that was made under a view and is refused.
func (s *Store) refuse(why refusalReason, callEpoch uint64) *fleetpb.StoreStatus {
	st := s.status()
	st.Refused = why.status()
	if n := s.refusals.count(time.Now(), why); n > 0 {
		s.Log.WithFields(logrus.Fields{
			"refused": why.String(), "calls": n, "call_view": callEpoch, "view": st.GetEpoch(), "fenced_view": s.fenced.Load(), "complete_view": st.GetWholeEpoch(),
		}).Warn("calls are refused")
	}
	return st
}
