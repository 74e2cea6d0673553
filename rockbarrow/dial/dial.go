// SPDX-License-Identifier: MIT

// Package dial keeps one gRPC connection to each peer instance.
//
// A peer that is cut off says nothing, so a connection ends by itself once bytes
// stay unacknowledged for [deadAfter], and is made again with short pauses: the
// peer is reached within about a second of its return.
package dial

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// deadAfter is how long sent bytes may stay unacknowledged. It is some
	// hundred times a round trip between failure domains (3 ms) and well under
	// the seconds within which a change must be in force.
	deadAfter = 900 * time.Millisecond
	// connectWithin bounds one attempt to connect, which takes a round trip (3 ms) and
	// some scheduling. A lost first packet is sent again by the system only after a
	// second, so that a new attempt is sooner there.
	connectWithin = 200 * time.Millisecond
	// firstPause and longestPause lie between attempts. After a loss of power of all, a
	// client's turn has some 0.6 s of pauses between its tries, of which a process's start
	// takes part; an attempt to connect costs both sides some 0.1 ms.
	firstPause   = 50 * time.Millisecond
	longestPause = 150 * time.Millisecond
	// probeEvery is how often a connection at rest is probed, the shortest that the
	// system allows. A connection may fall silent for good while new ones work.
	probeEvery = time.Second
	// pingEvery and pingWithin are how a server notices that a client's connection has
	// fallen silent; the client notices sooner, by its calls.
	pingEvery  = 10 * time.Second
	pingWithin = 3 * time.Second
	// lastCalls is how long calls under way on a silent connection may still end: longer
	// than the time that any of them has.
	lastCalls = time.Second
	// bufferSize in bytes fits most messages; more would cost memory for each
	// connection.
	bufferSize = 8 << 10
	// streamWorkers is how many goroutines a server keeps for its calls, which saves growing a stack for each of
	// them. While all are taken, calls get goroutines of their own.
	streamWorkers = 8
	// maxMessage in bytes fits a configuration of some thousand routes.
	maxMessage = 32 << 20
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// Pool holds the connections of one process. The zero value is ready.
type Pool struct {
	// Dial makes connections; nil is [Connect]. Set it before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*pooled
	// closed is true once Close was called. A call in the background may come later, and
	// would make a connection that nobody closes.
	closed bool
}

// ClosedError says that a connection was asked for after the pool was closed.
type ClosedError struct{ Address string }

// Error names the peer.
func (e *ClosedError) Error() string { return "dial: " + e.Address + ": the pool is closed" }

// pooled is a connection with the time of its last use.
type pooled struct {
	*grpc.ClientConn
	used time.Time
}

// unusedFor is how long a connection is kept that nobody asks for: its peer was
// taken away or moved.
const unusedFor = time.Minute

// Get returns the connection to an address; it is made in the background.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{Address: address}
	}
	if c := p.conns[address]; c != nil {
		c.used = time.Now()
		return c.ClientConn, nil
	}
	dialer := p.Dial
	if dialer == nil {
		dialer = connect
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstPause, Multiplier: 1.6, Jitter: 0.2, MaxDelay: longestPause},
			MinConnectTimeout: connectWithin,
		}),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(0),
		grpc.WithUnaryInterceptor((&listener{pool: p, address: address}).call),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "dial: %s", address)
	}
	if p.conns == nil {
		p.conns = map[string]*pooled{}
	}
	p.conns[address] = &pooled{ClientConn: c, used: time.Now()}
	return c, nil
}

// replace makes the next call to an address go over a new connection. Calls under way on
// the old one may still end.
func (p *Pool) replace(address string, c *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil || p.conns[address].ClientConn != c {
		return
	}
	delete(p.conns, address)
	time.AfterFunc(lastCalls, func() { c.Close() })
}

// Release closes the connection to a peer that is not called for now. Calls under way may still end.
func (p *Pool) Release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		delete(p.conns, address)
		time.AfterFunc(lastCalls, func() { c.Close() })
	}
}

// CloseIdle closes connections that were not used for long.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if now.Sub(c.used) > unusedFor {
			c.Close()
			delete(p.conns, address)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns, p.closed = nil, true
}

// NewServer returns a gRPC server with the buffers that fit the pool's messages.
func NewServer() *grpc.Server {
	return grpc.NewServer(
		grpc.NumStreamWorkers(streamWorkers),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingWithin}),
	)
}

func connect(ctx context.Context, address string) (net.Conn, error) {
	return Connect(ctx, address, deadAfter)
}

// Connect opens a TCP connection that ends once sent bytes stay unacknowledged
// for a time, or probes of a connection at rest do.
func Connect(ctx context.Context, address string, dead time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectWithin,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: 1},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(dead.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
