// SPDX-License-Identifier: MIT

// Package gossip runs an instance's [roster.Table]: it exchanges beats with
// peers and publishes each new view behind an atomic pointer.
package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/roster"
)

// timeout bounds one exchange.
const timeout = time.Second

// Transport exchanges beats.
type Transport interface {
	Heartbeat(ctx context.Context, instance string, beats []roster.Heartbeat) ([]roster.Heartbeat, error)
}

// Node is one for each instance. Set the exported fields before Start.
type Node struct {
	Table     *roster.Table
	Transport Transport
	Interval  time.Duration
	// Local returns the instance's word on itself.
	Local func() roster.Heartbeat
	// OnPeerVersion is told of the versions that peers have.
	OnPeerVersion func(instance string, version uint64)
	Metrics       tally.Scope

	mu   sync.Mutex
	view atomic.Pointer[roster.View]
}

// Start makes the first view.
func (n *Node) Start() { n.step(roster.HeartbeatsReceived{}) }

// View returns the newest view.
func (n *Node) View() *roster.View { return n.view.Load() }

// Run ticks until ctx ends.
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

// HandleHeartbeats takes beats from a peer and returns the own ones.
func (n *Node) HandleHeartbeats(beats []roster.Heartbeat) []roster.Heartbeat {
	n.step(roster.HeartbeatsReceived{Heartbeats: beats})
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Table.Heartbeats()
}

// HandlePlatformUpdate takes the platform's word.
func (n *Node) HandlePlatformUpdate(l roster.PlatformUpdate) { n.step(l) }

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

// exchange is one exchange of beats.
type exchange struct {
	node   *Node
	action roster.Exchange
}

func (x *exchange) run() {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	n := x.node
	to := x.action.To.Instance()
	beats, err := n.Transport.Heartbeat(ctx, to, x.action.Heartbeats)
	if err != nil {
		n.Metrics.Counter("heartbeats_lost").Inc(1)
		return
	}
	n.Metrics.Counter("heartbeats").Inc(1)
	n.step(roster.HeartbeatsReceived{Heartbeats: beats})
	for _, b := range beats {
		if b.Instance() == to {
			n.OnPeerVersion(to, b.ConfigVersion())
		}
	}
}
