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

// TestQuorumAfterLossOfFailureDomain checks that the loss of one failure
// domain, with three of eight stores, leaves each group of five a quorum.
func TestQuorumAfterLossOfFailureDomain(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &Client{Watch: &watch.Client{Log: logrus.NewEntry(log)}}
	var members []*fleetpb.Member
	for i, domain := range []string{"a", "a", "a", "b", "b", "b", "c", "c"} {
		members = append(members, &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: domain})
	}
	c.Watch.UpdateState(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Members: members, Copies: 5}})
	setLost := func(from, to int) {
		for _, m := range members[from:to] {
			c.recordResult(m, errors.New("silent"))
		}
	}
	for _, m := range members {
		c.recordResult(m, nil)
	}
	setLost(3, 6)
	for i := range 100 {
		if !c.ProgramReachable(fmt.Sprint("program-", i)) {
			t.Fatalf("program %d has no quorum after the loss of one failure domain", i)
		}
	}
	if !c.Reachable() {
		t.Error("Reachable is false after the loss of one failure domain")
	}
	setLost(6, 8)
	if c.Reachable() {
		t.Error("Reachable is true after the loss of two failure domains")
	}
}

// TestReserveAbortsWhenStoresBecomeUnreachable guards against waiting for
// the deadline when the stores became unreachable during the call.
func TestReserveAbortsWhenStoresBecomeUnreachable(t *testing.T) {
	var members []*fleetpb.Member
	for i := range 3 {
		// These stores accept connections and never answer.
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
	c := &Client{Watch: w, Pool: pool, TurnCache: &Cache{MaxBytes: 1}}
	result := make(chan error, 1)
	go func() {
		_, err := c.Reserve(t.Context(), Turn{ID: "1", Program: "p", MaxTokens: 1})
		result <- err
	}()
	for _, m := range members[:2] {
		c.recordResult(m, nil)
		c.recordResult(m, &noResponseError{})
	}
	// The context has no deadline: only the loss of the stores ends the call.
	if err := <-result; err == nil {
		t.Error("the reservation succeeded without its stores")
	}
}
