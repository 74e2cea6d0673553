// SPDX-License-Identifier: MIT

package stores

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dial"
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
	c.Watch.UpdateState(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Members: members, Copies: 5}})
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

// TestAReservationIsGivenUpOnceItsStoresAreOutOfReach: it does not wait until its time is
// over for stores that have been found silent meanwhile.
func TestAReservationIsGivenUpOnceItsStoresAreOutOfReach(t *testing.T) {
	var members []*fleetpb.Member
	for i := range 3 {
		// They take connections and never answer.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		members = append(members, &fleetpb.Member{Instance: strconv.Itoa(i), Storage: uint64(i + 1), FailureDomain: strconv.Itoa(i), Address: l.Addr().String()})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: logrus.NewEntry(log)}
	w.UpdateState(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 3, Members: members}})
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	c := &Client{Watch: w, Pool: pool, Turns: &Cache{Bytes: 1}}
	given := make(chan error, 1)
	go func() {
		_, err := c.Reserve(t.Context(), Turn{ID: "1", Program: "p", Most: 1})
		given <- err
	}()
	for _, m := range members[:2] {
		c.observe(m, nil)
		c.observe(m, &suspectError{})
	}
	// The context has no end: only the loss of the stores ends it.
	if err := <-given; err == nil {
		t.Error("a reservation without its stores")
	}
}
