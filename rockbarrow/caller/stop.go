// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
)

// lateBodyTime bounds the rest of a body whose head arrives when no request begins: one that was sent with its head is read.
const lateBodyTime = 200 * time.Millisecond

// Stop has the moments of a planned stop of an instance. The zero value is an instance that does not stop.
type Stop struct {
	// Late is done once no call and no run begins: a body that is not whole is refused.
	Late context.Context
	// Ended is done once the requests in progress get their last response.
	Ended context.Context
}

// late reports whether no call and no run begins.
func (s *Stop) late() bool { return s.Late != nil && s.Late.Err() != nil }

// limit returns a context that ends with the requests of a stopping instance.
func (s *Stop) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if s.Ended == nil {
		return ctx, cancel
	}
	release := context.AfterFunc(s.Ended, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// stopRefusal returns the reply to a request that does not begin because the instance stops. It certainly did not run if it has
// no id under which it may have been sent before.
func stopRefusal(id string) *peerpb.Problem {
	p := problem.Retry(problem.NotServing, "the instance stops before the request could end", problem.StopRetryAfter)
	if id == "" {
		p = problem.Certain(p)
	}
	return p
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return len(s.streams) }

// readBody reads the body within the time limit of a request, and until a stop begins no request. It returns
// os.ErrDeadlineExceeded if the body was not whole in time.
func (q *request) readBody() ([]byte, error) {
	s := q.server
	// Not every connection has deadlines. A deadline that passes while no body is read would cancel the request.
	rc := http.NewResponseController(q.w)
	limit, release := s.BodyTimeout, func() bool { return true }
	late := s.Stop.late()
	if late {
		limit = lateBodyTime
	}
	if limit > 0 {
		_ = rc.SetReadDeadline(time.Now().Add(limit))
	}
	if s.Stop.Late != nil && !late {
		release = context.AfterFunc(s.Stop.Late, func() { _ = rc.SetReadDeadline(time.Now()) })
	}
	var evicted atomic.Bool
	b, err := membudget.ReadAll(q.r.Context(), body(q.r), q.r.ContentLength, q.memory, func() {
		evicted.Store(true)
		_ = rc.SetReadDeadline(time.Unix(1, 0))
	})
	release()
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && evicted.Load() {
		err = &membudget.UsedUpError{Bytes: q.r.ContentLength}
	}
	return b, err
}

// memoryRefusal returns the reply to a request whose body has no room.
func (q *request) memoryRefusal() *peerpb.Problem {
	// The rest of the body is not awaited.
	q.w.Header().Set("Connection", "close")
	p := problem.Retry(problem.Overloaded, "the memory for bodies has no room", time.Second)
	if q.id() == "" {
		p = problem.Certain(p)
	}
	return p
}

// lateBody returns the reply to a body that was not whole in time, or nil if err is no such error.
func (q *request) lateBody(err error) *peerpb.Problem {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	// The rest of the body is not awaited.
	q.w.Header().Set("Connection", "close")
	if !q.server.Stop.late() {
		return problem.New(problem.BadRequest, "body: was not whole within "+q.server.BodyTimeout.String())
	}
	return stopRefusal(q.id())
}

// id returns what an earlier sending of the request may have run under, "" if there is nothing.
func (q *request) id() string {
	if id := q.r.Header.Get(HeaderKey); id != "" {
		return id
	}
	// A call of a run has an id by its sequence.
	return q.r.PathValue("run") + q.r.Header.Get(HeaderRun)
}
