// SPDX-License-Identifier: MIT

// Package gossip runs an instance's [roster.Table]: it exchanges heartbeats with
// peers and publishes each new view through an atomic pointer.
package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/roster"
)

// exchangeTimeout bounds one exchange.
const exchangeTimeout = time.Second

// Transport exchanges heartbeats with peers.
type Transport interface {
	Heartbeat(ctx context.Context, instance string, heartbeats []roster.Heartbeat) ([]roster.Heartbeat, error)
}

// Node drives the membership table of an instance. The exported fields must be
// set before Start.
type Node struct {
	Table     *roster.Table
	Transport Transport
	Interval  time.Duration
	// Local returns the instance's own heartbeat; the table sets its counter.
	Local func() roster.Heartbeat
	// OnPeerVersion is called with the configuration version of a peer.
	OnPeerVersion func(instance string, version uint64)
	Metrics       tally.Scope

	mu   sync.Mutex
	view atomic.Pointer[roster.View]
}

// Start publishes the initial view.
func (n *Node) Start() { n.step(roster.HeartbeatsReceived{}) }

// View returns the current view.
func (n *Node) View() *roster.View { return n.view.Load() }

// Run starts a gossip period every Interval until ctx is done.
func (n *Node) Run(ctx context.Context) { n.loop(ctx) }

func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(n.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.step(roster.Tick{Local: n.Local()})
		}
	}
}

// HandleHeartbeats processes heartbeats from a peer and returns the known ones.
func (n *Node) HandleHeartbeats(heartbeats []roster.Heartbeat) []roster.Heartbeat {
	n.step(roster.HeartbeatsReceived{Heartbeats: heartbeats})
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Table.Heartbeats()
}

// HandlePlatformUpdate processes an update from the platform.
func (n *Node) HandlePlatformUpdate(u roster.PlatformUpdate) { n.step(u) }

func (n *Node) step(e roster.Event) {
	n.mu.Lock()
	actions := n.Table.Handle(time.Now(), e)
	for _, a := range actions {
		if c, ok := a.(roster.ViewChanged); ok {
			n.view.Store(c.View)
		}
	}
	n.mu.Unlock()
	for _, a := range actions {
		if x, ok := a.(roster.Exchange); ok {
			go (&exchange{node: n, action: x}).run()
		}
	}
}

// exchange sends heartbeats to a peer and processes its reply.
type exchange struct {
	node   *Node
	action roster.Exchange
}

func (x *exchange) run() {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	n := x.node
	to := x.action.To.Instance()
	heartbeats, err := n.Transport.Heartbeat(ctx, to, x.action.Heartbeats)
	if err != nil {
		n.Metrics.Counter("heartbeats_lost").Inc(1)
		return
	}
	n.Metrics.Counter("heartbeats").Inc(1)
	n.step(roster.HeartbeatsReceived{Heartbeats: heartbeats})
	for _, b := range heartbeats {
		if b.Instance() == to {
			n.OnPeerVersion(to, b.ConfigVersion())
		}
	}
}
