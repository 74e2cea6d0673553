// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/test/bufconn"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/store"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// network leads connections to listeners in memory. With it these tests run under the clock
// of package synctest, which stands still while anything works: how fast the machine is
// decides nothing. On a busy machine reservations had no answer in their second before.
type network struct {
	last      atomic.Int64
	listeners sync.Map
}

var inMemory network

// buffered is how many bytes a connection holds that were not read yet.
const buffered = 64 << 10

func (n *network) listen() (address string, l net.Listener) {
	address = fmt.Sprint("memory-", n.last.Add(1))
	b := bufconn.Listen(buffered)
	n.listeners.Store(address, b)
	return address, b
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	l, ok := n.listeners.Load(address)
	if !ok {
		return nil, errors.Errorf("nobody listens at %s", address)
	}
	return l.(*bufconn.Listener).DialContext(ctx)
}

// backgroundEnds is longer than any call in the background, by the clock that stands still.
const backgroundEnds = time.Minute

// startStores runs three stores, each with a disk of its own, and returns a view of
// them.
func startStores(t *testing.T) *fleetpb.View {
	// Settlements in the background outlive their requests. Cleaned up first is what came
	// last, so that this is the end.
	t.Cleanup(func() { <-time.After(backgroundEnds) })
	view := &fleetpb.View{Epoch: 1, Copies: 3}
	var watches []*watch.Client
	for i := range 3 {
		address, l := inMemory.listen()
		m := &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint(i), Address: address}
		view.Members = append(view.Members, m)
		w := &watch.Client{Self: m, Log: quiet()}
		s := &store.Store{Self: m, DataDir: t.TempDir(), Watch: w, Pool: &dial.Pool{}, Log: quiet(), Metrics: tally.NoopScope}
		closeLog, err := s.Open()
		if err != nil {
			t.Fatal(err)
		}
		w.Changed = s.Wake
		g := dial.Server()
		fleetpb.RegisterStoreServer(g, s)
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx)
		go g.Serve(l)
		t.Cleanup(func() { cancel(); g.Stop(); closeLog() })
		watches = append(watches, w)
	}
	for _, w := range watches {
		w.Offer(&fleetpb.State{Number: 1, View: view})
	}
	return view
}
