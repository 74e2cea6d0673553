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

// listener notices when a connection has fallen silent: it is up, and a call had no
// answer in its time, nor had any other call since. The next call takes a new one.
type listener struct {
	pool    *Pool
	address string
	// heard is when the last answer came, in nanoseconds since 1970.
	heard atomic.Int64
}

// call is a grpc.UnaryClientInterceptor.
func (l *listener) call(ctx context.Context, method string, req, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	asked := time.Now().UnixNano()
	err := invoke(ctx, method, req, reply, c, opts...)
	if status.Code(err) != codes.DeadlineExceeded {
		if err == nil {
			l.heard.Store(time.Now().UnixNano())
		}
		return err
	}
	if l.heard.Load() < asked && c.GetState() == connectivity.Ready {
		l.pool.replace(l.address, c)
	}
	return err
}
