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
// out, and no other call was answered since. The next call uses a new connection.
type silenceDetector struct {
	pool    *Pool
	address string
	// lastResponse is when the last answer arrived, in nanoseconds since 1970.
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
	if l.lastResponse.Load() < asked && c.GetState() == connectivity.Ready {
		l.pool.discard(l.address, c)
	}
	return err
}
