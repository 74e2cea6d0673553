// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net/http"

	"rockbarrow.dev/rockbarrow/placement"
)

const (
	// wholeBody in bytes is the largest answer that is read whole before its
	// first byte is passed on, so that a lost one can be asked for again.
	maxBufferedBody = 256 << 10
	// readSize in bytes holds some events of a stream.
	readBufferSize = 4 << 10
)

// broken gives a place back whose answer was lost on its way, and says so.
func (x *exchange) responseLost(done func(placement.Result), r placement.Result, reason string) error {
	done(r)
	x.avoid = append(x.avoid, x.endpoint)
	return &OutcomeUnknownError{Endpoint: x.endpoint.EndpointID, Reason: reason}
}

// lost notes that the endpoint ended the answer midway, unless the client has left.
func (x *exchange) recordLost(ctx context.Context) {
	if ctx.Err() == nil {
		x.chosen.RecordConnectionLoss()
	}
}

// passWhole hands an answer on that is not events. It returns an error if the answer
// was lost before its first byte was passed on.
func (x *exchange) forwardBuffered(ctx context.Context, a *Response, done func(placement.Result)) (Outcome, error) {
	defer a.Body.Close()
	if x.headSent {
		// Only events can follow the head that the client has.
		return nil, x.responseLost(done, placement.Result{}, "resumed with status "+http.StatusText(a.Status))
	}
	whole, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBody+1))
	if err != nil {
		x.recordLost(ctx)
		return nil, x.responseLost(done, placement.Result{}, err.Error())
	}
	failed := a.Status >= http.StatusInternalServerError
	if failed && x.canFailOver() {
		return nil, x.responseLost(done, placement.Result{}, http.StatusText(a.Status))
	}
	x.status = a.Status
	if len(whole) <= maxBufferedBody {
		done(placement.Result{OK: !failed})
		x.writer.Start(a.Status, a.Header, int64(len(whole)))
		return x.write(whole), nil
	}
	x.writer.Start(a.Status, a.Header, a.ContentLength)
	if o := x.write(whole); o != (Completed{}) {
		done(placement.Result{OK: true})
		return o, nil
	}
	_, err = io.Copy(newBodyWriter(x.writer), a.Body)
	done(placement.Result{OK: err == nil})
	if err != nil {
		x.recordLost(ctx)
		return Aborted{Reason: err.Error()}, nil
	}
	return Completed{}, nil
}

// mayFailOver reports whether another endpoint may be asked after this one's own
// failure.
func (x *exchange) canFailOver() bool {
	return x.handling.repeatable && x.executions+1 < int(x.route.GetMaxAttempts()) && x.dispatches < maxDispatches
}

// passEvents hands events on as they come, each one whole: an endpoint may stop inside
// an event, and another one then begins with the event that the client lacks. It
// returns an error if the stream broke off.
func (x *exchange) forwardEvents(ctx context.Context, a *Response, done func(placement.Result), p *stallDetector) (Outcome, error) {
	defer a.Body.Close()
	x.startEventStream(a)
	buf := make([]byte, readBufferSize)
	for {
		n, err := a.Body.Read(buf)
		x.events.scan(buf[:n])
		if whole := x.events.takeComplete(); len(whole) > 0 {
			p.recordProgress()
			if failed := x.writer.Write(whole); failed != nil {
				done(placement.Result{OK: true})
				return Aborted{Reason: "the client left: " + failed.Error()}, nil
			}
		}
		switch {
		case err == io.EOF && x.events.isComplete():
			done(placement.Result{OK: true})
			return Completed{}, nil
		case err == io.EOF:
			return nil, x.responseLost(done, placement.Result{}, "the stream ended inside an event")
		case err != nil:
			x.recordLost(ctx)
			return nil, x.responseLost(done, placement.Result{OK: ctx.Err() != nil}, "the stream broke off: "+err.Error())
		}
	}
}

// startEvents passes the head on. Of a stream that is resumed, the client keeps the
// head of the first endpoint.
func (x *exchange) startEventStream(a *Response) {
	if !x.headSent {
		x.headSent, x.status = true, a.Status
		x.writer.Start(a.Status, a.Header, -1)
	}
	x.events.startSource()
}

func (x *exchange) write(b []byte) Outcome {
	if err := x.writer.Write(b); err != nil {
		return Aborted{Reason: "the client left: " + err.Error()}
	}
	return Completed{}
}

// outWriter makes an Out a writer.
type bodyWriter struct{ writer ResponseWriter }

func newBodyWriter(out ResponseWriter) io.Writer { return bodyWriter{writer: out} }

// Write passes a part on.
func (w bodyWriter) Write(b []byte) (int, error) {
	if err := w.writer.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}
