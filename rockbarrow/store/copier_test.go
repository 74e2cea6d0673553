// SPDX-License-Identifier: MIT

package store

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/schema/fleetpb"
)

// sourceStore is a store that others copy from.
type sourceStore struct {
	fleetpb.UnimplementedStoreServer
	down   atomic.Bool
	copies atomic.Int64
}

func (s *sourceStore) Copy(_ *fleetpb.CopyRequest, stream fleetpb.Store_CopyServer) error {
	s.copies.Add(1)
	if s.down.Load() {
		return status.Error(codes.Unavailable, "down")
	}
	return stream.Send(&fleetpb.CopyReply{Status: &fleetpb.StoreStatus{}, Last: true})
}

// TestRetryCopiesOnlyFromMissingSources checks that a retry copies only from the stores
// that failed before, and that the copy succeeds once every group is covered.
func TestRetryCopiesOnlyFromMissingSources(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	self := &fleetpb.Member{Instance: "new", Storage: 99, FailureDomain: "x"}
	s := &Store{Self: self, DataDir: t.TempDir(), Pool: pool, Log: logrus.NewEntry(log)}
	stop, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	sources := make([]*sourceStore, 5)
	v := &fleetpb.View{Epoch: 2, Copies: 5, Members: []*fleetpb.Member{self}}
	for i := range sources {
		sources[i] = &sourceStore{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g := dial.NewServer()
		fleetpb.RegisterStoreServer(g, sources[i])
		go g.Serve(l)
		t.Cleanup(g.Stop)
		v.Prior = append(v.Prior, &fleetpb.Member{
			Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint(i), Address: l.Addr().String(),
		})
		// Connect now, so that the first call does not fail for lack of a connection.
		if _, err := pool.Get(l.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	for _, o := range sources[2:] {
		o.down.Store(true)
	}
	c := &copier{store: s}
	if err := c.copyAll(t.Context(), v); err == nil {
		t.Fatal("copyAll succeeded with two of five sources")
	}
	sources[2].down.Store(false)
	for c.copyAll(t.Context(), v) != nil {
		// Retry: a connection may not have been ready yet.
		continue
	}
	for i, o := range sources[:2] {
		if n := o.copies.Load(); n != 1 {
			t.Errorf("store %d was copied from %d times, want once", i, n)
		}
	}
}
