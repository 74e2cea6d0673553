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

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/store"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// network connects to listeners in memory, so that tests can run under the fake clock of package
// synctest and do not depend on the machine's speed. It uses [net.Pipe] because grpc's bufconn
// crashes the runtime of go1.26.8 under synctest and the race detector (docs/FINDINGS.md).
type network struct {
	lastID    atomic.Int64
	listeners sync.Map
}

var memoryNetwork network

func (n *network) listen() (address string, l net.Listener) {
	address = fmt.Sprint("memory-", n.lastID.Add(1))
	m := &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners.Store(address, m)
	return address, m
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	l, ok := n.listeners.Load(address)
	if !ok {
		return nil, errors.Errorf("no listener at %s", address)
	}
	return l.(*memoryListener).dial(ctx)
}

// memoryListener is a [net.Listener] for [net.Pipe] connections.
type memoryListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

// memoryAddress is the address of a memoryListener.
type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }
func (a memoryAddress) String() string  { return string(a) }

// backgroundTimeout exceeds the time of any background call, by the fake clock.
const backgroundTimeout = time.Minute

// startStores runs three stores and returns a view of them.
func startStores(t *testing.T) *fleetpb.View {
	// Wait for settlements in the background. Cleanups run in reverse order, so this is the last.
	t.Cleanup(func() { <-time.After(backgroundTimeout) })
	view := &fleetpb.View{Epoch: 1, Copies: 3}
	var watches []*watch.Client
	for i := range 3 {
		address, l := memoryNetwork.listen()
		m := &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint(i), Address: address}
		view.Members = append(view.Members, m)
		w := &watch.Client{Self: m, Log: discardLogger()}
		s := &store.Store{Self: m, DataDir: t.TempDir(), Watch: w, Pool: &dial.Pool{}, Log: discardLogger(), Metrics: tally.NoopScope}
		closeLog, err := s.Open()
		if err != nil {
			t.Fatal(err)
		}
		w.OnChange = s.Wake
		g := dial.NewServer()
		fleetpb.RegisterStoreServer(g, s)
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx)
		go g.Serve(l)
		t.Cleanup(func() { cancel(); g.Stop(); closeLog() })
		watches = append(watches, w)
	}
	for _, w := range watches {
		w.UpdateState(&fleetpb.State{Number: 1, View: view})
	}
	return view
}
