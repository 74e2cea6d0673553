// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"
)

const (
	// stopRetryAfter is the retry delay of a request that a stopping instance refuses: others serve it at once.
	stopRetryAfter = time.Millisecond
	// stopSettleTime is how long after the end of a stop a turn may be stored whose last event arrived before.
	stopSettleTime = 150 * time.Millisecond
)

// Stop is a planned stop of an instance. What is accepted during it has to end with it.
type Stop struct {
	// Removed is when load balancers no longer send connections here. A request that becomes whole later begins only if its time
	// limit ends before the stop does.
	Removed time.Time
	// End is when requests in progress are ended. It is not before Removed, and leaves time to deliver their responses.
	End time.Time
}

// admits reports whether an execution with a deadline may begin. A nil stop admits all.
func (s *Stop) admits(now, deadline time.Time) bool {
	return s == nil || now.Before(s.Removed) || !deadline.After(s.End)
}

// limit returns the earlier of a deadline and the end of the stop.
func (s *Stop) limit(deadline time.Time) time.Time {
	if s != nil && s.End.Before(deadline) {
		return s.End
	}
	return deadline
}

// Stop makes Ready and CanServe return false. Requests that can end before s.End are still served, others are refused, and those
// in progress at s.End are ended.
func (e *Entry) Stop(s Stop) {
	e.stop.Store(&s)
	time.AfterFunc(time.Until(s.End), e.endRequests)
}

// Finish waits, until ctx ends, for what requests have left to do in the background: the settlement of their reservations, and what
// control instances are told of them. It is called once no request is in progress, and reports whether all is done.
func (e *Entry) Finish(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Stores.AwaitSettled()
		e.background.Wait()
		// An empty report is told once all before it are.
		<-e.reports.add(pendingReport{})
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// LatestBegin returns until when a stopping instance begins a request, false if it does not stop. A client timeout of zero is
// unknown.
func (e *Entry) LatestBegin(host, path string, clientTimeout time.Duration) (time.Time, bool) {
	s := e.stop.Load()
	if s == nil {
		return time.Time{}, false
	}
	latest := s.End
	if t := e.table.Load(); t != nil {
		if route, ok := t.Match(host, path); ok {
			latest = latest.Add(-requestTime(route.GetTimeoutMs(), clientTimeout))
		}
	}
	if latest.Before(s.Removed) {
		latest = s.Removed
	}
	return latest, true
}

// requestTime returns the time limit of a request: the route's, or that of the client if it is known and shorter.
func requestTime(routeMS uint32, clientTimeout time.Duration) time.Duration {
	d := time.Duration(routeMS) * time.Millisecond
	if clientTimeout > 0 {
		d = min(d, clientTimeout)
	}
	return d
}

// checkStop returns a refusal if the instance stops before the time limit of a request that has not begun.
func (x *exchange) checkStop(now time.Time) Outcome {
	if x.entry.stop.Load().admits(now, x.deadline) {
		return nil
	}
	return StopRefusal("the instance stops before the request's time limit")
}

// StopRefusal returns the outcome of a request that a stopping instance does not begin.
func StopRefusal(reason string) Rejected {
	return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: stopRetryAfter, Reason: reason, By: StepStop}
}

// mayBeginAttempt reports whether the instance runs for as long as the next attempt may need.
func (x *exchange) mayBeginAttempt() bool { return x.mayBeginAttemptAt(time.Now(), x.failedExecutions) }

// mayBeginAttemptAt is mayBeginAttempt for a later moment, when some executions will have failed.
func (x *exchange) mayBeginAttemptAt(at time.Time, failedExecutions int) bool {
	s := x.entry.stop.Load()
	if s == nil {
		return true
	}
	d := x.attemptTime(x.deadline.Sub(at), failedExecutions)
	if objective := time.Duration(x.route.GetObjectiveMs()) * time.Millisecond; x.handling.repeatable && objective > 0 {
		// One that takes longer can be repeated elsewhere.
		d = min(d, objective)
	}
	return s.admits(at, at.Add(d))
}

// endTime returns when the request is ended: at its deadline, or before with a stop.
func (x *exchange) endTime() time.Time { return x.entry.stop.Load().limit(x.deadline) }

// withDeadline returns a context that ends with the request's deadline, or with the requests of a stopping instance.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	release := context.AfterFunc(x.entry.requestsEnded, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}
