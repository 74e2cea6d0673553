// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxStreamedCall in bytes is the size up to which a call is sent on the stream,
	// so that small calls do not wait behind large ones.
	maxStreamedCall = 8 << 10
	// maxUnanswered in bytes limits the calls of a stream that have no reply. It is
	// below the 64 KB that gRPC takes from a stream before sending blocks.
	maxUnanswered = 48 << 10
	// reopenDelay is the time before a stream that failed is opened again, and
	// unsupportedDelay that for a store of a version without streams.
	reopenDelay      = 200 * time.Millisecond
	unsupportedDelay = 30 * time.Second
)

// callStreams holds the streams of calls to stores. The zero value is ready to use.
type callStreams struct {
	mu sync.Mutex
	// byAddress holds the streams that are open or being opened, and those that have
	// ended until another may be opened.
	byAddress map[string]*callStream
	// open holds the streams that may have pending calls.
	open map[*callStream]bool

	timerMu sync.Mutex
	// timer calls checkTimeouts at timerDue, which is zero while no call is pending.
	// One timer for all calls, instead of two for each, avoids most wake-ups of an
	// idle process.
	timer    *time.Timer
	timerDue time.Time
}

// stream returns the stream to a store, or nil if unary calls must be used. It opens
// the stream in the background, so that it never waits for a connection.
func (c *Client) stream(address string) *callStream {
	conn, err := c.Pool.Get(address)
	if err != nil {
		return nil
	}
	c.streams.mu.Lock()
	defer c.streams.mu.Unlock()
	s := c.streams.byAddress[address]
	if s == nil || s.conn != conn {
		if c.streams.byAddress == nil {
			c.streams.byAddress = map[string]*callStream{}
		}
		s = &callStream{client: c, address: address, conn: conn, pending: map[uint64]*streamedCall{}}
		c.streams.byAddress[address] = s
		go s.run()
	}
	return s
}

func (c *callStreams) add(s *callStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*callStream]bool{}
	}
	c.open[s] = true
}

// remove removes a stream that has ended. Another one may be opened after a delay.
func (c *callStreams) remove(s *callStream, reopenDelay time.Duration) {
	c.mu.Lock()
	delete(c.open, s)
	c.mu.Unlock()
	// There may be no further call to the address, so that a check at the next call
	// would keep the connection of each store that disappears.
	time.AfterFunc(reopenDelay, func() { c.forget(s) })
}

func (c *callStreams) forget(s *callStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress[s.address] == s {
		delete(c.byAddress, s.address)
	}
}

// checkBy makes checkTimeouts run at due or earlier.
func (c *callStreams) checkBy(due time.Time) {
	c.timerMu.Lock()
	defer c.timerMu.Unlock()
	if !c.timerDue.IsZero() && !due.Before(c.timerDue) {
		return
	}
	c.timerDue = due
	if c.timer == nil {
		c.timer = time.AfterFunc(time.Until(due), c.checkTimeouts)
		return
	}
	c.timer.Reset(time.Until(due))
}

// checkTimeouts handles the timeouts of all streams and schedules the next check.
func (c *callStreams) checkTimeouts() {
	c.timerMu.Lock()
	c.timerDue = time.Time{}
	c.timerMu.Unlock()
	c.mu.Lock()
	streams := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	now := time.Now()
	for _, s := range streams {
		if next := s.checkTimeouts(now); !next.IsZero() {
			c.checkBy(next)
		}
	}
}

// callStream carries calls to one store over one connection.
type callStream struct {
	client  *Client
	address string
	conn    *grpc.ClientConn

	mu sync.Mutex
	// stream is nil until the store has confirmed it, and once it has ended.
	stream fleetpb.Store_CallsClient
	lastID uint64
	// encoded is the buffer of send.
	encoded []byte
	// pending holds the calls without a reply by id, including those that have
	// timed out: their bytes may still wait to be sent.
	pending    map[uint64]*streamedCall
	unanswered int
	ended      bool
}

// streamedCall is a call that has no reply yet.
type streamedCall struct {
	started time.Time
	size    int
	// slow is called once if there is no reply within unresponsiveAfter.
	slow func(started time.Time)
	// done is called once with the reply or an error. It must not block.
	done func(r *fleetpb.StoreCallReply, started time.Time, err error)
	// reported is true once slow was called, timedOut once done was called with a
	// timeout.
	reported, timedOut bool
}

