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

// Peers exchanges beats.
type Peers interface {
	Heartbeat(ctx context.Context, instance string, beats []roster.Beat) ([]roster.Beat, error)
}

// Node is one for each instance. Set the exported fields before Start.
type Node struct {
	Table *roster.Table
	Peers Peers
	Every time.Duration
	// Own returns the instance's word on itself.
	Own func() roster.Beat
	// Hint is told of the versions that peers have.
	Hint    func(instance string, version uint64)
	Metrics tally.Scope

	mu   sync.Mutex
	view atomic.Pointer[roster.View]
}

// Start makes the first view.
func (n *Node) Start() { n.step(roster.Heard{}) }

// View returns the newest view.
func (n *Node) View() *roster.View { return n.view.Load() }

// Run ticks until ctx ends.
func (n *Node) Run(ctx context.Context) { n.loop(ctx) }

func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(n.Every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.step(roster.Ticked{Own: n.Own()})
		}
	}
}

// Heard takes beats from a peer and returns the own ones.
func (n *Node) Heard(beats []roster.Beat) []roster.Beat {
	n.step(roster.Heard{Beats: beats})
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Table.Beats()
}

// Listed takes the platform's word.
func (n *Node) Listed(l roster.Listed) { n.step(l) }

func (n *Node) step(e roster.Event) {
	n.mu.Lock()
	actions := n.Table.Handle(time.Now(), e)
	for _, a := range actions {
		if c, ok := a.(roster.Changed); ok {
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
	beats, err := n.Peers.Heartbeat(ctx, to, x.action.Beats)
	if err != nil {
		n.Metrics.Counter("heartbeats_lost").Inc(1)
		return
	}
	n.Metrics.Counter("heartbeats").Inc(1)
	n.step(roster.Heard{Beats: beats})
	for _, b := range beats {
		if b.Instance() == to {
			n.Hint(to, b.ConfigVersion())
		}
	}
}
