// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// fiveStores returns a client whose five stores have all answered, in three failure domains.
func fiveStores(t *testing.T) (*Client, *fleetpb.View) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	c := &Client{Watch: &watch.Client{Self: &fleetpb.Member{}, Log: logrus.NewEntry(log)}, Pool: pool, Domain: "c"}
	v := &fleetpb.View{Epoch: 1, Copies: 5}
	for i, domain := range []string{"a", "a", "b", "b", "c"} {
		m := &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: domain, Address: "127.0.0.1:1"}
		v.Members = append(v.Members, m)
		c.observe(m, nil)
	}
	return c, v
}

// TestAQuorumIsAskedFirst: those of the own failure domain first, and all of them as soon as anything is not as usual.
func TestAQuorumIsAskedFirst(t *testing.T) {
	c, v := fiveStores(t)
	members, n := c.quorumFirst(v, v.GetMembers())
	if n != 3 || len(members) != 5 || members[0].GetFailureDomain() != "c" {
		t.Errorf("%d first, of %v", n, members)
	}
	moving := &fleetpb.View{Epoch: 2, Copies: 5, Members: v.GetMembers(), Prior: v.GetMembers()[:4]}
	if _, n := c.quorumFirst(moving, v.GetMembers()); n != 5 {
		t.Errorf("%d first while records move", n)
	}
	if _, n := c.quorumFirst(&fleetpb.View{}, nil); n != 0 {
		t.Errorf("%d first of none", n)
	}
	c.observe(v.GetMembers()[1], errors.New("silent"))
	if _, n := c.quorumFirst(v, v.GetMembers()); n != 5 {
		t.Errorf("%d first while a store is out of reach", n)
	}
}

// usual is how long a store of these tests takes.
const usual = 4 * time.Millisecond

// script is what a store does with a call.
type script struct {
	after time.Duration
	err   error
	// refused goes with an answer that is no error.
	refused fleetpb.StoreStatus_Refused
}

// gathered returns how long it takes until three of five stores have answered, and who was asked.
func gathered(t *testing.T, scripts map[int]script) (took time.Duration, asked []string) {
	synctest.Test(t, func(t *testing.T) {
		c, v := fiveStores(t)
		tally := ledger.NewQuorumTracker(v, "p")
		begun := time.Now()
		names := make(chan string, len(v.GetMembers()))
		got, reason := gather(t.Context(), c, tally, v.GetMembers(), 3, tally.HasWriteQuorum, nil,
			func(ctx context.Context, _ fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.SettleReply, *fleetpb.StoreStatus, error) {
				names <- m.GetInstance()
				s, ok := scripts[int(m.GetStorage())-1]
				if !ok {
					s.after = usual
				}
				<-time.After(s.after)
				return nil, &fleetpb.StoreStatus{Epoch: 1, WholeEpoch: 1, Refused: s.refused}, s.err
			},
			func(*fleetpb.SettleReply) {})
		took = time.Since(begun)
		if got != reached {
			t.Fatalf("%v: %s", got, reason)
		}
		// Calls outlive their quorum.
		<-time.After(callWithin)
		for len(names) > 0 {
			asked = append(asked, <-names)
		}
	})
	slices.Sort(asked)
	return took, asked
}

// TestTheOthersAreAskedWhenOneIsSlowOrRefuses: and nobody more than the quorum while none is.
func TestTheOthersAreAskedWhenOneIsSlowOrRefuses(t *testing.T) {
	tests := []struct {
		name    string
		scripts map[int]script
		took    time.Duration
		asked   int
	}{
		{"as usual", nil, usual, 3},
		{"one of the first is slow", map[int]script{1: {after: 100 * time.Millisecond}}, hedgeAfter + usual, 5},
		{"one answers that it does not write", map[int]script{1: {refused: fleetpb.StoreStatus_REFUSED_DISK}}, usual, 5},
		{"one fails at once", map[int]script{1: {err: errors.New("its disk is full")}}, usual, 5},
		{"two are slow", map[int]script{0: {after: 100 * time.Millisecond}, 2: {after: 100 * time.Millisecond}}, hedgeAfter + usual, 5},
		{"one of the others is slow", map[int]script{4: {after: 100 * time.Millisecond}}, usual, 3},
	}
	for _, test := range tests {
		took, asked := gathered(t, test.scripts)
		if took != test.took || len(asked) != test.asked {
			t.Errorf("%s: %v with %v, want %v with %d", test.name, took, asked, test.took, test.asked)
		}
	}
}
