// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/stores"
)

// TestFinishWaitsForReports guards against an instance that ends before control instances were told how the last suspects fared, which
// are then held up as if their endpoints might have ended.
func TestFinishWaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &fakeControl{}
		e := newSuspectEntry(t, &fakeSender{}, control)
		e.Stores = &stores.Client{}
		finish := func(limit time.Duration) bool {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return e.Finish(ctx)
		}
		if start := time.Now(); !finish(time.Hour) || time.Now().After(start) {
			t.Error("an instance with nothing to report does not end at once")
		}
		control.cutOff.Store(true)
		e.reports.add(pendingReport{completed: []quarantine.Keys{{}}})
		if finish(time.Second) {
			t.Error("the instance has finished before control instances were told")
		}
		control.cutOff.Store(false)
		calls := control.calls.Load()
		if !finish(time.Second) || control.calls.Load() == calls {
			t.Error("control instances were not told")
		}
	})
}

// TestFinishWaitsForBackgroundCalls guards against an instance that ends before it told control that a program did not start, whose
// part of a quota is then kept from others.
func TestFinishWaitsForBackgroundCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newSuspectEntry(t, &fakeSender{}, &fakeControl{})
		e.Stores = &stores.Client{}
		start := time.Now()
		e.background.Go(func() { <-time.After(time.Second) })
		if !e.Finish(t.Context()) || time.Since(start) < time.Second {
			t.Errorf("finished after %v", time.Since(start))
		}
	})
}
