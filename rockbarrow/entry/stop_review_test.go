// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pausingSender answers the first attempt after a pause, unless the attempt is given up, and further ones at once.
type pausingSender struct {
	// before is sent ahead of the pause.
	before, after string
	pause         time.Duration
	// begun is called once the first attempt has begun.
	begun func()
	runs  int
}

func (s *pausingSender) Send(ctx context.Context, r EndpointRequest) (*Response, error) {
	s.runs++
	if s.runs > 1 {
		return respond(http.StatusOK, s.after)(r)
	}
	s.begun()
	if s.before == "" {
		select {
		case <-time.After(s.pause):
			return respond(http.StatusOK, s.after)(r)
		case <-ctx.Done():
			return connectionReset(r)
		}
	}
	read, write := io.Pipe()
	go func() {
		// The reader is closed if the attempt is given up.
		io.WriteString(write, s.before)
		<-time.After(s.pause)
		io.WriteString(write, s.after)
		write.Close()
	}()
	context.AfterFunc(ctx, func() { read.CloseWithError(ctx.Err()) })
	return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: read}, nil
}

// TestAStopKeepsAStreamThatPauses guards against a stopping instance that gives up a stream because its endpoint pauses, for another
// endpoint to resume it, and then does not let another one resume it: the client's answer is cut long before the end of the stop.
func TestAStopKeepsAStreamThatPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausingSender{before: event(1), after: events(2, 3), pause: stallTimeout + 500*time.Millisecond}
		e := newStreamEntry(t, startStores(t), s)
		start := time.Now()
		// The route's limit is 5 s.
		s.begun = func() { e.Stop(Stop{Removed: time.Now(), End: time.Now().Add(4 * time.Second)}) }
		w := &fakeWriter{}
		o := e.Serve(t.Context(), newTurn("r", "1", "", 0), w)
		if o != (Completed{}) || w.body.String() != events(1, 3) {
			t.Errorf("%#v after %v and %d attempts, %q", o, time.Since(start), s.runs, w.body.String())
		}
	})
}

// TestAStopKeepsAnAttemptWithoutARetry guards against a stopping instance that gives up an attempt to leave time for another one, and
// then does not begin that: the request fails although there is time for either.
func TestAStopKeepsAnAttemptWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausingSender{after: "ok", pause: 600 * time.Millisecond}
		e := newEntry(t, s)
		start := time.Now()
		// The route's limit is 1 s, for two attempts.
		e.Stop(Stop{Removed: start.Add(100 * time.Millisecond), End: start.Add(900 * time.Millisecond)})
		s.begun = func() {}
		if got := serveStatus(t, e, "/repeat/1"); got != http.StatusOK {
			t.Errorf("status %d after %v and %d attempts, %v before the end of the stop", got, time.Since(start), s.runs, 900*time.Millisecond-time.Since(start))
		}
	})
}

// TestAStopDoesNotWaitForAConfiguration guards against a request at an instance that stops before it has learned what to serve: it waits
// for longer than the process runs, and gets no answer.
func TestAStopDoesNotWaitForAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(t, &fakeSender{})
		e.table.Store(nil)
		e.Stop(Stop{Removed: time.Now(), End: time.Now().Add(100 * time.Millisecond)})
		start := time.Now()
		refused := e.AwaitInitialized(t.Context())
		// The process ends 0.3 s after the end of the stop.
		if took := time.Since(start); refused == nil || took > 400*time.Millisecond {
			t.Errorf("refused with %v after %v, with %v left until the end of the process", refused, took, 400*time.Millisecond-took)
		}
	})
}
