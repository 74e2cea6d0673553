// SPDX-License-Identifier: MIT

package fleet

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lookEvery is how often the balancer looks for ready instances.
const lookEvery = 200 * time.Millisecond

// Balancer spreads connections over the instances that are ready, like the
// platform's. Set the exported fields before Start.
type Balancer struct {
	Fleet *Fleet

	listener net.Listener
	done     chan struct{}
	turn     atomic.Uint64
	mu       sync.Mutex
	ready    []string
}

// Start listens on a free port.
func (b *Balancer) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.listener = l
	b.done = make(chan struct{})
	b.look()
	go b.loop()
	go b.run()
	return nil
}

// URL returns the base address for callers.
func (b *Balancer) URL() string { return "http://" + b.listener.Addr().String() }

// Stop closes the listener.
func (b *Balancer) Stop() {
	close(b.done)
	b.listener.Close()
}

// loop looks for ready instances.
func (b *Balancer) loop() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-t.C:
			b.look()
		}
	}
}

func (b *Balancer) look() {
	var ready []string
	for _, in := range b.Fleet.Instances() {
		if !in.Down() && in.Ready() {
			ready = append(ready, in.Settings.Listen.Callers)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// run accepts connections.
func (b *Balancer) run() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go (&link{balancer: b, client: c}).run()
	}
}

func (b *Balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[b.turn.Add(1)%uint64(len(b.ready))]
}

// link is one connection.
type link struct {
	balancer *Balancer
	client   net.Conn
}

func (l *link) run() {
	defer l.client.Close()
	const tries = 3
	for range tries {
		address := l.balancer.next()
		if address == "" {
			return
		}
		server, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		defer server.Close()
		back := &copier{from: server, to: l.client, done: make(chan struct{})}
		go back.run()
		io.Copy(server, l.client)
		server.(*net.TCPConn).CloseWrite()
		<-back.done
		return
	}
}

// copier copies one way.
type copier struct {
	from, to net.Conn
	done     chan struct{}
}

func (c *copier) run() {
	io.Copy(c.to, c.from)
	c.to.(*net.TCPConn).CloseWrite()
	close(c.done)
}
