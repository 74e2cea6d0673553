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
	wholeBody = 256 << 10
	// readSize in bytes holds some events of a stream.
	readSize = 4 << 10
)

// broken gives a place back whose answer was lost on its way, and says so.
func (x *exchange) broken(done func(placement.Result), r placement.Result, reason string) error {
	done(r)
	x.avoid = append(x.avoid, x.endpoint)
	return &OutcomeUnknownError{Endpoint: x.endpoint.EndpointID, Reason: reason}
}

// lost notes that the endpoint ended the answer midway, unless the client has left.
func (x *exchange) lost(ctx context.Context) {
	if ctx.Err() == nil {
		x.place.RecordConnectionLoss()
	}
}

// passWhole hands an answer on that is not events. It returns an error if the answer
// was lost before its first byte was passed on.
func (x *exchange) passWhole(ctx context.Context, a *Response, done func(placement.Result)) (Outcome, error) {
	defer a.Body.Close()
	if x.started {
		// Only events can follow the head that the client has.
		return nil, x.broken(done, placement.Result{}, "resumed with status "+http.StatusText(a.Status))
	}
	whole, err := io.ReadAll(io.LimitReader(a.Body, wholeBody+1))
	if err != nil {
		x.lost(ctx)
		return nil, x.broken(done, placement.Result{}, err.Error())
	}
	failed := a.Status >= http.StatusInternalServerError
	if failed && x.mayFailOver() {
		return nil, x.broken(done, placement.Result{}, http.StatusText(a.Status))
	}
	x.status = a.Status
	if len(whole) <= wholeBody {
		done(placement.Result{OK: !failed})
		x.out.Start(a.Status, a.Header, int64(len(whole)))
		return x.write(whole), nil
	}
	x.out.Start(a.Status, a.Header, a.ContentLength)
	if o := x.write(whole); o != (Completed{}) {
		done(placement.Result{OK: true})
		return o, nil
	}
	_, err = io.Copy(writerOf(x.out), a.Body)
	done(placement.Result{OK: err == nil})
	if err != nil {
		x.lost(ctx)
		return Aborted{Reason: err.Error()}, nil
	}
	return Completed{}, nil
}

// mayFailOver reports whether another endpoint may be asked after this one's own
// failure.
func (x *exchange) mayFailOver() bool {
	return x.way.repeatable && x.runs+1 < int(x.route.GetMaxAttempts()) && x.offers < maxOffers
}

// passEvents hands events on as they come, each one whole: an endpoint may stop inside
// an event, and another one then begins with the event that the client lacks. It
// returns an error if the stream broke off.
func (x *exchange) passEvents(ctx context.Context, a *Response, done func(placement.Result), p *pauses) (Outcome, error) {
	defer a.Body.Close()
	x.startEvents(a)
	buf := make([]byte, readSize)
	for {
		n, err := a.Body.Read(buf)
		x.events.scan(buf[:n])
		if whole := x.events.take(); len(whole) > 0 {
			p.event()
			if failed := x.out.Write(whole); failed != nil {
				done(placement.Result{OK: true})
				return Aborted{Reason: "the client left: " + failed.Error()}, nil
			}
		}
		switch {
		case err == io.EOF && x.events.whole():
			done(placement.Result{OK: true})
			return Completed{}, nil
		case err == io.EOF:
			return nil, x.broken(done, placement.Result{}, "the stream ended inside an event")
		case err != nil:
			x.lost(ctx)
			return nil, x.broken(done, placement.Result{OK: ctx.Err() != nil}, "the stream broke off: "+err.Error())
		}
	}
}

// startEvents passes the head on. Of a stream that is resumed, the client keeps the
// head of the first endpoint.
func (x *exchange) startEvents(a *Response) {
	if !x.started {
		x.started, x.status = true, a.Status
		x.out.Start(a.Status, a.Header, -1)
	}
	x.events.begin()
}

func (x *exchange) write(b []byte) Outcome {
	if err := x.out.Write(b); err != nil {
		return Aborted{Reason: "the client left: " + err.Error()}
	}
	return Completed{}
}

// outWriter makes an Out a writer.
type outWriter struct{ out ResponseWriter }

func writerOf(out ResponseWriter) io.Writer { return outWriter{out: out} }

// Write passes a part on.
func (w outWriter) Write(b []byte) (int, error) {
	if err := w.out.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}
