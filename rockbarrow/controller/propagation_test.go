// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

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

// TestAnAcknowledgementSurvivesTheLossOfItsInstance guards against a configuration that is acknowledged on a busy machine before any
// other control instance knows it, and that nobody can confirm after the loss of the one that does.
func TestAnAcknowledgementSurvivesTheLossOfItsInstance(t *testing.T) {
	member := func(name, domain string) *fleetpb.Member {
		return &fleetpb.Member{Instance: name, FailureDomain: domain}
	}
	c := &Controller{Self: member("a", "domain-1"), FaultTolerance: 1, Log: discardLog()}
	s := &fleetpb.State{Number: 7, Voters: []*fleetpb.Member{c.Self, member("b", "domain-2"), member("c", "domain-3")}}
	hear := func(m *fleetpb.Member, state uint64) {
		c.recordRequest(time.Now(), &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_CONTROL, Sender: m, StateNumber: state})
	}
	hear(member("b", "domain-2"), 6)
	hear(member("near", "domain-1"), 7)
	ctx, cancel := context.WithTimeout(t.Context(), 2*propagationTimeout)
	defer cancel()
	var unavailable *UnavailableError
	if _, err := c.awaitPropagation(ctx, s); !errors.As(err, &unavailable) {
		t.Errorf("%v, want an UnavailableError while none in another failure domain knows it", err)
	}
	hear(member("c", "domain-3"), 6)
	hear(member("b", "domain-2"), 7)
	if lagging, err := c.awaitPropagation(t.Context(), s); err != nil || !slices.Equal(lagging, []string{"c"}) {
		t.Errorf("%v, %v, want only c not to know it", lagging, err)
	}
	c.FaultTolerance = 2
	s.Voters = append(s.Voters, member("d", "domain-1"), member("e", "domain-2"))
	if c.survivesLoss(s, []*fleetpb.Member{member("b", "domain-2")}, nil) {
		t.Error("two losses may leave nobody that knows it")
	}
	c.FaultTolerance = 1
	if !c.survivesLoss(s, []*fleetpb.Member{member("near", "domain-1")}, nil) {
		t.Error("nothing is acknowledged while the only majority is cut off in one failure domain")
	}
	c.FaultTolerance = 0
	if !c.survivesLoss(&fleetpb.State{Voters: s.Voters[:1]}, nil, nil) {
		t.Error("a deployment that tolerates no loss waits for others")
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
