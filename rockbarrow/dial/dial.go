// SPDX-License-Identifier: MIT

// Package dial maintains one gRPC connection to each peer instance.
//
// A partitioned peer sends no reset, so a connection closes itself once sent data
// stays unacknowledged for [unackedTimeout]. It is reestablished with short backoff,
// so that a peer is reachable within about a second of its return.
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
	// unackedTimeout is how long sent data may stay unacknowledged: some hundred times
	// a round trip between failure domains (3 ms), and well below the seconds within
	// which a change must be in force.
	unackedTimeout = 900 * time.Millisecond
	// connectTimeout bounds one TCP connection attempt, which takes a round trip (3 ms) and
	// some scheduling. The system retransmits a lost SYN only after a second, so that a
	// new attempt is faster.
	connectTimeout = 200 * time.Millisecond
	// handshakeTimeout bounds a connection attempt with the peer's first bytes. A peer that is
	// busy sends them late, and each further attempt adds to its work.
	handshakeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay between attempts. Both are short, so
	// that a client's retries reach a peer that has just restarted. An attempt costs
	// both sides about 0.1 ms.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// keepAliveInterval is how often an idle connection is probed, the shortest
	// interval that the system supports. A connection may stall while new ones work.
	keepAliveInterval = time.Second
	// pingInterval and pingTimeout let a server detect stalled connections. Clients
	// detect them sooner, by calls that time out.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	// closeDelay lets calls in progress on a replaced connection end. It exceeds
	// their timeouts.
	closeDelay = time.Second
	// bufferSize in bytes fits most messages. Larger buffers cost memory for each connection.
	bufferSize = 8 << 10
	// streamWorkers is the number of goroutines that a server reuses for calls, which
	// avoids growing a stack for each. Further calls get their own goroutines.
	streamWorkers = 8
	// windowSize in bytes is the flow-control window of connections and calls. A fixed
	// one disables gRPC's bandwidth estimation, which otherwise sends a ping and awaits
	// its answer for each message received, on both sides.
	// With 1 MB, stores gave no answer for some 270 ms at a time after a store was replaced.
	windowSize = 64 << 10
	// maxMessageSize in bytes fits a configuration of some thousand routes.
	maxMessageSize = 32 << 20
	// maxHeadBytes bounds the headers and trailers of a call in each direction. They have a few hundred bytes, and gRPC's
	// default is 16 MB.
	maxHeadBytes = 64 << 10
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// Pool holds the connections of a process. The zero value is ready for use.
type Pool struct {
	// Dial opens connections; nil means [Connect]. Set it before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*poolConn
	// silent counts by address the connections that were replaced since the last response.
	silent map[string]int
	// closed is set by Close, so that later calls do not leak a connection.
	closed bool
}

// ClosedError is returned if a connection is requested from a closed pool.
type ClosedError struct{ Address string }

// Error names the peer.
func (e *ClosedError) Error() string { return "dial: " + e.Address + ": pool is closed" }

// poolConn is a connection with the time of its last use.
type poolConn struct {
	*grpc.ClientConn
	lastUsed time.Time
	detector *silenceDetector
}

// idleTimeout is how long an unused connection is kept. Its peer was removed or moved.
const idleTimeout = time.Minute

// Get returns the connection to an address. It is established in the background.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{Address: address}
	}
	if c := p.conns[address]; c != nil {
		c.lastUsed = time.Now()
		return c.ClientConn, nil
	}
	dialer := p.Dial
	if dialer == nil {
		dialer = connectDefault
	}
	detector := &silenceDetector{pool: p, address: address, since: time.Now(), patience: patience(p.silent[address])}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: handshakeTimeout,
		}),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithStaticStreamWindowSize(windowSize), grpc.WithStaticConnWindowSize(windowSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.MaxCallSendMsgSize(maxMessageSize)),
		grpc.WithMaxHeaderListSize(maxHeadBytes), grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(0),
		grpc.WithUnaryInterceptor(detector.intercept), grpc.WithStreamInterceptor(detector.interceptStream),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "dial: %s", address)
	}
	if p.conns == nil {
		p.conns = map[string]*poolConn{}
	}
	p.conns[address] = &poolConn{ClientConn: c, lastUsed: time.Now(), detector: detector}
	return c, nil
}

// discard makes the next call to an address use a new connection. Calls in progress
// on c may still end.
func (p *Pool) discard(address string, c *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil || p.conns[address].ClientConn != c {
		return
	}
	delete(p.conns, address)
	if p.silent == nil {
		p.silent = map[string]int{}
	}
	p.silent[address]++
	time.AfterFunc(closeDelay, func() { c.Close() })
}

// answered notes a response of a peer.
func (p *Pool) answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silent, address)
}

// Release closes the connection to a peer. Calls in progress may still end.
func (p *Pool) Release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		delete(p.conns, address)
		time.AfterFunc(closeDelay, func() { c.Close() })
	}
}

// CloseIdle closes connections that have not been used for idleTimeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if now.Sub(c.lastUsed) > idleTimeout {
			c.Close()
			delete(p.conns, address)
			delete(p.silent, address)
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

// NewServer returns a gRPC server with limits that match those of the pool, and further options.
func NewServer(options ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append([]grpc.ServerOption{
		grpc.NumStreamWorkers(streamWorkers),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.StaticStreamWindowSize(windowSize), grpc.StaticConnWindowSize(windowSize),
		grpc.MaxRecvMsgSize(maxMessageSize), grpc.MaxSendMsgSize(maxMessageSize), grpc.MaxHeaderListSize(maxHeadBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	}, options...)...)
}

func connectDefault(ctx context.Context, address string) (net.Conn, error) {
	return Connect(ctx, address, unackedTimeout)
}

// Connect opens a TCP connection that closes itself once sent data or keep-alive
// probes stay unacknowledged.
func Connect(ctx context.Context, address string, dead time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1},
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
