// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// minSilentInterval and maxSilentInterval bound the time between probes of an endpoint that answers nobody.
	minSilentInterval, maxSilentInterval = time.Second, 16 * time.Second
	// answeredFor is how long such an endpoint has accepted connections before its executions are taken to be over: the list may
	// show that it has started again.
	answeredFor = 6 * time.Second
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

// silentEndpoints are the endpoints that lost responses and answer nobody. The zero value is ready to use.
type silentEndpoints struct {
	mu         sync.Mutex
	byEndpoint map[incarnation.ID]*silentEndpoint
}

// silentEndpoint is probed until it answers, or its end is known.
type silentEndpoint struct {
	*endProbe
	// interval is the time until the next probe. Only run uses it and answered.
	interval time.Duration
	// answered is true once it accepted a connection.
	answered bool
	// lost are the executions without a known outcome, by asker; the mutex of silentEndpoints guards it.
	lost map[string]quarantine.LostExecution
}

// add adds a lost execution, and reports whether it is new and there is room.
func (s *silentEndpoints) add(p *endProbe, l quarantine.LostExecution) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byEndpoint == nil {
		s.byEndpoint = map[incarnation.ID]*silentEndpoint{}
	}
	silent := s.byEndpoint[p.incarnation]
	if silent == nil {
		silent = &silentEndpoint{endProbe: p, interval: minSilentInterval, lost: map[string]quarantine.LostExecution{}}
		s.byEndpoint[p.incarnation] = silent
		time.AfterFunc(silent.interval, silent.run)
	}
	if _, known := silent.lost[l.Asker]; known || len(silent.lost) >= maxLostExecutions {
		return false
	}
	silent.lost[l.Asker] = l
	return true
}

// remove removes an endpoint and returns its lost executions.
func (s *silentEndpoints) remove(id incarnation.ID) (out []quarantine.LostExecution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent := s.byEndpoint[id]; silent != nil {
		for _, l := range silent.lost {
			out = append(out, l)
		}
	}
	delete(s.byEndpoint, id)
	return out
}

// forget removes one lost execution.
func (s *silentEndpoints) forget(id incarnation.ID, asker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent := s.byEndpoint[id]; silent != nil {
		delete(silent.lost, asker)
	}
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

// run probes the endpoint once more.
func (s *silentEndpoint) run() {
	e, id := s.entry, s.incarnation
	switch result := s.probe(context.Background()); {
	case result == ProbeRefused:
		e.silent.remove(id)
		s.report()
	case result == ProbeUnanswered && !e.isListed(id):
		// The list has told its end.
		e.silent.remove(id)
	case result == ProbeUnanswered:
		s.answered = false
		s.interval = min(2*s.interval, maxSilentInterval)
		time.AfterFunc(s.interval, s.run)
	case !s.answered:
		s.answered = true
		time.AfterFunc(answeredFor, s.run)
	default:
		e.executions.Resolve(id)
		for _, l := range e.silent.remove(id) {
			e.finishTrial(finishedTrial{keys: l.Keys, endpoint: id, asker: l.Asker})
		}
	}
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
	return quarantine.LostExecution{
		Keys: x.Keys(), Endpoint: x.endpoint, Service: x.service.GetName(), Asker: x.nextAsker() + "/lost", Program: x.Program(), Route: x.Route(),
	}
}

// executionLost records an execution without a known outcome at an endpoint that answers nobody. The returned channel is closed once
// a control instance knows of it.
func (e *Entry) executionLost(p *endProbe, x *execution.Execution, l quarantine.LostExecution) <-chan struct{} {
	e.executions.SetUnresolved(x)
	if l.Keys.Shared || e.SuspectControl == nil || !e.silent.add(p, l) {
		return closedChan
	}
	e.Metrics.Counter("lost_executions").Inc(1)
	return e.reports.add(pendingReport{lost: []quarantine.LostExecution{l}})
}

// abandonedExecution is one without a response whose client left, or whose time was over.
type abandonedExecution struct {
	*endProbe
	lost quarantine.LostExecution
}

// run finds out whether its endpoint has ended, or answers.
func (a *abandonedExecution) run() {
	switch a.probe(context.Background()) {
	case ProbeRefused:
		a.report()
	case ProbeAccepted, ProbeOpen:
		a.entry.silent.forget(a.incarnation, a.lost.Asker)
		a.entry.finishTrial(finishedTrial{keys: a.lost.Keys, endpoint: a.incarnation, asker: a.lost.Asker})
	}
}
