// SPDX-License-Identifier: MIT

package dial

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
)

const (
	// minPatience is how long the first connection in place of a silent one may be silent itself. A peer that is busy answers late,
	// and each new connection adds to its work; the time doubles with each up to maxPatience.
	minPatience = 400 * time.Millisecond
	maxPatience = 3200 * time.Millisecond
)

// patience returns how long a connection may be silent after a number of others that were.
func patience(replaced int) time.Duration {
	if replaced == 0 {
		return 0
	}
	return min(maxPatience, minPatience<<min(replaced-1, 8))
}

// silenceDetector detects stalled connections: the connection is ready, a call timed
// out, and nothing was received since. The next call uses a new connection.
type silenceDetector struct {
	pool    *Pool
	address string
	// since is when the connection was requested, and patience how long it may be without a first response.
	since    time.Time
	patience time.Duration
	// lastResponse is when the last message arrived, in nanoseconds since 1970.
	lastResponse atomic.Int64
}

// intercept is a grpc.UnaryClientInterceptor.
func (l *silenceDetector) intercept(ctx context.Context, method string, req, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	asked := time.Now().UnixNano()
	err := invoke(ctx, method, req, reply, c, opts...)
	if status.Code(err) != codes.DeadlineExceeded {
		if err == nil {
			l.received()
		}
		return err
	}
	l.timedOut(c, asked)
	return err
}

// received notes a response.
func (l *silenceDetector) received() {
	if l.lastResponse.Swap(time.Now().UnixNano()) == 0 {
		l.pool.answered(l.address)
	}
}

// timedOut replaces a connection on which nothing was received since asked.
func (l *silenceDetector) timedOut(c *grpc.ClientConn, asked int64) {
	last := l.lastResponse.Load()
	if last == 0 && time.Since(l.since) < l.patience {
		return
	}
	if last < asked && c.GetState() == connectivity.Ready {
		l.pool.discard(l.address, c)
	}
}

// interceptStream is a grpc.StreamClientInterceptor.
func (l *silenceDetector) interceptStream(ctx context.Context, desc *grpc.StreamDesc, c *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	s, err := streamer(ctx, desc, c, method, opts...)
	if err != nil {
		return nil, err
	}
	return &observedStream{ClientStream: s, detector: l}, nil
}

// observedStream records when messages of a stream arrive.
type observedStream struct {
	grpc.ClientStream
	detector *silenceDetector
}

// RecvMsg receives a message and records its arrival.
func (s *observedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err == nil {
		s.detector.received()
	}
	return err
}

// ReportTimeout reports that a call on a stream was not answered. The connection is
// replaced if nothing was received on it since the call was sent.
func (p *Pool) ReportTimeout(address string, c *grpc.ClientConn, sent time.Time) {
	p.mu.Lock()
	known := p.conns[address]
	p.mu.Unlock()
	if known != nil && known.ClientConn == c {
		known.detector.timedOut(c, sent.UnixNano())
	}
}
