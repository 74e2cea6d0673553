// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"

	"rockbarrow.dev/rockbarrow/caller"
	"rockbarrow.dev/rockbarrow/settings"
)

const (
	// finishTime is how long before the end of a stop the calls in progress are ended: other owners settle them, and the last
	// responses are written.
	finishTime = time.Second
	// answerTime is the part of finishTime in which another owner may settle a call.
	answerTime = 500 * time.Millisecond
	// exitTime is the part of finishTime that is left for the end of the process once all connections are closed.
	exitTime = 250 * time.Millisecond
	// closeTime bounds the closing of connections on which no request is in progress.
	closeTime = 2 * time.Second
)

// plannedStop is a planned stop, in which each request is answered.
type plannedStop struct {
	// late is done when load balancers have moved on: no call and no run begins from then on.
	late    context.Context
	setLate context.CancelFunc
	// ended is done when requests in progress get their last response.
	ended    context.Context
	setEnded context.CancelFunc
}

func newPlannedStop() *plannedStop {
	s := &plannedStop{}
	s.late, s.setLate = context.WithCancel(context.Background())
	s.ended, s.setEnded = context.WithCancel(context.Background())
	return s
}

// callers returns the moments for the callers' server.
func (s *plannedStop) callers() caller.Stop { return caller.Stop{Late: s.late, Ended: s.ended} }

// drain refuses new work, and waits for the requests in progress and until the
// runs replicated here have their replicas elsewhere. At the end of the time
// the calls in progress are handed over or ended. It returns by when the
// instance has to end.
func (s *servers) drain() time.Time {
	d := s.daemon
	d.stopping.set()
	d.Log.Info("stopping: reporting not ready and completing calls in progress")
	now := time.Now()
	last := now.Add(settings.Milliseconds(d.Settings.Timing.DrainMS))
	end := last.Add(-finishTime)
	late := now.Add(propagationDelay)
	if late.After(end) {
		late = end
	}
	for time.Now().Before(end) {
		busy := d.host.Stop()
		if time.Now().After(late) {
			s.beginLate()
			if busy == 0 && s.requests() == 0 && s.repaired() {
				return last
			}
		}
		time.Sleep(drainPollInterval)
	}
	s.beginLate()
	if busy := d.host.Stop(); busy > 0 || s.requests() > 0 {
		d.Log.WithField("busy", busy).WithField("requests", s.requests()).Warn("drain timeout exceeded: handing calls in progress over")
	}
	d.host.EndCalls()
	for answered := end.Add(answerTime); time.Now().Before(answered) && s.requests() > 0; {
		time.Sleep(drainPollInterval)
	}
	d.stop.setEnded()
	return last
}

// beginLate begins no call, run or change of the configuration from now on.
func (s *servers) beginLate() {
	if s.daemon.stop.late.Err() != nil {
		return
	}
	s.daemon.host.RefuseCalls()
	s.daemon.stop.setLate()
	go s.operators.run()
}

// requests returns the number of callers' requests and operators' calls in progress.
func (s *servers) requests() int {
	n := s.callerServer.InProgress()
	if !s.operators.isDone() {
		n++
	}
	return n
}

// repaired reports whether this instance is not needed for replicas.
func (s *servers) repaired() bool {
	_, _, underReplicated := s.daemon.host.RunCounts()
	return underReplicated == 0 && !s.daemon.domainUnderReplicated()
}

// close ends the listeners and all connections until the end of the stop.
// Requests that have arrived are answered.
func (s *servers) close(end time.Time) {
	if limit := time.Now().Add(closeTime); limit.Before(end) {
		end = limit
	}
	s.beginLate()
	s.stopListening()
	s.closeListeners()
	ended := time.AfterFunc(time.Until(end.Add(-answerTime)), s.daemon.stop.setEnded)
	defer ended.Stop()
	s.conns.Close(end.Add(-exitTime))
	// No request is left, or the time is over.
	_ = s.callers.Close()
	s.operators.end(end)
	peers := &gracefulStop{server: s.peers, done: make(chan struct{})}
	go peers.run()
	peers.end(end)
	if s.test != nil {
		s.test.Close()
	}
}

// closeListeners accepts no caller's connection from now on.
func (s *servers) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.callerListeners {
		// It is closed already if serving it failed.
		_ = l.Close()
	}
}

// gracefulStop completes the calls of a gRPC server.
type gracefulStop struct {
	server *grpc.Server
	done   chan struct{}
}

// run accepts no call from now on, and returns once those in progress have ended.
func (g *gracefulStop) run() {
	g.server.GracefulStop()
	close(g.done)
}

func (g *gracefulStop) isDone() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// end waits for the calls in progress until the time is over.
func (g *gracefulStop) end(end time.Time) {
	select {
	case <-g.done:
	case <-time.After(time.Until(end.Add(-exitTime))):
		g.server.Stop()
	}
}

// serveCallers serves callers on tracked connections.
func (s *servers) serveCallers(l net.Listener) error {
	s.mu.Lock()
	s.callerListeners = append(s.callerListeners, l)
	s.mu.Unlock()
	return s.callers.Serve(s.conns.Listener(l))
}
