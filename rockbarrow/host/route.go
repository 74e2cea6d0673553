// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/peerpb"
)

const (
	// maxCachedOwners bounds the owner cache.
	maxCachedOwners = 16_384
	// searchBackoff is the pause before all instances are tried again.
	searchBackoff = 100 * time.Millisecond
	// notFoundRounds is the number of rounds after which a run that no instance
	// knows is reported as not found.
	notFoundRounds = 2
	// searchTimeout bounds the search for an instance that accepts the request.
	searchTimeout = 15 * time.Second
)

// ownerCache maps runs to their last known owners. A stale entry costs a
// redirect.
type ownerCache struct {
	mu     sync.Mutex
	owners map[string]string
}

func (c *ownerCache) get(run string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[run]
}

func (c *ownerCache) put(run, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners == nil || len(c.owners) >= maxCachedOwners {
		c.owners = map[string]string{}
	}
	c.owners[run] = instance
}

// router forwards one request to the run's owner.
type router struct {
	host *Host
	req  *peerpb.DoRequest
	emit func(*peerpb.DoEvent) error
	// forwarded is set once the request may have reached an owner. From then on
	// only the owner can tell that it was not executed.
	forwarded bool
	// emitErr is an error of the caller's emit function, which ends the request.
	emitErr error
	// lastProblem is the last reply of an instance that could not serve.
	lastProblem *peerpb.Problem
	// attempt and offset are the position in the stream up to which the caller
	// has received it.
	attempt uint32
	offset  uint64
	started time.Time
	// early is true if calls were not refused yet when the request arrived. Only such a request is taken to the next owner.
	early bool
}

// Do forwards a request to the run's owner and passes its events to emit. It
// retries after a redirect or a lost connection, which is safe because the
// request keeps its id, until ctx is done or the call timeout expires.
func (h *Host) Do(ctx context.Context, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	ctx, cancel := context.WithTimeout(ctx, h.CallTimeout)
	defer cancel()
	r := &router{host: h, req: req, emit: emit, started: time.Now(), early: !h.callsRefused.Load()}
	for round := 0; ; round++ {
		known, done := r.tryAll(ctx)
		if done {
			return r.emitErr
		}
		if ctx.Err() != nil {
			return emit(problem.Event(r.finalProblem()))
		}
		if !known && round+1 >= notFoundRounds {
			return emit(problem.Event(r.notFoundProblem()))
		}
		if h.callsRefused.Load() && begins(req) {
			return emit(problem.Event(r.finalProblem()))
		}
		if time.Since(r.started) > searchTimeout {
			return emit(problem.Event(r.finalProblem()))
		}
		select {
		case <-ctx.Done():
			return emit(problem.Event(r.finalProblem()))
		case <-time.After(searchBackoff):
		}
	}
}

// notFoundProblem returns the reply for a run that no instance of its home
// failure domain knows.
func (r *router) notFoundProblem() *peerpb.Problem {
	if !r.forwarded && r.allInstancesKnown() {
		return problem.New(problem.NotFound, "there is no such run")
	}
	return r.finalProblem()
}

// finalProblem returns the reply when the request has timed out.
func (r *router) finalProblem() *peerpb.Problem {
	if r.forwarded && r.lastProblem == nil {
		return problem.Retry(problem.Undetermined, "resend under the same request id to learn the outcome", time.Second)
	}
	if r.lastProblem != nil {
		return r.lastProblem
	}
	return problem.Retry(problem.NotServing, "no instance of the run's home failure domain could be reached", time.Second)
}

// allInstancesKnown reports whether the state of all instances that could know
// the run is known and none of them is dead.
func (r *router) allInstancesKnown() bool {
	for _, i := range r.host.View().RankByKey(r.req.GetRun(), HomeDomain(r.req.GetRun()), true) {
		if i.State() == roster.Dead || i.State() == roster.Unknown {
			return false
		}
	}
	return true
}

// tryAll tries the cached owner first and then the instances of the run's home
// failure domain by rank. It reports whether any of them knew the run and
// whether the request is completed.
func (r *router) tryAll(ctx context.Context) (known, done bool) {
	run := r.req.GetRun()
	if cached := r.host.owners.get(run); cached != "" {
		k, d := r.tryWithRedirects(ctx, cached)
		if d {
			return true, true
		}
		known = known || k
	}
	for _, i := range r.host.View().RankByKey(run, HomeDomain(run), true) {
		if i.State() == roster.Dead || ctx.Err() != nil {
			continue
		}
		k, d := r.tryWithRedirects(ctx, i.Instance())
		if d {
			return true, true
		}
		known = known || k
	}
	return known, false
}

