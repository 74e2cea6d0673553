// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/placement"
)

const (
	// maxBufferedBody is the largest body in bytes that is read completely before its first
	// byte is forwarded, so that the request can be repeated if the response is lost.
	maxBufferedBody = 256 << 10
	// readBufferSize is the size in bytes of reads from event streams.
	readBufferSize = 4 << 10
)

// responseLost releases the slot of an endpoint whose response was lost and returns the error.
func (x *exchange) responseLost(done func(placement.Result), r placement.Result, reason string) *OutcomeUnknownError {
	done(r)
	x.avoid = append(x.avoid, x.endpoint)
	return &OutcomeUnknownError{Endpoint: x.endpoint.EndpointID, Reason: reason}
}

// responseUnusable is responseLost for a whole response that can't be forwarded.
func (x *exchange) responseUnusable(done func(placement.Result), status int, reason string) error {
	err := x.responseLost(done, placement.Result{}, reason+http.StatusText(status))
	err.Answered = true
	return err
}

// recordLost counts a response that the endpoint broke off. After a disconnect of the client it
// does nothing.
func (x *exchange) recordLost(ctx context.Context) {
	if ctx.Err() == nil {
		x.chosen.RecordConnectionLoss()
	}
}

// forwardBuffered forwards a response that is no event stream. It returns an error if the
// response was lost before its first byte was forwarded.
func (x *exchange) forwardBuffered(ctx context.Context, resp *Response, done func(placement.Result)) (Outcome, error) {
	defer resp.Body.Close()
	if x.streamStarted {
		// The client has the header of an event stream.
		return nil, x.responseUnusable(done, resp.Status, "resumed with status ")
	}
	answer, err := x.readAnswer(resp)
	defer answer.release()
	if err != nil {
		x.lossCause = err
		x.recordOversized(err)
		x.recordLost(ctx)
		return nil, x.responseLost(done, placement.Result{}, err.Error())
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed && x.canFailOver() {
		return nil, x.responseUnusable(done, resp.Status, "")
	}
	x.status = resp.Status
	if answer.complete {
		done(placement.Result{OK: !failed})
		x.endSlot()
		x.writer.Start(resp.Status, resp.Header, int64(len(answer.body)))
		return x.write(answer.body), nil
	}
	x.writer.Start(resp.Status, resp.Header, resp.ContentLength)
	if o := x.write(answer.body); o != (Completed{}) {
		done(placement.Result{OK: true})
		return o, nil
	}
	_, err = io.CopyBuffer(newBodyWriter(x.writer), resp.Body, answer.copyBuffer())
	done(placement.Result{OK: err == nil})
	if err != nil {
		x.recordOversized(err)
		x.recordLost(ctx)
		x.bodyLost, x.lossCause = true, err
		return Aborted{Reason: err.Error()}, nil
	}
	return Completed{}, nil
}

// canFailOver reports whether the request may be repeated after an error response.
func (x *exchange) canFailOver() bool {
	return x.handling.repeatable && x.failedExecutions+1 < int(x.route.GetMaxAttempts()) && x.dispatches < maxDispatches && x.mayBeginAttempt()
}

// forwardEvents forwards each event once it is complete, so that another endpoint can resume
// the stream if this one stops inside an event. It returns an error if the stream broke off.
func (x *exchange) forwardEvents(ctx context.Context, resp *Response, done func(placement.Result), stalls *stallDetector) (Outcome, error) {
	defer resp.Body.Close()
	x.startEventStream(resp)
	buf := make([]byte, readBufferSize)
	timer := streamTimer{sent: x.sentAt, startCount: x.events.count}
	for {
		n, err := resp.Body.Read(buf)
		x.events.scan(buf[:n])
		if complete := x.events.takeComplete(); len(complete) > 0 {
			stalls.recordProgress()
			x.progressAt = time.Now()
			timer.recordEvents(x.progressAt, x.events.count)
			write := x.writer.Write
			if err == io.EOF && x.events.isComplete() && !x.handling.history {
				// The response ends right after this. A turn with history is stored before.
				write = x.writer.WriteLast
			}
			if writeErr := write(complete); writeErr != nil {
				done(placement.Result{OK: true})
				return Aborted{Reason: "the client left: " + writeErr.Error()}, nil
			}
			timer.recordWritten(time.Now())
		}
		if limitErr := x.events.checkLimits(); limitErr != nil {
			err = limitErr
		} else if chargeErr := x.chargeStream(ctx); chargeErr != nil {
			done(placement.Result{OK: true})
			return Aborted{Reason: "the stream was not buffered: " + chargeErr.Error()}, nil
		}
		switch {
		case err == io.EOF && x.events.isComplete():
			done(placement.Result{OK: true, Stream: timer.timing(x.events.count, x.service.GetTokensPerEvent())})
			return Completed{}, nil
		case err == io.EOF:
			x.lossCause = err
			return nil, x.responseLost(done, placement.Result{}, "the stream ended inside an event")
		case err != nil:
			x.lossCause = err
			x.recordOversized(err)
			x.recordLost(ctx)
			return nil, x.responseLost(done, placement.Result{OK: ctx.Err() != nil}, "the stream broke off: "+err.Error())
		}
	}
}

// startEventStream forwards the header, unless an earlier endpoint's header was forwarded.
func (x *exchange) startEventStream(resp *Response) {
	if !x.streamStarted {
		x.streamStarted, x.status = true, resp.Status
		x.writer.Start(resp.Status, resp.Header, -1)
	}
	x.events.startSource()
}

func (x *exchange) write(b []byte) Outcome {
	if err := x.writer.Write(b); err != nil {
		return Aborted{Reason: "the client left: " + err.Error()}
	}
	return Completed{}
}

// bodyWriter implements [io.Writer] on a ResponseWriter.
type bodyWriter struct{ writer ResponseWriter }

func newBodyWriter(w ResponseWriter) io.Writer { return bodyWriter{writer: w} }

func (w bodyWriter) Write(b []byte) (int, error) {
	if err := w.writer.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}
