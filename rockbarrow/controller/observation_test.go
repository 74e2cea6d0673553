// SPDX-License-Identifier: MIT

package controller

import (
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// TestSilenceDuringAPartitionIsNotALoss guards against stores that are replaced right after a
// network partition: the control instance that was cut off took its own silence for theirs.
func TestSilenceDuringAPartitionIsNotALoss(t *testing.T) {
	cluster := startCluster(t)
	c := cluster[0].controller
	waitFor(t, func() bool { return c.HasState() && c.hearsMajority(time.Now()) })
	if _, err := c.Watch(t.Context(), &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "store-1", Storage: 9}, Role: fleetpb.Role_ROLE_STORE,
	}); err != nil {
		t.Fatal(err)
	}
	d := &coordinator{controller: c}
	// No control instance was heard for a while, and neither was the store.
	cutOff := time.Now().Add(20 * time.Second)
	if c.hearsMajority(cutOff) {
		t.Fatal("most voters count as heard after 20 s of silence")
	}
	d.tick(t.Context(), cutOff)
	if got := c.planner(cutOff).Uptime; got != 0 {
		t.Errorf("silence of %v counts while this instance is cut off, want none", got)
	}
	if got := c.planner(cutOff.Add(time.Second)).Uptime; got != time.Second {
		t.Errorf("silence of %v counts one second after the partition", got)
	}
}
