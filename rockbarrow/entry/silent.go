// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// minSilentInterval and maxSilentInterval bound the time between looks at an endpoint that answers nobody.
	minSilentInterval, maxSilentInterval = 100 * time.Millisecond, 16 * time.Second
	// minRestart is the least time in which an endpoint is back. One that answers within it has not ended.
	minRestart = 500 * time.Millisecond
	// answeredFor is how long after a later answer executions are taken to be over: the list may show that it has started again.
	answeredFor = 6 * time.Second
	// aftermath is how long after it was given up an execution may still end its endpoint.
	aftermath = time.Second
	// minSilence is the pause after which an endpoint may have fallen silent when the client leaves.
	minSilence = unreachableStallTimeout
	// maxLostExecutions bounds those that are remembered of one endpoint.
	maxLostExecutions = 256
	// lostReportTimeout bounds how long a request waits until a control instance knows of its lost execution.
	lostReportTimeout = 100 * time.Millisecond
)

// isSilence reports whether a response was lost although the endpoint neither closed its connection nor sent anything that shows that
// it goes on. Its other connections tell nothing then.
func isSilence(err error) bool {
	var unknown *OutcomeUnknownError
	var timeout net.Error
	return errors.As(err, &unknown) && unknown.NoResponse || errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, net.ErrClosed)
}

// silentEndpoints are the endpoints that may have fallen silent. The zero value is ready to use.
type silentEndpoints struct {
	mu         sync.Mutex
	byEndpoint map[incarnation.ID]*silentEndpoint
}

// silentEndpoint is an endpoint that is watched until it answers a request, or its end is known. The mutex of silentEndpoints guards the
// fields.
type silentEndpoint struct {
	*endProbe
	// lost are the executions without a known outcome, by asker. An answer after harmless shows that none has ended the endpoint.
	lost     map[string]quarantine.LostExecution
	harmless time.Time
	// interval is the time until the next look.
	interval time.Duration
	// connected is true once it accepted a connection since, so that only an answer or the list tells more. answered is true once it
	// answered a request, so late that it may have started again.
	connected, answered bool
}

// add adds an execution, and reports whether it is new and there is room.
func (s *silentEndpoints) add(p *endProbe, l quarantine.LostExecution) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byEndpoint == nil {
		s.byEndpoint = map[incarnation.ID]*silentEndpoint{}
	}
	silent := s.byEndpoint[p.incarnation]
	if silent == nil {
		silent = &silentEndpoint{endProbe: p, lost: map[string]quarantine.LostExecution{}, interval: minSilentInterval}
		s.byEndpoint[p.incarnation] = silent
		time.AfterFunc(aftermath+minSilentInterval, silent.run)
	}
	if _, known := silent.lost[l.Asker]; known || len(silent.lost) >= maxLostExecutions {
		return false
	}
	silent.lost[l.Asker], silent.harmless = l, time.Now().Add(aftermath)
	silent.connected, silent.answered = false, false
	return true
}

// suspects returns what control instances have to know of the lost executions.
func (s *silentEndpoints) suspects() (out []*fleetpb.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, silent := range s.byEndpoint {
		for _, l := range silent.lost {
			out = append(out, l.Suspect())
		}
	}
	return out
}

// run looks at the endpoint.
func (s *silentEndpoint) run() {
	e := s.entry
	if s.needsProbe() {
		switch s.probe(context.Background()) {
		case ProbeRefused:
			e.silent.remove(s)
			s.report()
			return
		case ProbeAccepted, ProbeOpen:
			e.silent.setConnected(s)
		}
	}
	next, over := e.silent.look(s, e.isListed(s.incarnation))
	if next > 0 {
		time.AfterFunc(next, s.run)
		return
	}
	if len(over) > 0 {
		e.executions.Resolve(s.incarnation)
		e.Log.WithFields(logrus.Fields{"endpoint": s.incarnation.EndpointID, "born_ms": s.incarnation.StartMS, "executions": len(over)}).
			Info("an endpoint that lost executions answers")
	}
	for _, l := range over {
		e.finishTrial(finishedTrial{keys: l.Keys, endpoint: s.incarnation, asker: l.Asker})
	}
}

// needsProbe reports whether a connection is to be tried.
func (s *silentEndpoint) needsProbe() bool {
	s.entry.silent.mu.Lock()
	defer s.entry.silent.mu.Unlock()
	return !s.connected && !s.endpoint.LastAnswer().After(s.harmless)
}

// setConnected notes that the endpoint accepted a connection.
func (s *silentEndpoints) setConnected(silent *silentEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent.connected = true
}

// remove ends the watch of an endpoint.
func (s *silentEndpoints) remove(silent *silentEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byEndpoint, silent.incarnation)
}

// look decides when to look again, zero if the watch is over, and returns the executions that did not end the endpoint then.
func (s *silentEndpoints) look(silent *silentEndpoint, listed bool) (next time.Duration, over []quarantine.LostExecution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := silent.endpoint.LastAnswer().After(silent.harmless)
	switch {
	case !answers && listed:
		silent.answered = false
		silent.interval = min(2*silent.interval, maxSilentInterval)
		return silent.interval, nil
	case answers && !silent.answered && time.Since(silent.harmless) > minRestart:
		silent.answered = true
		return answeredFor, nil
	}
	delete(s.byEndpoint, silent.incarnation)
	if !answers {
		// The list has told its end.
		return 0, nil
	}
	for _, l := range silent.lost {
		over = append(over, l)
	}
	return 0, over
}

// isListed reports whether an endpoint is in the list.
func (e *Entry) isListed(id incarnation.ID) bool {
	f := e.fleet.Load()
	if f == nil {
		return false
	}
	_, ok := f.version().Index(id.EndpointID)
	return ok
}

// lostExecution describes the execution of a request at the chosen endpoint.
func (x *exchange) lostExecution() quarantine.LostExecution {
	asker := x.asker
	if !x.onTrial {
		asker = x.nextAsker() + "/lost"
	}
	return quarantine.LostExecution{
		Keys: x.Keys(), Endpoint: x.endpoint, Service: x.service.GetName(), Asker: asker, Program: x.Program(), Route: x.Route(),
	}
}

// executionLost records an execution without a known outcome, at an endpoint that may have fallen silent. The returned channel is
// closed once a control instance knows of it.
func (e *Entry) executionLost(p *endProbe, x *execution.Execution, l quarantine.LostExecution) <-chan struct{} {
	e.executions.SetUnresolved(x)
	if l.Keys.Shared || e.SuspectControl == nil || !e.silent.add(p, l) {
		return closedChan
	}
	e.Metrics.Counter("lost_executions").Inc(1)
	e.Log.WithFields(logrus.Fields{"endpoint": l.Endpoint.EndpointID, "born_ms": l.Endpoint.StartMS, "key": l.Keys.Request.String(), "asker": l.Asker}).
		Info("an execution was lost at an endpoint that may have fallen silent")
	return e.reports.add(pendingReport{lost: []quarantine.LostExecution{l}})
}
