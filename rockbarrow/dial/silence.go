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

// silenceDetector detects stalled connections: the connection is ready, a call timed
// out, and nothing was received since. The next call uses a new connection.
type silenceDetector struct {
	pool    *Pool
	address string
	// lastResponse is when the last message arrived, in nanoseconds since 1970.
	lastResponse atomic.Int64
}

// intercept is a grpc.UnaryClientInterceptor.
func (l *silenceDetector) intercept(ctx context.Context, method string, req, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	asked := time.Now().UnixNano()
	err := invoke(ctx, method, req, reply, c, opts...)
	if status.Code(err) != codes.DeadlineExceeded {
		if err == nil {
			l.lastResponse.Store(time.Now().UnixNano())
		}
		return err
	}
	l.timedOut(c, asked)
	return err
}

// timedOut replaces a connection on which nothing was received since asked.
func (l *silenceDetector) timedOut(c *grpc.ClientConn, asked int64) {
	if l.lastResponse.Load() < asked && c.GetState() == connectivity.Ready {
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
		s.detector.lastResponse.Store(time.Now().UnixNano())
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
