// SPDX-License-Identifier: MIT

package controller

import (
	"fmt"
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// TestAnAcknowledgedVersionIsKnownToAllThatAnswer guards against a configuration that takes effect late because only the
// instance that acknowledged it, and then failed, knew that it was chosen.
func TestAnAcknowledgedVersionIsKnownToAllThatAnswer(t *testing.T) {
	cluster := startCluster(t)
	for _, p := range cluster {
		waitFor(t, func() bool { return len(p.controller.controlMembers(time.Now(), rankTimeout)) == len(cluster) })
	}
	for version := uint64(1); version <= 30; version++ {
		putConfiguration(t, cluster[int(version)%len(cluster)], version, fmt.Sprint("document ", version))
		for _, p := range cluster {
			if got := configVersion(p); got != version {
				t.Fatalf("%s knows version %d, %d is acknowledged", p.member.GetInstance(), got, version)
			}
		}
	}
}

// TestAnAcknowledgementDoesNotWaitForTheSilent guards against an unresponsive control instance that blocks all changes.
func TestAnAcknowledgementDoesNotWaitForTheSilent(t *testing.T) {
	cluster := startCluster(t)
	c := cluster[0].controller
	c.recordRequest(time.Now(), &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_CONTROL, Sender: &fleetpb.Member{Instance: "frozen"}})
	putConfiguration(t, cluster[0], 1, "document")
	if got := configVersion(cluster[1]); got != 1 {
		t.Errorf("version %d is known, 1 is acknowledged", got)
	}
}

// TestEachFollowedInstanceTellsOfNews guards against an entry instance whose primary stalled, and that is notified of a newer
// configuration by the others only at the end of their long polls.
func TestEachFollowedInstanceTellsOfNews(t *testing.T) {
	c := startCluster(t)[0].controller
	follower := &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_ENTRY, StateNumber: c.State().GetNumber()}
	waitFor(t, func() bool { return c.Endpoints() != nil })
	if c.hasUpdateFor(follower, false) {
		t.Error("a call that waits for no list ends with one")
	}
	s, err := c.Change(t.Context(), func(s *fleetpb.State) *fleetpb.State { return s })
	if err != nil {
		t.Fatal(err)
	}
	if !c.hasUpdateFor(follower, false) {
		t.Errorf("a follower is not told of state %d", s.GetNumber())
	}
	if r := c.reply(follower, 0); r.GetState() != nil || r.GetStateNumber() != s.GetNumber() {
		t.Errorf("%v, want the number alone", r)
	}
}
