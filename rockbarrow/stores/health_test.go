// SPDX-License-Identifier: MIT

package stores

import (
	"fmt"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// TestALostDomainLeavesEachGroupItsQuorum: of eight stores with five copies, three
// in one domain are lost. No group has more than two of them.
func TestALostDomainLeavesEachGroupItsQuorum(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &Client{Watch: &watch.Client{Log: logrus.NewEntry(log)}}
	var members []*fleetpb.Member
	for i, domain := range []string{"a", "a", "a", "b", "b", "b", "c", "c"} {
		members = append(members, &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: domain})
	}
	c.Watch.Offer(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Members: members, Copies: 5}})
	lose := func(from, to int) {
		for _, m := range members[from:to] {
			c.observe(m, errors.New("silent"))
		}
	}
	for _, m := range members {
		c.observe(m, nil)
	}
	lose(3, 6)
	for i := range 100 {
		if !c.Reaches(fmt.Sprint("program-", i)) {
			t.Fatalf("program %d has no quorum without one failure domain", i)
		}
	}
	if !c.Reachable() {
		t.Error("stores count as out of reach without one failure domain")
	}
	lose(6, 8)
	if c.Reachable() {
		t.Error("stores count as reached without two failure domains")
	}
}