// tryWithRedirects tries an instance and follows a limited number of
// redirects.
func (r *router) tryWithRedirects(ctx context.Context, instance string) (known, done bool) {
	const maxRedirects = 4
	takeOver := false
	for range maxRedirects {
		next, settled := r.try(ctx, instance, takeOver)
		if settled {
			r.host.owners.put(r.req.GetRun(), instance)
			return true, true
		}
		if next == nil {
			return known || r.lastProblem != nil, false
		}
		if next.GetInstance() == "" || next.GetInstance() == instance {
			return known, false
		}
		known = true
		instance = next.GetInstance()
		takeOver = next.GetTakeOver()
	}
	return known, false
}

// request returns the request for the next instance, with the position at
// which to resume the stream.
func (r *router) request(takeOver bool) *peerpb.DoRequest {
	if !takeOver && r.attempt == 0 {
		return r.req
	}
	req := proto.CloneOf(r.req)
	req.TakeOver = takeOver
	if t := req.GetTurn(); t != nil && r.attempt != 0 {
		t.ResumeAttempt = r.attempt
		t.ResumeOffset = r.offset
	}
	return req
}

// try sends the request to one instance. It returns a redirect, or nil if the
// instance could not be reached or cannot serve.
func (r *router) try(ctx context.Context, instance string, takeOver bool) (next *peerpb.Redirect, settled bool) {
	req := r.request(takeOver)
	emit := func(e *peerpb.DoEvent) error {
		switch b := e.GetBody().(type) {
		case *peerpb.DoEvent_Redirect:
			next = b.Redirect
			return nil
		case *peerpb.DoEvent_Delta:
			r.attempt = b.Delta.GetAttempt()
			r.offset = b.Delta.GetOffset() + uint64(len(b.Delta.GetContent()))
		case *peerpb.DoEvent_Problem:
			if isTransient(b.Problem) {
				r.lastProblem = b.Problem
				return nil
			}
		}
		settled = settled || isFinal(e)
		if err := r.emit(e); err != nil {
			r.emitErr = err
			settled = true
			return err
		}
		return nil
	}
	r.lastProblem = nil
	if instance != r.host.Instance && r.host.callsRefused.Load() && begins(req) && !(takeOver && r.early) {
		r.lastProblem = stopProblem()
		return nil, false
	}
	var err error
	if instance == r.host.Instance {
		err = r.host.Serve(ctx, req, emit)
	} else {
		err = r.tryPeer(ctx, instance, req, emit)
	}
	// An instance that replied with a redirect or could not serve has not proposed
	// anything; one that failed during the request may have.
	if err != nil {
		r.forwarded = true
	}
	return next, settled
}

// tryPeer sends the request to a peer and cancels it if the peer dies or
// restarts.
func (r *router) tryPeer(ctx context.Context, instance string, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i, _ := r.host.View().Find(instance)
	go (&peerMonitor{host: r.host, instance: instance, incarnation: i.Heartbeat().Incarnation(), cancel: cancel}).loop(ctx)
	return r.host.Peers.Do(ctx, instance, req, emit)
}

// peerMonitor cancels a request to a peer that died or restarted, because the
// connection to a paused or disconnected peer may stay open.
type peerMonitor struct {
	host        *Host
	instance    string
	incarnation uint64
	cancel      context.CancelFunc
}

func (m *peerMonitor) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i, _ := m.host.View().Find(m.instance)
			if i.State() == roster.Dead || i.Heartbeat().Incarnation() != m.incarnation {
				m.cancel()
				return
			}
		}
	}
}

// isTransient reports whether a problem concerns the instance and not the
// request, so that another instance or a later attempt may succeed.
func isTransient(p *peerpb.Problem) bool { return p.GetType() == string(problem.NotServing) }

func isFinal(e *peerpb.DoEvent) bool {
	switch e.GetBody().(type) {
	case *peerpb.DoEvent_Final, *peerpb.DoEvent_Problem, *peerpb.DoEvent_View:
		return true
	}
	return false
}
