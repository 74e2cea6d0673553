// SPDX-License-Identifier: MIT

package controller

import (
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// TestAStopEndsWaitsForUpdates guards against a stop that waits for calls which only wait for updates, or that ends them with an
// error.
func TestAStopEndsWaitsForUpdates(t *testing.T) {
	c := openController(t, &testInstance{member: &fleetpb.Member{Instance: "control", Storage: 1}, dir: t.TempDir(), list: &fakeEndpointSource{}})
	time.AfterFunc(50*time.Millisecond, c.EndWaits)
	for _, begun := range []string{"before", "after"} {
		const wait = time.Hour
		reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{WaitMs: uint32(wait.Milliseconds())})
		if err != nil || reply.GetResponder().GetInstance() != "control" {
			t.Errorf("a call that was begun %s the end of waits: %v, %v", begun, reply, err)
		}
	}
}