// notHandledError reports that a store ended the stream without handling a call.
type notHandledError struct{}

func (e *notHandledError) Error() string { return "the store ended the stream of calls" }

// send sends a call unless the stream is not open, the call is too large or too
// much is unanswered. It never blocks. It returns an [encodingError] if the call
// can't be sent at all; gRPC would end the stream, with the calls of other requests.
func (s *callStream) send(call *fleetpb.StoreCall, p *streamedCall) (sent bool, err error) {
	p.size = proto.Size(call)
	if p.size > maxStreamedCall {
		return false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil || s.unanswered+p.size > maxUnanswered {
		return false, nil
	}
	if s.encoded, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(s.encoded[:0], call); err != nil {
		return false, &encodingError{reason: err}
	}
	s.lastID++
	call.Id = s.lastID
	if s.stream.Send(call) != nil {
		// The stream has ended before the call was sent; run handles the others.
		return false, nil
	}
	p.started = time.Now()
	s.pending[call.GetId()] = p
	s.unanswered += p.size
	s.client.streams.checkBy(p.started.Add(unresponsiveAfter))
	return true, nil
}

// run opens the stream and receives replies until it ends.
func (s *callStream) run() {
	stream, err := fleetpb.NewStoreClient(s.conn).Calls(context.Background())
	if err == nil {
		// Stores of older versions answer with an error here.
		_, err = stream.Recv()
	}
	if err != nil {
		s.end(err)
		return
	}
	s.client.streams.add(s)
	s.mu.Lock()
	s.stream = stream
	s.mu.Unlock()
	for {
		r, err := stream.Recv()
		if err != nil {
			s.end(err)
			return
		}
		s.receive(r)
	}
}

func (s *callStream) receive(r *fleetpb.StoreCallReply) {
	s.mu.Lock()
	p, late := s.pending[r.GetId()], false
	if p != nil {
		late = p.timedOut
		delete(s.pending, r.GetId())
		s.unanswered -= p.size
	}
	s.mu.Unlock()
	if p == nil || late {
		return
	}
	if reason, failed := r.GetReply().(*fleetpb.StoreCallReply_Error); failed {
		p.done(nil, p.started, errors.New(reason.Error))
		return
	}
	p.done(r, p.started, nil)
}

// end fails the pending calls as the loss of their connection fails unary calls.
// Calls that the store certainly did not handle may be repeated.
func (s *callStream) end(err error) {
	s.mu.Lock()
	var failed []*streamedCall
	for _, p := range s.pending {
		if !p.timedOut {
			failed = append(failed, p)
		}
	}
	s.pending, s.stream = nil, nil
	s.ended = true
	s.mu.Unlock()
	delay := reopenDelay
	if status.Code(err) == codes.Unimplemented {
		delay = unsupportedDelay
	}
	s.client.streams.remove(s, delay)
	if err == io.EOF {
		err = &notHandledError{}
	}
	for _, p := range failed {
		p.done(nil, p.started, err)
	}
}

// checkTimeouts reports calls that are unanswered for unresponsiveAfter and fails
// those unanswered for callTimeout. It returns when the next check is due, zero if
// no call is pending.
func (s *callStream) checkTimeouts(now time.Time) (next time.Time) {
	var slow, failed []*streamedCall
	s.mu.Lock()
	for _, p := range s.pending {
		age := now.Sub(p.started)
		if p.timedOut {
			continue
		}
		if age >= callTimeout {
			p.reported, p.timedOut = true, true
			failed = append(failed, p)
			continue
		}
		due := p.started.Add(unresponsiveAfter)
		if age >= unresponsiveAfter {
			due = p.started.Add(callTimeout)
			if !p.reported {
				p.reported = true
				slow = append(slow, p)
			}
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	s.mu.Unlock()
	for _, p := range slow {
		p.slow(p.started)
	}
	for _, p := range failed {
		s.client.Pool.ReportTimeout(s.address, s.conn, p.started)
		p.done(nil, p.started, status.FromContextError(context.DeadlineExceeded).Err())
	}
	return next
}
