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
	if x.headWritten {
		// The client has the header of an event stream.
		return nil, x.responseUnusable(done, resp.Status, "resumed with status ")
	}
	x.streamStarted = false
	answer, err := x.readAnswer(resp)
	defer answer.release()
	if err != nil {
		x.lossCause = err
		x.recordRefused(err)
		x.recordLost(ctx)
		return nil, x.responseLost(done, placement.Result{}, err.Error())
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed && x.canFailOver() {
		return nil, x.responseUnusable(done, resp.Status, "")
	}
	if answer.complete {
		done(placement.Result{OK: !failed})
		x.endSlot()
		x.writeHead(resp, int64(len(answer.body)))
		return x.write(answer.body), nil
	}
	if len(answer.body) > 0 {
		x.writeHead(resp, resp.ContentLength)
		if o := x.write(answer.body); o != (Completed{}) {
			done(placement.Result{OK: true})
			return o, nil
		}
	}
	_, err = io.CopyBuffer(bodyWriter{exchange: x, resp: resp}, resp.Body, answer.copyBuffer())
	if err != nil && !x.headWritten {
		x.lossCause = err
		x.recordRefused(err)
		x.recordLost(ctx)
		return nil, x.responseLost(done, placement.Result{}, err.Error())
	}
	x.writeHead(resp, resp.ContentLength)
	done(placement.Result{OK: err == nil})
	if err != nil {
		x.recordRefused(err)
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
	x.startEventStream()
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
			x.writeHead(resp, -1)
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
			return x.afterPart(x.recordMemoryError(chargeErr), "the stream was not buffered: "+chargeErr.Error()), nil
		}
		switch {
		case err == io.EOF && x.events.isComplete():
			x.writeHead(resp, -1)
			done(placement.Result{OK: true, Stream: timer.timing(x.events.count, x.service.GetTokensPerEvent())})
			return Completed{}, nil
		case err == io.EOF:
			x.lossCause = err
			return nil, x.responseLost(done, placement.Result{}, "the stream ended inside an event")
		case err != nil:
			x.lossCause = err
			x.recordRefused(err)
			x.recordLost(ctx)
			return nil, x.responseLost(done, placement.Result{OK: ctx.Err() != nil}, "the stream broke off: "+err.Error())
		}
	}
}

// startEventStream begins with the events of an endpoint. The header is forwarded with the first of them: a client that has
// nothing yet can be told that the response was lost.
func (x *exchange) startEventStream() {
	x.streamStarted = true
	x.events.startSource()
}

// writeHead forwards the status and the header, unless those of an earlier response were forwarded. A part of the body, or its
// end, follows.
func (x *exchange) writeHead(resp *Response, length int64) {
	if x.headWritten {
		return
	}
	x.headWritten, x.status = true, resp.Status
	x.writer.Start(resp.Status, resp.Header, length)
}

// afterPart returns the outcome of a request that may have run and gets no more bytes.
func (x *exchange) afterPart(by Step, reason string) Outcome {
	if x.headWritten {
		return Aborted{Reason: reason}
	}
	return Rejected{Status: http.StatusBadGateway, Reason: reason, By: by}
}

func (x *exchange) write(b []byte) Outcome {
	if err := x.writer.Write(b); err != nil {
		return Aborted{Reason: "the client left: " + err.Error()}
	}
	return Completed{}
}

// bodyWriter implements [io.Writer]. The header is forwarded with the first bytes.
type bodyWriter struct {
	exchange *exchange
	resp     *Response
}

func (w bodyWriter) Write(b []byte) (int, error) {
	w.exchange.writeHead(w.resp, w.resp.ContentLength)
	if err := w.exchange.writer.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}
