// SPDX-License-Identifier: MIT

// Package inbound bounds what the connections of clients take of an instance: descriptors, and memory of the system for bytes that have
// arrived and are not read.
//
// A client that connects is always let in while another one can give way: the one that has made no progress for the longest time. A client
// whose request is being handled never gives way.
package inbound

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// backlog is the length of the queue of connections that are not accepted.
	backlog = 1024
	// queuedReceive is the receive buffer of a connection in that queue, in bytes.
	queuedReceive = 16 << 10
	// maxReceive and minReceive bound the receive buffer of a connection, in bytes. A buffer takes 1/receiveShare of what is left for all.
	maxReceive, minReceive = 64 << 10, 4 << 10
	receiveShare           = 256
	// evictedShare is the share of the connections, as 1/n, that give way at a time. As many may stay open for their last response.
	evictedShare = 16
)

// Client is a connected client.
type Client interface {
	// Waiting returns since when the client has made no progress, false if it is not waited for: its request is being handled.
	Waiting() (since time.Time, ok bool)
	// Evict disconnects the client. It may get a response first unless atOnce is true. It must not block.
	Evict(atOnce bool)
}

// Limits bound the connections of one address. Set the exported fields before the first call.
type Limits struct {
	// MaxConns is the largest number of connections; zero means no limit.
	MaxConns int
	// ReceiveBytes is what all receive buffers may take beyond the smallest size of each; zero leaves them to the system.
	ReceiveBytes int64
	// OnEvict is called for each client that gives way; it may be nil.
	OnEvict func()

	mu      sync.Mutex
	clients map[Client]*entry
	// evicted is the number of clients that were evicted and are not removed.
	evicted int
	// receive is the size of all receive buffers beyond the smallest.
	receive int64
}

// entry is what a client holds.
type entry struct {
	receive int64
	evicted bool
}

// Prepare bounds the queue of a listener and what the system holds for the connections in it. It does nothing without limits.
func (l *Limits) Prepare(listener net.Listener) {
	sc, ok := listener.(syscall.Conn)
	if !ok || l.ReceiveBytes == 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// The errors are ignored: the system's defaults are larger.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, queuedReceive)
		_ = syscall.Listen(int(fd), backlog)
	})
}

// Add adds a client that has connected, and has others give way if there are too many. It reports false if none can: the client must be
// disconnected then, and is not added.
func (l *Limits) Add(c Client, nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxConns > 0 && len(l.clients)-l.evicted >= l.MaxConns && !l.evict() {
		return false
	}
	if l.clients == nil {
		l.clients = map[Client]*entry{}
	}
	e := &entry{}
	l.clients[c] = e
	if tcp, ok := nc.(interface{ SetReadBuffer(int) error }); ok && l.ReceiveBytes > 0 {
		size := min(maxReceive, max(minReceive, (l.ReceiveBytes-l.receive)/receiveShare))
		e.receive = size - minReceive
		l.receive += e.receive
		// The error is that of a closed connection.
		_ = tcp.SetReadBuffer(int(size))
	}
	return true
}

// Remove removes a client that is disconnected.
func (l *Limits) Remove(c Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.clients[c]
	if !ok {
		return
	}
	delete(l.clients, c)
	l.receive -= e.receive
	if e.evicted {
		l.evicted--
	}
}

// evict has the clients give way that have waited for the longest time. It reports whether there was one. The caller holds mu.
func (l *Limits) evict() bool {
	type waiting struct {
		client Client
		since  time.Time
	}
	var list []waiting
	for c, e := range l.clients {
		if since, ok := c.Waiting(); ok && !e.evicted {
			list = append(list, waiting{client: c, since: since})
		}
	}
	slices.SortFunc(list, func(a, b waiting) int { return a.since.Compare(b.since) })
	batch := max(1, l.MaxConns/evictedShare)
	for _, w := range list[:min(len(list), batch)] {
		l.clients[w.client].evicted = true
		w.client.Evict(l.evicted >= batch)
		l.evicted++
		if l.OnEvict != nil {
			l.OnEvict()
		}
	}
	return len(list) > 0
}
